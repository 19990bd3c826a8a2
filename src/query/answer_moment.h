// When an answer that lacks parts goes out: when waiting longer costs more than the missing parts
// are worth. What waiting brings is learnt from when parts came to earlier answers, what it costs
// from how long answers took to reach their clients. No clock: times are given. One thread.
//
// Parts that had not come when an answer went out are censored: nobody knows when they would have
// come. So the curve counts, for each moment, the parts that were still missing and those of them
// that came (Kaplan and Meier, "Nonparametric Estimation from Incomplete Observations", 1958).
#pragma once

#include <array>
#include <cstddef>
#include <vector>

#include "common/recent_durations.h"
#include "common/types.h"

namespace pumicedyke::query {

/// Parts that came together.
struct PartsArrival {
  /// Since the request came.
  Duration after{};
  size_t parts = 0;
};

/// When the parts of a route's answers come.
class ArrivalCurve {
 public:
  /// Moments of an objective that are told apart.
  static constexpr size_t kMoments = 64;

  /// @param objective above zero.
  explicit ArrivalCurve(Duration objective);

  /// Takes in how an answer came about.
  /// @param arrivals in the order of time. @param shards parts that the answer should have had.
  /// @param answered when it went out, since the request came.
  void Record(const std::vector<PartsArrival>& arrivals, size_t shards, Duration answered);

  /// @param moment below kMoments. @return the probability that a part that is missing then comes
  /// before the next moment. Where little was seen, a part is expected to come sooner or later.
  double Hazard(size_t moment) const;

  size_t MomentOf(Duration after) const;
  /// When a moment begins. @param moment up to kMoments.
  Duration TimeOf(size_t moment) const { return step_ * static_cast<int64_t>(moment); }
  /// @return the part of a moment that is over by then, 0 to 1.
  double PartOf(Duration after, size_t moment) const;

 private:
  struct Counts {
    double missing = 0;
    double came = 0;
  };

  Duration step_;
  std::array<Counts, kMoments> counts_{};
};

/// What an answer is worth to its client, as parts of one that is whole and in time: one with parts
/// missing the square of its coverage, a late one this much of that.
struct AnswerWorth {
  double late = 0.1;
};

/// An answer that may go out already and lacks parts.
struct AnswerOutlook {
  /// Since the request came.
  Duration elapsed{};
  /// Part of the objective that was left to gateways when the request came: what the client had
  /// spent and the way in both directions are off.
  Duration due{};
  size_t covered = 0;
  /// Above zero.
  size_t shards = 0;
};

/// @param lag what passes between the moment at which an answer is to go out and its last byte:
/// other work of the gateway, and its own making.
/// @return when the answer is best given, unless more comes meanwhile: `elapsed` or later.
Duration BestMoment(const AnswerOutlook& outlook, const ArrivalCurve& arrivals,
                    const RecentDurations& lag, const AnswerWorth& worth = {});

}  // namespace pumicedyke::query
