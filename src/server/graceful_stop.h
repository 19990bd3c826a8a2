// Sequence of a planned stop. The process first serves for a grace period in which its answers send
// callers elsewhere, then accepts no more connections, then waits for requests in flight. No
// request is interrupted.
#pragma once

#include "common/types.h"
#include "http/http_server.h"

namespace pumicedyke::server {

class GracefulStop {
 public:
  explicit GracefulStop(Duration grace) : grace_(grace) {}

  void Start(Timestamp now, http::HttpServer* http);
  bool started() const { return http_ != nullptr; }

  /// Must be called on every tick after Start().
  /// @param idle whether no admitted request waits for an answer.
  /// @return true when the process may exit.
  bool Done(Timestamp now, bool idle);

 private:
  Duration grace_;
  http::HttpServer* http_ = nullptr;
  Timestamp grace_end_{};
  Timestamp last_tick_{};
};

}  // namespace pumicedyke::server
