// What callers, leafs and operators of a soak see, and the promises that it is held against. Thread
// safe: clients, leafs, operators and the fault bringer tell it from their own threads.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "common/json.h"
#include "common/types.h"
#include "http/http_client.h"

namespace pumicedyke::soak {

/// A request as its client sent it.
struct SentRequest {
  std::string id;
  bool gathers = false;
  /// It ends every leaf that begins to run it.
  bool fatal = false;
};

class Observations {
 public:
  /// @param shards that a gather asks.
  explicit Observations(size_t shards) : shards_(shards) {}

  void OnResponse(const SentRequest& request, const http::ClientResponse& response);
  /// A leaf has run a request to its end, whether or not its answer gets through.
  void OnRan(const std::string& service, const std::string& request_id);
  /// A leaf has ended under a request.
  void OnLeafEnded(Timestamp now, const std::string& request_id);

  void OnAcknowledged(uint64_t version);
  uint64_t acknowledged() const;
  /// @param acknowledged_before what had been acknowledged when the read began.
  void OnRead(uint64_t version, uint64_t acknowledged_before);

  /// A gateway was stopped for a while: it may know less than the others when it goes on.
  void OnGatewayFault();
  void Fail(const std::string& what);
  /// When no more requests are under way: looks at what can only be told then.
  void CheckAtEnd();

  bool held() const;
  Json Summary() const;

 private:
  void CheckSuccess(const SentRequest& request, const http::ClientResponse& response);
  void CheckGathered(const SentRequest& request, const http::ClientResponse& response);
  /// The lock is held.
  void Break(const std::string& what);

  const size_t shards_;
  mutable std::mutex mutex_;
  std::vector<std::string> broken_;
  std::map<std::string, uint64_t> statuses_;
  std::set<std::string> refused_as_not_run_;
  /// Answered runs, by request and service.
  std::map<std::pair<std::string, std::string>, int> runs_;
  uint64_t acknowledged_ = 0;
  uint64_t reads_ = 0;
  uint64_t gateway_faults_ = 0;
  uint64_t leafs_ended_ = 0;
  Timestamp third_end_{};
  /// Requests under which a leaf ended long after the third had.
  std::set<std::string> late_fatal_;
  uint64_t fatal_refused_ = 0;
};

}  // namespace pumicedyke::soak
