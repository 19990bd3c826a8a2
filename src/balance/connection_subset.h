// Deterministic subsetting: which leafs of a service one gateway works with as a rule, where leafs
// take fewer connections than there are gateways. Free functions; no state, safe on any thread.
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

/// What a service's leafs and the gateways share.
struct ConnectionBound {
  /// Connections that one leaf takes from all gateways together; zero: any number.
  size_t connections_per_leaf = 0;
  /// Gateways that share them, 1 or more.
  size_t gateways = 1;
};

/// How many of `candidates` leafs each gateway prefers.
size_t SubsetSize(size_t candidates, ConnectionBound bound);

/// The leafs that `gateway` prefers: as many as leave a quarter of every leaf's connections free
/// for hedges and retries of others, one at least; those of its own zone first. Each gateway ranks
/// leafs by a hash of its own, so that the gateways spread over them.
std::set<std::string> PreferredLeafs(const std::string& gateway,
                                     const std::vector<SubsetCandidate>& candidates,
                                     ConnectionBound bound);

}  // namespace pumicedyke::balance
