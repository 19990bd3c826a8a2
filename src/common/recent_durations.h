// How long one step took lately: shares and quantiles of recent durations, older ones forgotten by
// and by. Buckets grow by a fixed ratio, so that memory does not grow with time or range. One
// thread.
#pragma once

#include <array>
#include <cstddef>

#include "common/types.h"

namespace pumicedyke {

class RecentDurations {
 public:
  /// @param memory how many durations back half of the weight lies, 1 or more.
  explicit RecentDurations(double memory);

  /// Negative ones count as zero.
  void Record(Duration value);

  /// How many durations are remembered, old ones less than new ones.
  double weight() const { return weight_; }

  /// @return the share that took no longer than `limit`; within a bucket as if spread evenly.
  /// Zero if none is remembered or the limit is negative.
  double ShareWithin(Duration limit) const;

  /// @param quantile 0 to 1. @return zero if none is remembered.
  Duration Quantile(double quantile) const;

 private:
  /// Bounds grow by a quarter from 100 microseconds on, up to about 90 seconds.
  static constexpr size_t kBuckets = 62;

  static Duration UpperBound(size_t bucket);
  static size_t BucketOf(Duration value);

  double keep_;
  double weight_ = 0;
  std::array<double, kBuckets> weights_{};
};

}  // namespace pumicedyke
