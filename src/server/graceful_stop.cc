#include "server/graceful_stop.h"

#include <algorithm>

namespace pumicedyke::server {
namespace {

/// A tick this late means that the process was paused. Callers may have connected in that time, so
/// the grace period starts again.
constexpr Duration kSuspensionThreshold = Milliseconds(250);
/// Idle connections that callers keep open are closed this long after the grace period.
constexpr Duration kIdleConnectionTimeout = Milliseconds(500);

}  // namespace

void GracefulStop::Start(Timestamp now, http::HttpServer* http) {
  http_ = http;
  grace_end_ = now + grace_;
  last_tick_ = now;
  http_->StartDraining();
}

bool GracefulStop::Done(Timestamp now, bool idle) {
  if (now - last_tick_ > kSuspensionThreshold) {
    grace_end_ = std::max(grace_end_, now + grace_);
  }
  last_tick_ = now;
  if (now < grace_end_) {
    return false;
  }
  http_->StopListening();
  const bool no_callers = http_->connections() == 0 || now >= grace_end_ + kIdleConnectionTimeout;
  return idle && no_callers && http_->in_flight() == 0;
}

}  // namespace pumicedyke::server
