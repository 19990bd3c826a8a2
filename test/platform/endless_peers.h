// Peers that send bytes without end until the other side closes the connection, at most
// kMostEndlessBytes each.
#pragma once

#include <atomic>
#include <mutex>
#include <set>
#include <string>

#include "e2e/raw_listener.h"

namespace pumicedyke::platform {

/// More, by several connections together, than any process may hold.
constexpr size_t kMostEndlessBytes = size_t{64} << 20;

/// Bytes without end: `start` once, then `rest` again and again.
struct EndlessBytes {
  std::string start;
  std::string rest;
};

/// How the sending of endless bytes ended.
enum class EndlessEnd {
  /// The peer closed the connection.
  kClosed,
  /// The peer read no more for 0.3 s.
  kUnread,
  /// The peer took kMostEndlessBytes.
  kTaken,
};

/// Sends on a connected socket until the peer closes it or reads no more.
EndlessEnd SendEndless(int socket, const EndlessBytes& bytes);

/// Connects and sends; reads no response.
EndlessEnd SendEndlessTo(const std::string& address, const EndlessBytes& bytes);

/// A leaf that answers each request with endless bytes. $ID in them stands for the request's id.
class EndlessLeaf {
 public:
  EndlessLeaf(std::string id, std::string service, EndlessBytes answer);

  /// Number of connections that took kMostEndlessBytes.
  int taken() const { return taken_; }
  /// Whether a request with this id has arrived.
  bool HasReceived(const std::string& request) const;
  /// Sends a heartbeat to a control machine. @return its HTTP status.
  int SendHeartbeat(const std::string& control);

 private:
  void Serve(int connection);

  const std::string id_;
  const std::string service_;
  const EndlessBytes answer_;
  std::atomic<int> taken_{0};
  int heartbeats_ = 0;
  mutable std::mutex mutex_;
  std::set<std::string> received_;
  /// Last, because its threads use the other members.
  e2e::RawListener listener_;
};

}  // namespace pumicedyke::platform
