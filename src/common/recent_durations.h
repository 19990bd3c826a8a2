// Shares and quantiles of the recent durations of one step, with exponentially decaying weights.
// Bucket bounds grow by a fixed ratio, so memory grows neither with time nor with the range of
// values. Not thread safe.
#pragma once

#include <array>
#include <cstddef>

#include "common/types.h"

namespace pumicedyke {

class RecentDurations {
 public:
  /// @param memory half-life of the weights, in number of durations; at least 1.
  explicit RecentDurations(double memory);

  /// Negative durations count as zero.
  void Record(Duration value);

  /// Sum of the decayed weights of all durations; a new duration has weight 1.
  double weight() const { return weight_; }

  /// @return the weighted share of durations that are at most `limit`, interpolated linearly within
  /// a bucket. Zero if there are none or the limit is negative.
  double ShareUpTo(Duration limit) const;

  /// @param quantile 0 to 1. @return zero if there are no durations.
  Duration Quantile(double quantile) const;

 private:
  /// Bounds grow by 25%, from 100 microseconds to about 90 seconds.
  static constexpr size_t kBuckets = 62;

  static Duration UpperBound(size_t bucket);
  static size_t BucketOf(Duration value);

  double decay_;
  double weight_ = 0;
  std::array<double, kBuckets> weights_{};
};

}  // namespace pumicedyke
