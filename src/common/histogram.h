// A histogram of durations in fixed buckets: a plain struct and free functions. Not thread safe.
#pragma once

#include <array>
#include <cstdint>

#include "common/types.h"

namespace pumicedyke {

/// Upper bounds of the buckets, inclusive. The last bucket has no bound.
inline constexpr std::array<Duration, 14> kHistogramBounds = {
    Milliseconds(1),   Milliseconds(2),    Milliseconds(5),    Milliseconds(10),  Milliseconds(20),
    Milliseconds(30),  Milliseconds(50),   Milliseconds(80),   Milliseconds(100), Milliseconds(200),
    Milliseconds(500), Milliseconds(1000), Milliseconds(2000), Milliseconds(5000)};

struct Histogram {
  /// Number of values in each bucket, not cumulative.
  std::array<uint64_t, kHistogramBounds.size() + 1> counts{};
  uint64_t count = 0;
  Duration sum{};
};

/// Adds one value. Negative values count as zero.
void Record(Histogram* histogram, Duration value);

}  // namespace pumicedyke
