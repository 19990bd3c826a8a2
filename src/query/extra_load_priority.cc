#include "query/extra_load_priority.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace pumicedyke::query {
namespace {

/// Tolerance for comparing coverage shares.
constexpr double kCoverageEpsilon = 1e-9;
/// Number of distinct ranks.
constexpr uint64_t kRanks = 1 << 20;

/// Seeds of the hashes of a request ID, which must be independent of each other.
enum class Purpose : uint64_t { kRank, kRemainder };

uint64_t HashOf(std::string_view request_id, Purpose purpose) {
  return XXH64(request_id.data(), request_id.size(), static_cast<uint64_t>(purpose));
}

}  // namespace

double RankOf(std::string_view request_id) {
  return static_cast<double>(HashOf(request_id, Purpose::kRank) % kRanks) /
         static_cast<double>(kRanks);
}

bool RankQualifies(double rank, std::vector<double> remaining, size_t max_missing) {
  if (remaining.size() <= max_missing) {
    return true;
  }
  const auto lowest = remaining.begin() + static_cast<std::ptrdiff_t>(max_missing);
  std::nth_element(remaining.begin(), lowest, remaining.end());
  return rank < *lowest / kScarceBudget;
}

bool ShouldReplace(const GatherProgress& progress, double remaining) {
  return progress.uncovered > progress.max_missing || remaining >= kAmpleBudget;
}

bool ShouldHedge(bool refusals, double remaining) { return !refusals || remaining > kHedgeReserve; }

size_t MaxMissing(size_t shards, double min_coverage, size_t groups, size_t group,
                  std::string_view request_id) {
  const double spare = static_cast<double>(shards) * (1.0 - min_coverage) + kCoverageEpsilon;
  const auto spare_shards = static_cast<size_t>(std::max(0.0, std::floor(spare)));
  const size_t turn = (group + HashOf(request_id, Purpose::kRemainder)) % groups;
  return spare_shards / groups + (turn < spare_shards % groups ? 1 : 0);
}

}  // namespace pumicedyke::query
