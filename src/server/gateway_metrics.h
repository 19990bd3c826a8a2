// Counters of a gateway and its metrics page. docs/OPERATIONS.md lists the names.
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

/// Counters of one route; requests that match no route are counted under the empty name.
struct RouteCounts {
  std::map<ResultCode, uint64_t> answers;
  uint64_t extra_sub_requests = 0;
  uint64_t missing_shards = 0;
  Histogram latency;
  /// Durations of the steps of its requests, by name of the step (docs/LOGS.md).
  std::map<std::string, RecentDurations> steps;
};

/// Not thread-safe: must be updated and read on one thread.
class GatewayMetrics {
 public:
  void OnAnswer(const gateway::GatewayAnswer& answer);
  /// @param now time by which the answer was written.
  void OnAnswerWritten(Timestamp now, const gateway::GatewayAnswer& answer);
  void OnPartial(const gateway::PartialTrace& partial);
  void OnClientDisconnected() { ++disconnected_clients_; }
  void OnControlLost() { ++control_lost_; }
  void OnTrial(const quarantine::TrialOutcome& outcome) { ++trials_[outcome.verdict]; }

  /// Returns the page in the Prometheus text format. @param now on the gateway's clock.
  std::string Text(Timestamp now, const gateway::GatewayServer& server,
                   const http::HttpClient& client, const net::RequestRoom& room) const;

 private:
  /// Number of later durations after which a duration has half its weight in the quantiles.
  static constexpr double kStepHalfLife = 64;

  RouteCounts* RouteCountsFor(const std::string& route);
  static void RecordStep(RouteCounts* counts, const char* step, Duration duration);
  static void AddExtraLoad(Timestamp now, const gateway::GatewayServer& server,
                           http::MetricsPage* page);
  void AddSteps(http::MetricsPage* page, const gateway::GatewayServer& server) const;

  /// Routes with counters of their own. Further routes share the empty name, to bound memory.
  static constexpr size_t kMaxRoutes = 200;
  /// Services whose extra sub-requests are shown, to bound the page.
  static constexpr size_t kMaxServices = 200;

  std::map<std::string, RouteCounts> routes_;
  uint64_t disconnected_clients_ = 0;
  uint64_t control_lost_ = 0;
  std::map<wire::TrialVerdict, uint64_t> trials_;
};

}  // namespace pumicedyke::server
