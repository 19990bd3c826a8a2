// Tracks how often a leaf refuses work without starting it, separately from its latency and
// failures. A leaf that sheds part of its load is healthy, but sending to it costs more.
#pragma once

#include <cmath>

#include "common/types.h"

namespace pumicedyke::balance {

/// One node's record of a leaf's refusals. The rate is a moving average, which follows a recovering
/// leaf. It decays without new outcomes, so that the leaf is tried again.
struct RefusalHistory {
  double rate = 0;
  Timestamp at{};
  /// Refusals since the leaf last accepted work.
  int consecutive = 0;
  /// Whether the last refusal was for lack of capacity. Otherwise the next sub-request may be
  /// accepted.
  bool crowded = false;
};

struct RefusalWeights {
  /// Weight of the newest outcome.
  double newest = 0.3;
  /// Half-life of the rate without new outcomes.
  Duration half_life = Seconds(5);
  /// Number of consecutive refusals after which a leaf counts as having no capacity, regardless of
  /// its reported load.
  int crowded_after = 6;
};

/// Returns the share of sub-requests that the leaf is expected to refuse, 0 to 1.
inline double RefusalRate(const RefusalHistory& history, const RefusalWeights& weights,
                          Timestamp now) {
  const auto age = static_cast<double>((now - history.at).count());
  return history.rate * std::exp2(-age / static_cast<double>(weights.half_life.count()));
}

/// Records a refusal. @param full whether the leaf's reported load reaches its capacity.
inline void RecordRefusal(const RefusalWeights& weights, Timestamp now, bool full,
                          RefusalHistory* history) {
  const double old = RefusalRate(*history, weights, now);
  history->rate = old + weights.newest * (1.0 - old);
  history->at = now;
  ++history->consecutive;
  history->crowded = full || history->consecutive >= weights.crowded_after;
}

inline void RecordAccepted(const RefusalWeights& weights, Timestamp now, RefusalHistory* history) {
  history->rate = RefusalRate(*history, weights, now) * (1.0 - weights.newest);
  history->at = now;
  history->consecutive = 0;
  history->crowded = false;
}

/// Returns the mean number of refused sub-requests before one is accepted.
/// @param rate the result of RefusalRate().
inline double RefusalsUntilTaken(double rate) {
  constexpr double kMaxRate = 0.98;
  const double bounded = rate < kMaxRate ? rate : kMaxRate;
  return bounded / (1.0 - bounded);
}

}  // namespace pumicedyke::balance
