// A histogram of durations in fixed buckets. A plain struct and free functions over it; one thread.
#pragma once

#include <array>
#include <cstdint>

#include "common/types.h"

namespace pumicedyke {

/// Upper bounds of the buckets; the last bucket has none.
inline constexpr std::array<Duration, 14> kHistogramBounds = {
    Milliseconds(1),   Milliseconds(2),    Milliseconds(5),    Milliseconds(10),  Milliseconds(20),
    Milliseconds(30),  Milliseconds(50),   Milliseconds(80),   Milliseconds(100), Milliseconds(200),
    Milliseconds(500), Milliseconds(1000), Milliseconds(2000), Milliseconds(5000)};

struct Histogram {
  /// How many values each bucket holds by itself.
  std::array<uint64_t, kHistogramBounds.size() + 1> counts{};
  uint64_t count = 0;
  Duration sum{};
};

/// Adds one value; negative ones count as zero.
void Record(Histogram* histogram, Duration value);

}  // namespace pumicedyke
