#include "common/histogram.h"

#include <algorithm>

namespace pumicedyke {

void Record(Histogram* histogram, Duration value) {
  const Duration counted = std::max(Duration(0), value);
  const auto bound = std::lower_bound(kHistogramBounds.begin(), kHistogramBounds.end(), counted);
  ++histogram->counts[static_cast<size_t>(bound - kHistogramBounds.begin())];
  ++histogram->count;
  histogram->sum += counted;
}

}  // namespace pumicedyke
