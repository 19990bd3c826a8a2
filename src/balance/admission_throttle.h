// Computes the share of a service's queries that a node admits, with one integral controller per
// shard over the reported load of its leafs. A query needs all of its shards, so the fullest shard
// decides, and a query is refused before any of its work is sent. Nodes converge to the same share
// without communication because they receive the reports of the same leafs.
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

  /// Updates the shares, at most once every `throttle_interval`.
  void Update(Timestamp now, const std::vector<config::Shard>& shards, const LeafPool& pool);

  /// Returns the share of queries to admit, 0 to 1.
  /// @param wanted the shards that the query needs; empty means all.
  double AdmittedShare(const std::vector<ShardId>& wanted, int priority) const;

 private:
  BalanceKnobs knobs_;
  Timestamp updated_{};
  std::map<ShardId, double> share_;
};

}  // namespace pumicedyke::balance
