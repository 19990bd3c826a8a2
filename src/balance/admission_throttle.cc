#include "balance/admission_throttle.h"

#include <algorithm>
#include <cmath>

namespace pumicedyke::balance {
namespace {

constexpr int kMidPriority = 5;

}  // namespace

void AdmissionThrottle::Update(Timestamp now, const std::vector<config::Shard>& shards,
                               const LeafPool& pool) {
  const Duration elapsed = now - updated_;
  if (elapsed < knobs_.throttle_interval) {
    return;
  }
  updated_ = now;
  // After a pause without queries the measurements are stale, so the elapsed time is limited.
  const double seconds = ToMilliseconds(std::min(elapsed, 4 * knobs_.throttle_interval)) / 1000.0;
  for (const config::Shard& shard : shards) {
    double& share = share_.try_emplace(shard.id, 1.0).first->second;
    const double error = knobs_.throttle_target - pool.Fullness(now, shard.replicas);
    share =
        std::clamp(share + knobs_.throttle_gain * error * seconds, knobs_.throttle_minimum, 1.0);
  }
  if (share_.size() > 2 * shards.size()) {
    share_.clear();  // Most entries belong to shards of former snapshots.
  }
}

double AdmissionThrottle::AdmittedShare(const std::vector<ShardId>& wanted, int priority) const {
  double share = 1.0;
  if (wanted.empty()) {
    for (const auto& [shard, value] : share_) {
      share = std::min(share, value);
    }
  }
  for (const ShardId& shard : wanted) {
    const auto it = share_.find(shard);
    share = std::min(share, it == share_.end() ? 1.0 : it->second);
  }
  // Scarce capacity goes to higher priorities first.
  const double exponent = std::exp2(static_cast<double>(kMidPriority - priority) / 2.0);
  return std::pow(share, exponent);
}

}  // namespace pumicedyke::balance
