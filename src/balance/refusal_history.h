// How often a leaf refuses work unseen, apart from how slow it is and whether it fails: a leaf that
// sheds part of what comes is well, only dearer to ask.
#pragma once

#include <cmath>

#include "common/types.h"

namespace pumicedyke::balance {

/// What one node has seen of a leaf's refusals. The rate is a moving average, so that it follows a
/// leaf that recovers; it fades while nothing is asked, so that the leaf is tried again.
struct RefusalHistory {
  double rate = 0;
  Timestamp at{};
  /// Refusals since the leaf last took work.
  int in_a_row = 0;
  /// Its last refusal was one for lack of room: it needs time. Otherwise the next one may be taken.
  bool crowded = false;
};

struct RefusalWeights {
  /// Weight of the newest outcome.
  double newest = 0.3;
  /// What is not refreshed loses half of its weight in this time.
  Duration half_life = Seconds(5);
  /// A leaf that refuses so often in a row has no room, whatever load it tells.
  int crowded_after = 6;
};

/// @return the part of what is sent that the leaf is expected to refuse, 0 to 1.
inline double RefusalRate(const RefusalHistory& history, const RefusalWeights& weights,
                          Timestamp now) {
  const auto age = static_cast<double>((now - history.at).count());
  return history.rate * std::exp2(-age / static_cast<double>(weights.half_life.count()));
}

/// @param full by the load that it told, all it can hold was taken.
inline void NoteRefused(const RefusalWeights& weights, Timestamp now, bool full,
                        RefusalHistory* history) {
  const double old = RefusalRate(*history, weights, now);
  history->rate = old + weights.newest * (1.0 - old);
  history->at = now;
  ++history->in_a_row;
  history->crowded = full || history->in_a_row >= weights.crowded_after;
}

inline void NoteTaken(const RefusalWeights& weights, Timestamp now, RefusalHistory* history) {
  history->rate = RefusalRate(*history, weights, now) * (1.0 - weights.newest);
  history->at = now;
  history->in_a_row = 0;
  history->crowded = false;
}

/// How many sub-requests are refused, on the average, before one is taken.
/// @param rate as RefusalRate() gives it.
inline double RefusalsUntilTaken(double rate) {
  constexpr double kMostRate = 0.98;
  const double bounded = rate < kMostRate ? rate : kMostRate;
  return bounded / (1.0 - bounded);
}

}  // namespace pumicedyke::balance
