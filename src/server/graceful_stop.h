// Sequence of a planned stop. The process first serves for a grace period in which its answers send
// callers elsewhere, then accepts no more connections, then waits for requests in flight. No
// request is interrupted, and none that has arrived is left unread. Where the process is killed
// some time after the signal, all are answered before that.
#pragma once

#include <optional>
#include <vector>

#include "common/types.h"
#include "http/http_server.h"
#include "server/stop_sequence.h"

namespace pumicedyke::server {

/// Used on the event loop's thread only.
class GracefulStop {
 public:
  explicit GracefulStop(StopTimes times) : sequence_(times) {}

  /// @param servers those whose callers must be answered; null ones are left out. They must outlive
  /// this object.
  void Start(Timestamp now, const std::vector<http::HttpServer*>& servers);
  bool started() const { return started_; }
  /// As StopSequence::answer_by().
  std::optional<Timestamp> answer_by() const { return sequence_.answer_by(); }
  /// The phase at the last tick.
  StopPhase phase() const { return phase_; }
  /// Open connections of callers.
  size_t connections() const;

  /// Must be called on every tick after Start().
  /// @param idle whether no admitted request waits for an answer.
  /// @return true when the process may exit.
  bool Done(Timestamp now, bool idle);

 private:
  StopSequence sequence_;
  bool started_ = false;
  StopPhase phase_ = StopPhase::kServing;
  std::vector<http::HttpServer*> servers_;
};

}  // namespace pumicedyke::server
