// Logs what a stopping gateway or node still waits for, so that a request that ends without an
// answer can be traced to what held it.
#pragma once

#include "common/types.h"
#include "gateway/messages.h"
#include "node/node_server.h"
#include "server/graceful_stop.h"

namespace pumicedyke::server {

/// Used on the event loop's thread only.
class StopLog {
 public:
  /// Called on every tick of a planned stop; logs at most one line per kInterval.
  void OnProgress(Timestamp now, const GracefulStop& stop, const gateway::WorkInProgress& work);
  void OnProgress(Timestamp now, const GracefulStop& stop, const node::WorkInProgress& work);

 private:
  /// Returns whether a line is due, and counts it as logged.
  bool TakeTurn(Timestamp now);

  static constexpr Duration kInterval = Milliseconds(500);
  Timestamp logged_at_{};
};

}  // namespace pumicedyke::server
