// What a gateway counts for its metrics page. docs/OPERATIONS.md lists the names.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/histogram.h"
#include "common/recent_durations.h"
#include "common/result_code.h"
#include "gateway/gateway_server.h"
#include "http/http_client.h"
#include "http/metrics.h"

namespace pumicedyke::server {

/// The counts of one route; requests that met no route are counted under the empty name.
struct RouteCounts {
  std::map<ResultCode, uint64_t> answers;
  uint64_t extra_sub_requests = 0;
  uint64_t missing_shards = 0;
  Histogram latency;
  /// Where the time of its requests goes, by name of the step (docs/LOGS.md).
  std::map<std::string, RecentDurations> steps;
};

/// Not thread-safe: one thread counts and reads.
class GatewayMetrics {
 public:
  void OnAnswer(const gateway::GatewayAnswer& answer);
  /// It had left by `now`.
  void OnAnswerWritten(Timestamp now, const gateway::GatewayAnswer& answer);
  void OnPartial(const gateway::PartialTrace& partial);
  void OnClientGone() { ++clients_gone_; }
  void OnControlLost() { ++control_lost_; }

  /// The page in the Prometheus text format. @param now of the gateway's own time line.
  std::string Text(Timestamp now, const gateway::GatewayServer& server,
                   const http::HttpClient& client) const;

 private:
  /// Durations after which one counts half in the quantiles of steps.
  static constexpr double kStepMemory = 64;

  RouteCounts* CountsOf(const std::string& route);
  static void RecordStep(RouteCounts* counts, const char* step, Duration duration);
  void AddSteps(http::MetricsPage* page, const gateway::GatewayServer& server) const;

  /// Routes counted apart; further ones share the empty name, so that memory stays bounded.
  static constexpr size_t kMaxRoutes = 200;

  std::map<std::string, RouteCounts> routes_;
  uint64_t clients_gone_ = 0;
  uint64_t control_lost_ = 0;
};

}  // namespace pumicedyke::server
