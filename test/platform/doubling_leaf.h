// A leaf that refuses the first try of each request and sends each refusal a second time, late.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "e2e/raw_listener.h"
#include "http/message.h"

namespace pumicedyke::platform {

/// Counts the runs of requests at several leafs, by the id of the client's attempt. Thread-safe.
class RunCounts {
 public:
  void Add(const std::string& request);
  int Of(const std::string& request) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;
};

/// Refuses a request without running it the first time it gets it, and runs it each further time.
/// A second copy of each refusal follows on its connection when the leaf has received another
/// request on any connection, before it answers that one.
class DoublingLeaf {
 public:
  DoublingLeaf(std::string id, std::string service, RunCounts* runs);
  DoublingLeaf(const DoublingLeaf&) = delete;
  DoublingLeaf& operator=(const DoublingLeaf&) = delete;

  /// Number of second copies sent.
  int copies() const { return copies_; }
  /// Sends a heartbeat to a control machine. @return its HTTP status.
  int SendHeartbeat(const std::string& control);

 private:
  /// Serves one connection until it ends.
  void Serve(int connection);
  void OnRequest(int connection, const http::RequestMessage& request);
  /// Sends the copies that are due on all connections. Requires `mutex_`.
  void SendCopies();

  const std::string id_;
  const std::string service_;
  RunCounts* const runs_;
  std::atomic<int> copies_{0};
  int heartbeats_ = 0;
  std::mutex mutex_;
  /// Open connections, with the refusals on them whose copy is still due.
  std::map<int, std::vector<std::string>> due_copies_;
  std::map<std::string, int> tries_;
  /// Last, because its threads use the other members.
  e2e::RawListener listener_;
};

}  // namespace pumicedyke::platform
