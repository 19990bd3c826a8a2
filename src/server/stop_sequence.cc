#include "server/stop_sequence.h"

#include <algorithm>

namespace pumicedyke::server {
namespace {

/// A tick this late means that the process was paused.
constexpr Duration kSuspensionThreshold = Milliseconds(250);
/// Idle connections that callers keep open are closed this long after the grace period.
constexpr Duration kIdleConnectionTimeout = Milliseconds(500);
/// This fraction of the time until the kill is left for writing answers and ending.
constexpr int kWriteTimeDivisor = 10;
/// The grace period takes at most this fraction of that time.
constexpr int kGraceDivisor = 2;

}  // namespace

void StopSequence::Start(Timestamp now) {
  if (times_.kill_after.count() > 0) {
    answer_by_ = now + times_.kill_after - times_.kill_after / kWriteTimeDivisor;
    times_.grace = std::min(times_.grace, times_.kill_after / kGraceDivisor);
  }
  BeginGrace(now);
  last_tick_ = now;
}

void StopSequence::BeginGrace(Timestamp now) {
  grace_end_ = std::max(grace_end_, now + times_.grace);
  if (answer_by_.has_value()) {
    grace_end_ = std::min(grace_end_, *answer_by_);
  }
}

StopPhase StopSequence::Advance(Timestamp now) {
  if (now - last_tick_ > kSuspensionThreshold) {
    BeginGrace(now);
  }
  last_tick_ = now;
  if (answer_by_.has_value() && now >= *answer_by_) {
    return StopPhase::kRefusing;
  }
  if (now < grace_end_) {
    return StopPhase::kServing;
  }
  return now < grace_end_ + kIdleConnectionTimeout ? StopPhase::kNotListening
                                                   : StopPhase::kClosingIdle;
}

}  // namespace pumicedyke::server
