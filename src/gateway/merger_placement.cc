#include "gateway/merger_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace pumicedyke::gateway {
namespace {

double Microseconds(Duration duration) { return static_cast<double>(duration.count()); }

/// Returns the first gateway of `ranked` that is not chosen yet and has capacity; if there is none,
/// the first that is not chosen yet.
std::optional<std::string> ChooseOwner(const std::vector<std::string>& ranked,
                                       const std::vector<std::string>& chosen,
                                       const std::map<std::string, size_t>& owned,
                                       size_t max_groups) {
  std::optional<std::string> full;
  for (const std::string& gateway : ranked) {
    if (std::find(chosen.begin(), chosen.end(), gateway) != chosen.end()) {
      continue;
    }
    const auto it = owned.find(gateway);
    if (it == owned.end() || it->second < max_groups) {
      return gateway;
    }
    full = full.value_or(gateway);
  }
  return full;
}

}  // namespace

size_t GroupCount(size_t shards, double processor_share, const SharingCosts& costs) {
  const auto count = static_cast<double>(shards);
  const double sub_request = Microseconds(costs.sub_request);
  const double merger = Microseconds(costs.merger);
  // The root's work grows with the number of groups, each merger's work shrinks. This number
  // minimizes the sum.
  const auto groups =
      static_cast<size_t>(std::max(1.0, std::round(std::sqrt(count * sub_request / merger))));
  const double per_merger = std::ceil(count / static_cast<double>(groups));
  const double shared =
      (static_cast<double>(groups) * merger + per_merger * sub_request) / processor_share +
      Microseconds(costs.hop);
  const double alone = count * sub_request / processor_share;
  return shared <= alone * costs.worthwhile ? groups : 1;
}

Duration TimeForPartialAnswers(size_t groups, double processor_share, const SharingCosts& costs) {
  // Sending the partial query accounts for half of the cost of a merger, its answer for the other
  // half.
  const double per_message = Microseconds(costs.merger) / 2;
  return Duration(
      static_cast<int64_t>(static_cast<double>(groups) * per_message / processor_share));
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

std::vector<GroupMergers> AssignMergers(const std::vector<std::string>& groups,
                                        const std::vector<std::string>& gateways) {
  std::vector<GroupMergers> mergers(groups.size());
  if (gateways.empty()) {
    return mergers;
  }
  std::vector<std::vector<std::string>> ranked;
  ranked.reserve(groups.size());
  for (const std::string& group : groups) {
    ranked.push_back(MergersOf(group, gateways, gateways.size()));
  }
  const size_t ownerships = groups.size() * kOwnersPerZone;
  const size_t max_groups = (ownerships + gateways.size() - 1) / gateways.size();
  std::map<std::string, size_t> owned;
  for (size_t round = 0; round < kOwnersPerZone; ++round) {
    for (size_t i = 0; i < groups.size(); ++i) {
      const std::optional<std::string> owner =
          ChooseOwner(ranked[i], mergers[i].owners, owned, max_groups);
      if (owner.has_value()) {
        mergers[i].owners.push_back(*owner);
        ++owned[*owner];
      }
    }
  }
  for (size_t i = 0; i < groups.size(); ++i) {
    for (const std::string& gateway : ranked[i]) {
      const std::vector<std::string>& owners = mergers[i].owners;
      const bool owns = std::find(owners.begin(), owners.end(), gateway) != owners.end();
      if (!owns && mergers[i].backups.size() < kBackupsPerZone) {
        mergers[i].backups.push_back(gateway);
      }
    }
  }
  return mergers;
}

}  // namespace pumicedyke::gateway
