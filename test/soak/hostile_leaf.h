// A leaf that for spells drawn from a seed answers most requests with a signed failure, never
// answers them, or breaks off in the head or body of its answer.
#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "common/types.h"
#include "e2e/raw_listener.h"
#include "http/message.h"

namespace pumicedyke::soak {

/// Returns the whole body of a leaf's answer to a request.
std::string HostileBody(const std::string& request_id);

class HostileLeaf {
 public:
  enum class Mode { kWell, kFails, kSilent, kBreaksHead, kBreaksBody };
  /// Called on any thread for each request that arrives, before it is run.
  using ArrivedCb = std::function<void(const std::string& request_id)>;

  /// @param seed the spells are the same for all leafs of the same seed and name.
  HostileLeaf(uint64_t seed, std::string name, std::string service, ArrivedCb arrived);
  HostileLeaf(const HostileLeaf&) = delete;
  HostileLeaf& operator=(const HostileLeaf&) = delete;

  /// Sets whether the leaf has bad spells. At first it has none.
  void SetHostile(bool hostile) { hostile_ = hostile; }
  /// Sends a heartbeat to a control machine. @return its HTTP status.
  int SendHeartbeat(const std::string& control);

 private:
  /// Serves one connection until either side ends it.
  void Serve(int connection);
  /// @return whether the connection stays open.
  bool OnRequest(int connection, const http::RequestMessage& request);
  /// Returns how the next request is handled.
  Mode NextMode();

  const uint64_t seed_;
  const std::string name_;
  const std::string service_;
  const ArrivedCb arrived_;
  const Timestamp start_;
  std::atomic<bool> hostile_{false};
  std::atomic<uint64_t> request_count_{0};
  int heartbeats_ = 0;
  /// Last, because its threads use the other members.
  e2e::RawListener listener_;
};

}  // namespace pumicedyke::soak
