#include "query/extra_order.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace pumicedyke::query {
namespace {

/// Shares are compared with this much tolerance.
constexpr double kCoverageEpsilon = 1e-9;
/// Ranks are told apart so finely.
constexpr uint64_t kRanks = 1 << 20;

/// What a hash of a request's name decides; one must not hang on the other.
enum class Purpose : uint64_t { kRank, kTurn };

uint64_t HashOf(std::string_view request_id, Purpose purpose) {
  return XXH64(request_id.data(), request_id.size(), static_cast<uint64_t>(purpose));
}

}  // namespace

double RankOf(std::string_view request_id) {
  return static_cast<double>(HashOf(request_id, Purpose::kRank) % kRanks) /
         static_cast<double>(kRanks);
}

bool PaidFor(double rank, std::vector<double> left, size_t may_miss) {
  if (left.size() <= may_miss) {
    return true;
  }
  const auto scarcest = left.begin() + static_cast<std::ptrdiff_t>(may_miss);
  std::nth_element(left.begin(), scarcest, left.end());
  return rank < *scarcest / kScarceLeft;
}

bool WorthReplacing(const GatherNeed& need, double left) {
  return need.uncovered > need.may_miss || left >= kPlentyLeft;
}

bool WorthHedging(bool refusals, double left) { return !refusals || left > kHedgesLeave; }

size_t MayMiss(size_t shards, double min_coverage, size_t groups, size_t group,
               std::string_view request_id) {
  const double spared = static_cast<double>(shards) * (1.0 - min_coverage) + kCoverageEpsilon;
  const auto whole = static_cast<size_t>(std::max(0.0, std::floor(spared)));
  const size_t turn = (group + HashOf(request_id, Purpose::kTurn)) % groups;
  return whole / groups + (turn < whole % groups ? 1 : 0);
}

}  // namespace pumicedyke::query
