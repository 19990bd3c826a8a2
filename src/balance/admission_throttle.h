// Decides which share of a service's queries a node admits, from how full the leafs of each shard
// say they are: an integral controller per shard. Every query needs every shard, so that the
// fullest shard decides; a query is refused whole, before any of its work is sent. Nodes that
// cannot see each other arrive at the same share, because they hear the same leafs.
#pragma once

#include <map>
#include <vector>

#include "balance/knobs.h"
#include "balance/leaf_pool.h"
#include "common/types.h"
#include "config/model.h"

namespace pumicedyke::balance {

class AdmissionThrottle {
 public:
  explicit AdmissionThrottle(const BalanceKnobs& knobs) : knobs_(knobs) {}

  /// Moves the shares on; does nothing more often than every `throttle_interval`.
  void Update(Timestamp now, const std::vector<config::Shard>& shards, const LeafPool& pool);

  /// @param wanted the shards that a query asks for; empty: all.
  /// @return the share of such queries to admit, 0 to 1.
  double AdmittedShare(const std::vector<ShardId>& wanted, int priority) const;

 private:
  BalanceKnobs knobs_;
  Timestamp updated_{};
  std::map<ShardId, double> share_;
};

}  // namespace pumicedyke::balance
