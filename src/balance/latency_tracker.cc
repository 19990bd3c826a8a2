#include "balance/latency_tracker.h"

#include <algorithm>

namespace pumicedyke::balance {
namespace {

constexpr size_t kMinSamples = 32;
constexpr size_t kRefreshEvery = 32;

}  // namespace

void LatencyTracker::Record(Duration latency) {
  ++stale_;
  if (samples_.size() < window_) {
    samples_.push_back(latency);
    return;
  }
  samples_[next_] = latency;
  next_ = (next_ + 1) % window_;
}

Duration LatencyTracker::Quantile(double quantile) const {
  if (samples_.size() < kMinSamples) {
    return initial_;
  }
  if (sorted_.empty() || stale_ >= kRefreshEvery) {
    sorted_ = samples_;
    std::sort(sorted_.begin(), sorted_.end());
    stale_ = 0;
  }
  const auto position = static_cast<size_t>(quantile * static_cast<double>(sorted_.size()));
  return sorted_[std::min(position, sorted_.size() - 1)];
}

}  // namespace pumicedyke::balance
