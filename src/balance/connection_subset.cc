#include "balance/connection_subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace pumicedyke::balance {
namespace {

/// Share of a leaf's connections that is divided among the gateways' preferred leafs.
constexpr double kRegularShare = 0.75;

struct Ranked {
  bool remote;
  uint64_t hash;
  const std::string* leaf;
};

uint64_t HashOf(const std::string& gateway, const std::string& leaf) {
  const std::string text = gateway + "/" + leaf;
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

size_t SubsetSize(size_t candidates, ConnectionBound bound) {
  if (bound.connections_per_leaf == 0 || candidates == 0) {
    return candidates;
  }
  const double connections =
      kRegularShare * static_cast<double>(candidates * bound.connections_per_leaf);
  const auto each = static_cast<size_t>(connections / static_cast<double>(bound.gateways));
  return std::clamp<size_t>(each, 1, candidates);
}

std::set<std::string> PreferredLeafs(const std::string& gateway,
                                     const std::vector<SubsetCandidate>& candidates,
                                     ConnectionBound bound) {
  std::vector<Ranked> ranked;
  ranked.reserve(candidates.size());
  for (const SubsetCandidate& candidate : candidates) {
    ranked.push_back({candidate.remote, HashOf(gateway, candidate.leaf), &candidate.leaf});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return a.remote != b.remote ? b.remote : a.hash < b.hash;
  });
  std::set<std::string> preferred;
  if (candidates.empty()) {
    return preferred;
  }
  const size_t size = SubsetSize(candidates.size(), bound);
  for (size_t i = 0; i < size; ++i) {
    preferred.insert(*ranked[i].leaf);
  }
  return preferred;
}

}  // namespace pumicedyke::balance
