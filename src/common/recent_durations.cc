#include "common/recent_durations.h"

#include <algorithm>
#include <cmath>

namespace pumicedyke {
namespace {

constexpr double kLowestBoundMicroseconds = 100;
constexpr double kGrowth = 1.25;

}  // namespace

RecentDurations::RecentDurations(double memory) : decay_(std::exp2(-1 / std::max(1.0, memory))) {}

Duration RecentDurations::UpperBound(size_t bucket) {
  return Duration(static_cast<int64_t>(kLowestBoundMicroseconds * std::pow(kGrowth, bucket)));
}

size_t RecentDurations::BucketOf(Duration value) {
  const auto length = static_cast<double>(value.count());
  if (length <= kLowestBoundMicroseconds) {
    return 0;
  }
  const auto bucket = static_cast<size_t>(
      std::ceil(std::log(length / kLowestBoundMicroseconds) / std::log(kGrowth)));
  return std::min(bucket, kBuckets - 1);
}

void RecentDurations::Record(Duration value) {
  for (double& weight : weights_) {
    weight *= decay_;
  }
  weights_[BucketOf(value)] += 1;
  weight_ = weight_ * decay_ + 1;
}

double RecentDurations::ShareUpTo(Duration limit) const {
  if (weight_ <= 0 || limit.count() < 0) {
    return 0;
  }
  const size_t last = BucketOf(limit);
  double within = 0;
  for (size_t i = 0; i < last; ++i) {
    within += weights_[i];
  }
  const auto low = last == 0 ? 0.0 : static_cast<double>(UpperBound(last - 1).count());
  const auto high = static_cast<double>(UpperBound(last).count());
  const double part = (static_cast<double>(limit.count()) - low) / (high - low);
  within += weights_[last] * std::clamp(part, 0.0, 1.0);
  return std::min(1.0, within / weight_);
}

Duration RecentDurations::Quantile(double quantile) const {
  const double wanted = std::clamp(quantile, 0.0, 1.0) * weight_;
  double seen = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    if (weights_[i] > 0 && seen + weights_[i] >= wanted) {
      const auto low = i == 0 ? 0.0 : static_cast<double>(UpperBound(i - 1).count());
      const auto high = static_cast<double>(UpperBound(i).count());
      const double part = std::clamp((wanted - seen) / weights_[i], 0.0, 1.0);
      return Duration(static_cast<int64_t>(low + part * (high - low)));
    }
    seen += weights_[i];
  }
  return Duration(0);
}

}  // namespace pumicedyke
