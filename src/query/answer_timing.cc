#include "query/answer_timing.h"

#include <algorithm>

namespace pumicedyke::query {
namespace {

/// Weight of the earlier counts relative to a new answer.
constexpr double kDecay = 0.97;
/// Prior: this many missing results are assumed to have been observed, arriving at kPriorHazard in
/// each interval.
constexpr double kPriorMissing = 2;
constexpr double kPriorHazard = 0.1;
/// Minimum expected gain of waiting over answering now, as a fraction of a complete answer in time.
constexpr double kMinGain = 1e-3;

double Squared(double value) { return value * value; }

}  // namespace

ArrivalCurve::ArrivalCurve(Duration objective)
    : step_(std::max(Duration(1), objective / static_cast<int64_t>(kIntervals))) {}

size_t ArrivalCurve::IntervalOf(Duration after) const {
  const int64_t interval = std::max(Duration(0), after) / step_;
  return std::min(static_cast<size_t>(interval), kIntervals - 1);
}

double ArrivalCurve::ElapsedFraction(Duration after, size_t interval) const {
  const Duration elapsed = after - IntervalStart(interval);
  const double fraction = static_cast<double>(elapsed.count()) / static_cast<double>(step_.count());
  return std::clamp(fraction, 0.0, 1.0);
}

void ArrivalCurve::Record(const std::vector<ShardArrivals>& arrivals, size_t shards,
                          Duration answered) {
  std::array<double, kIntervals> arrived{};
  for (const ShardArrivals& arrival : arrivals) {
    arrived[IntervalOf(arrival.after)] += static_cast<double>(arrival.shards);
  }
  auto missing = static_cast<double>(shards);
  const size_t end = IntervalOf(answered);
  for (size_t i = 0; i <= end && missing > 0; ++i) {
    // Results that had not arrived were exposed only to part of the last interval.
    const double fraction = i == end ? ElapsedFraction(answered, i) : 1;
    const double exposed = arrived[i] + (missing - arrived[i]) * fraction;
    counts_[i].missing = counts_[i].missing * kDecay + exposed;
    counts_[i].arrived = counts_[i].arrived * kDecay + arrived[i];
    missing -= arrived[i];
  }
}

double ArrivalCurve::Hazard(size_t interval) const {
  const Counts& counts = counts_[interval];
  const double hazard =
      (counts.arrived + kPriorMissing * kPriorHazard) / (counts.missing + kPriorMissing);
  return std::clamp(hazard, 0.0, 1.0);
}

Duration BestAnswerTime(const PendingAnswer& pending, const ArrivalCurve& arrivals,
                        const RecentDurations& lag, const AnswerValue& answer_value) {
  const auto shards = static_cast<double>(pending.shards);
  double missing = shards - static_cast<double>(pending.covered);
  const auto value = [&](Duration at) {
    const double in_time = lag.ShareUpTo(pending.due - at);
    return Squared(1 - missing / shards) * (in_time + (1 - in_time) * answer_value.late);
  };
  Duration best = pending.elapsed;
  double best_value = value(best) + kMinGain;
  for (size_t i = arrivals.IntervalOf(pending.elapsed); i < ArrivalCurve::kIntervals; ++i) {
    const Duration end = arrivals.IntervalStart(i + 1);
    if (end > pending.due || end <= pending.elapsed) {
      break;
    }
    missing *= 1 - arrivals.Hazard(i) * (1 - arrivals.ElapsedFraction(pending.elapsed, i));
    if (const double later_value = value(end); later_value > best_value) {
      best_value = later_value;
      best = end;
    }
  }
  return best;
}

}  // namespace pumicedyke::query
