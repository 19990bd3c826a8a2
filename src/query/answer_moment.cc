#include "query/answer_moment.h"

#include <algorithm>

namespace pumicedyke::query {
namespace {

/// What an earlier answer counts for each later one.
constexpr double kKeep = 0.97;
/// So many missing parts, a few of which come at each moment, are taken to have been seen.
constexpr double kPriorMissing = 2;
constexpr double kPriorHazard = 0.1;
/// Waiting must promise so much more than answering, as a part of a whole answer in time.
constexpr double kLeastGain = 1e-3;

double Squared(double value) { return value * value; }

}  // namespace

ArrivalCurve::ArrivalCurve(Duration objective)
    : step_(std::max(Duration(1), objective / static_cast<int64_t>(kMoments))) {}

size_t ArrivalCurve::MomentOf(Duration after) const {
  const int64_t moment = std::max(Duration(0), after) / step_;
  return std::min(static_cast<size_t>(moment), kMoments - 1);
}

double ArrivalCurve::PartOf(Duration after, size_t moment) const {
  const Duration passed = after - TimeOf(moment);
  const double part = static_cast<double>(passed.count()) / static_cast<double>(step_.count());
  return std::clamp(part, 0.0, 1.0);
}

void ArrivalCurve::Record(const std::vector<PartsArrival>& arrivals, size_t shards,
                          Duration answered) {
  std::array<double, kMoments> came{};
  for (const PartsArrival& arrival : arrivals) {
    came[MomentOf(arrival.after)] += static_cast<double>(arrival.parts);
  }
  auto missing = static_cast<double>(shards);
  const size_t end = MomentOf(answered);
  for (size_t i = 0; i <= end && missing > 0; ++i) {
    // The last moment was cut short for what had not come.
    const double part = i == end ? PartOf(answered, i) : 1;
    const double exposed = came[i] + (missing - came[i]) * part;
    counts_[i].missing = counts_[i].missing * kKeep + exposed;
    counts_[i].came = counts_[i].came * kKeep + came[i];
    missing -= came[i];
  }
}

double ArrivalCurve::Hazard(size_t moment) const {
  const Counts& counts = counts_[moment];
  const double hazard =
      (counts.came + kPriorMissing * kPriorHazard) / (counts.missing + kPriorMissing);
  return std::clamp(hazard, 0.0, 1.0);
}

Duration BestMoment(const AnswerOutlook& outlook, const ArrivalCurve& arrivals,
                    const RecentDurations& lag, const AnswerWorth& worth) {
  const auto shards = static_cast<double>(outlook.shards);
  double missing = shards - static_cast<double>(outlook.covered);
  const auto value = [&](Duration at) {
    const double in_time = lag.ShareWithin(outlook.due - at);
    return Squared(1 - missing / shards) * (in_time + (1 - in_time) * worth.late);
  };
  Duration best = outlook.elapsed;
  double most = value(best) + kLeastGain;
  for (size_t i = arrivals.MomentOf(outlook.elapsed); i < ArrivalCurve::kMoments; ++i) {
    const Duration end = arrivals.TimeOf(i + 1);
    if (end > outlook.due || end <= outlook.elapsed) {
      break;
    }
    missing *= 1 - arrivals.Hazard(i) * (1 - arrivals.PartOf(outlook.elapsed, i));
    if (const double then = value(end); then > most) {
      most = then;
      best = end;
    }
  }
  return best;
}

}  // namespace pumicedyke::query
