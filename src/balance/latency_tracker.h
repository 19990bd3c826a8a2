// Quantiles of recent sub-request latencies of one service.
#pragma once

#include <cstddef>
#include <vector>

#include "common/types.h"

namespace pumicedyke::balance {

class LatencyTracker {
 public:
  LatencyTracker(size_t window, Duration initial) : window_(window), initial_(initial) {}

  void Record(Duration latency);

  /// Returns a quantile (0 to 1), or the initial value until there are enough samples.
  Duration Quantile(double quantile) const;

 private:
  size_t window_;
  Duration initial_;
  std::vector<Duration> samples_;
  size_t next_ = 0;
  /// Sorted copy, refreshed occasionally because quantiles are read far more often than they
  /// change.
  mutable std::vector<Duration> sorted_;
  mutable size_t stale_ = 0;
};

}  // namespace pumicedyke::balance
