#include "server/stop_sequence.h"

#include <algorithm>

namespace pumicedyke::server {
namespace {

/// A tick this late means that the process was paused.
constexpr Duration kSuspensionThreshold = Milliseconds(250);
/// Idle connections that callers keep open are closed this long after the grace period.
constexpr Duration kIdleConnectionTimeout = Milliseconds(500);

}  // namespace

void StopSequence::Start(Timestamp now) {
  grace_end_ = now + grace_;
  last_tick_ = now;
}

StopPhase StopSequence::Advance(Timestamp now) {
  if (now - last_tick_ > kSuspensionThreshold) {
    grace_end_ = std::max(grace_end_, now + grace_);
  }
  last_tick_ = now;
  if (now < grace_end_) {
    return StopPhase::kServing;
  }
  return now < grace_end_ + kIdleConnectionTimeout ? StopPhase::kNotListening
                                                   : StopPhase::kClosingIdle;
}

}  // namespace pumicedyke::server
