// Deterministic subsetting: selects the preferred leafs of each gateway where leafs accept fewer
// connections than there are gateways. Free functions without state; safe on any thread.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace pumicedyke::balance {

struct SubsetCandidate {
  std::string leaf;
  /// In another zone than the gateway.
  bool remote = false;
};

/// The connections to a service's leafs that the gateways share.
struct ConnectionBound {
  /// Connections that one leaf accepts from all gateways together; zero means no limit.
  size_t connections_per_leaf = 0;
  /// Number of gateways that share them, at least 1.
  size_t gateways = 1;
};

/// Returns how many of `candidates` leafs each gateway prefers.
size_t SubsetSize(size_t candidates, ConnectionBound bound);

/// Returns the leafs that `gateway` prefers, at least one, those of its own zone first. Their
/// number leaves a quarter of each leaf's connections free for hedges and retries of other
/// gateways. Each gateway ranks the leafs by its own hash, which spreads the gateways over them.
std::set<std::string> PreferredLeafs(const std::string& gateway,
                                     const std::vector<SubsetCandidate>& candidates,
                                     ConnectionBound bound);

}  // namespace pumicedyke::balance
