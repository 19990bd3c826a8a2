// Decides when an answer with missing shard results is sent: once waiting longer is expected to
// cost more than the missing results are worth. The value of waiting is learned from the arrival
// times of shard results in earlier answers, its cost from how long answers took to reach their
// clients. No clock: times are passed in. Single-threaded.
//
// Shard results still missing when an answer was sent are censored: their arrival time is unknown.
// The curve therefore counts, for each interval, the results still missing at its start and those
// of them that arrived during it (Kaplan and Meier, "Nonparametric Estimation from Incomplete
// Observations", 1958).
#pragma once

#include <array>
#include <cstddef>
#include <vector>

#include "common/recent_durations.h"
#include "common/types.h"

namespace pumicedyke::query {

/// Shard results that arrived together.
struct ShardArrivals {
  /// Since the arrival of the request.
  Duration after{};
  size_t shards = 0;
};

/// Estimates when the shard results of a route arrive.
class ArrivalCurve {
 public:
  /// Intervals into which the objective is divided.
  static constexpr size_t kIntervals = 64;

  /// @param objective above zero.
  explicit ArrivalCurve(Duration objective);

  /// Records the arrivals for one answer.
  /// @param arrivals in order of time. @param shards shard results that the complete answer has.
  /// @param answered when the answer was sent, since the arrival of the request.
  void Record(const std::vector<ShardArrivals>& arrivals, size_t shards, Duration answered);

  /// @param interval below kIntervals. @return the probability that a result missing at the start
  /// of the interval arrives before its end. Where there are few samples, a prior hazard is
  /// assumed.
  double Hazard(size_t interval) const;

  size_t IntervalOf(Duration after) const;
  /// Returns the start of an interval. @param interval up to kIntervals.
  Duration IntervalStart(size_t interval) const { return step_ * static_cast<int64_t>(interval); }
  /// @return the fraction of the interval that has elapsed by then, 0 to 1.
  double ElapsedFraction(Duration after, size_t interval) const;

 private:
  struct Counts {
    double missing = 0;
    double arrived = 0;
  };

  Duration step_;
  std::array<Counts, kIntervals> counts_{};
};

/// Value of an answer to its client, as a fraction of a complete answer in time. A partial answer
/// is worth the square of its coverage; a late answer is worth `late` times that.
struct AnswerValue {
  double late = 0.1;
};

/// An answer that may be sent already but has shard results missing.
struct PendingAnswer {
  /// Since the arrival of the request.
  Duration elapsed{};
  /// Remaining part of the objective when the request arrived: the time already spent by the client
  /// and the round trip to it are subtracted.
  Duration due{};
  size_t covered = 0;
  /// Above zero.
  size_t shards = 0;
};

/// @param lag time from the chosen send time to the last byte of the answer: other work of the
/// gateway and building the answer.
/// @return the best time to send the answer if no more results arrive meanwhile: `elapsed` or
/// later.
Duration BestAnswerTime(const PendingAnswer& pending, const ArrivalCurve& arrivals,
                        const RecentDurations& lag, const AnswerValue& answer_value = {});

}  // namespace pumicedyke::query
