// The order of a planned stop: serve on for a grace time while answers tell callers to go
// elsewhere, then accept no more connections, then wait for what is under way. Brief: a planned
// stop interrupts no request in flight.
#pragma once

#include "common/types.h"
#include "http/http_server.h"

namespace pumicedyke::server {

class GracefulStop {
 public:
  explicit GracefulStop(Duration grace) : grace_(grace) {}

  void Start(Timestamp now, http::HttpServer* http);
  bool started() const { return http_ != nullptr; }

  /// Call on every tick once started.
  /// @param idle whether nothing admitted waits for an answer.
  /// @return true when the process may exit.
  bool Done(Timestamp now, bool idle);

 private:
  Duration grace_;
  http::HttpServer* http_ = nullptr;
  Timestamp grace_end_{};
  Timestamp last_tick_{};
};

}  // namespace pumicedyke::server
