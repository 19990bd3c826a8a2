#include "gateway/merger_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace pumicedyke::gateway {
namespace {

/// Part of a zone's gateways that merge a group of some request.
constexpr double kMergingPart = 0.5;
constexpr size_t kFewestMergers = 2;

double Microseconds(Duration duration) { return static_cast<double>(duration.count()); }

}  // namespace

size_t GroupCount(size_t shards, double processor_share, const SharingCosts& costs) {
  const auto count = static_cast<double>(shards);
  const double sub_request = Microseconds(costs.sub_request);
  const double merger = Microseconds(costs.merger);
  // The root's work grows with the groups, each merger's shrinks: this many make the least of both.
  const auto groups =
      static_cast<size_t>(std::max(1.0, std::round(std::sqrt(count * sub_request / merger))));
  const double per_merger = std::ceil(count / static_cast<double>(groups));
  const double shared =
      (static_cast<double>(groups) * merger + per_merger * sub_request) / processor_share +
      Microseconds(costs.hop);
  const double alone = count * sub_request / processor_share;
  return shared <= alone * costs.worthwhile ? groups : 1;
}

std::vector<query::ShardRange> CutIntoGroups(size_t shards, size_t groups) {
  std::vector<query::ShardRange> ranges;
  for (size_t i = 0; i < groups; ++i) {
    const size_t begin = shards * i / groups;
    ranges.push_back({begin, shards * (i + 1) / groups - begin});
  }
  return ranges;
}

std::vector<std::string> Slice(const std::vector<std::string>& shards, query::ShardRange range) {
  const auto begin = shards.begin() + static_cast<long>(range.first);
  return {begin, begin + static_cast<long>(range.count)};
}

size_t MergersPerGroup(size_t gateways_in_zone, size_t groups) {
  const double each =
      kMergingPart * static_cast<double>(gateways_in_zone) / static_cast<double>(groups);
  return std::max(kFewestMergers, static_cast<size_t>(each));
}

std::vector<std::string> MergersOf(const std::string& group,
                                   const std::vector<std::string>& gateways, size_t count) {
  const uint64_t seed = XXH64(group.data(), group.size(), 0);
  std::vector<std::pair<uint64_t, const std::string*>> ranked;
  ranked.reserve(gateways.size());
  for (const std::string& gateway : gateways) {
    ranked.emplace_back(XXH64(gateway.data(), gateway.size(), seed), &gateway);
  }
  const size_t kept = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<long>(kept), ranked.end(),
                    [](const auto& a, const auto& b) {
                      return a.first != b.first ? a.first > b.first : *a.second < *b.second;
                    });
  std::vector<std::string> mergers;
  for (size_t i = 0; i < kept; ++i) {
    mergers.push_back(*ranked[i].second);
  }
  return mergers;
}

}  // namespace pumicedyke::gateway
