// Decides when a process that was asked to stop stops accepting connections, closes those that
// callers keep open, and may exit. Programs and the simulator share it. Does not read a clock.
#pragma once

#include "common/types.h"

namespace pumicedyke::server {

enum class StopPhase {
  /// New connections are accepted. Answers send callers elsewhere.
  kServing,
  /// No new connections; those that callers keep open are served.
  kNotListening,
  /// Connections that callers keep open without a request are closed.
  kClosingIdle,
};

class StopSequence {
 public:
  /// @param grace how long the process goes on accepting connections.
  explicit StopSequence(Duration grace) : grace_(grace) {}

  void Start(Timestamp now);
  /// Returns the current phase. Must be called on every tick after Start(). A pause of the process
  /// starts the grace period again, because callers may have connected meanwhile.
  StopPhase Advance(Timestamp now);
  /// @param idle whether no admitted request waits for an answer.
  /// @param connections open connections of callers. A request that has arrived and was not read
  /// yet keeps its connection open, so that no process exits before it has read what has arrived.
  static bool MayExit(StopPhase phase, bool idle, size_t connections) {
    return phase != StopPhase::kServing && idle && connections == 0;
  }

 private:
  Duration grace_;
  Timestamp grace_end_{};
  Timestamp last_tick_{};
};

}  // namespace pumicedyke::server
