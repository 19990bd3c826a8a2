// Decides when a process that was asked to stop stops accepting connections, closes those that
// callers keep open, must have answered everything, and may exit. Programs and the simulator share
// it. Does not read a clock.
#pragma once

#include <optional>

#include "common/types.h"

namespace pumicedyke::server {

enum class StopPhase {
  /// New connections are accepted. Answers send callers elsewhere.
  kServing,
  /// No new connections; those that callers keep open are served.
  kNotListening,
  /// Connections that callers keep open without a request are closed.
  kClosingIdle,
  /// The process is about to be killed: what was not read whole is refused, and what still arrives.
  kRefusing,
};

struct StopTimes {
  /// How long the process goes on accepting connections.
  Duration grace{};
  /// How long after the signal to stop the process is killed if it still runs; zero: never.
  Duration kill_after{};
};

class StopSequence {
 public:
  explicit StopSequence(StopTimes times) : times_(times) {}

  void Start(Timestamp now);
  /// Returns the current phase. Must be called on every tick after Start(). A pause of the process
  /// starts the grace period again, because callers may have connected meanwhile.
  StopPhase Advance(Timestamp now);
  /// Returns when every request must have been answered, early enough for the answers to leave the
  /// process before it is killed. Unset: no limit. Valid after Start().
  std::optional<Timestamp> answer_by() const { return answer_by_; }
  /// @param idle whether no admitted request waits for an answer.
  /// @param connections open connections of callers. A request that has arrived and was not read
  /// yet keeps its connection open, so that no process exits before it has read what has arrived.
  static bool MayExit(StopPhase phase, bool idle, size_t connections) {
    return phase != StopPhase::kServing && idle && connections == 0;
  }

 private:
  /// Sets the end of the grace period that begins now; it leaves time to answer what came in it.
  void BeginGrace(Timestamp now);

  StopTimes times_;
  Timestamp grace_end_{};
  std::optional<Timestamp> answer_by_;
  Timestamp last_tick_{};
};

}  // namespace pumicedyke::server
