// A benchmark scenario: the back ends of a site, their model, the network and the policy.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "config/model.h"
#include "emulator/leaf_model.h"

namespace pumicedyke::bench {

struct BenchScenario {
  std::string name;
  /// How the site's description was interpreted as sizes; see the comment in each scenario file.
  std::string reading;
  size_t shards = 1;
  size_t leafs = 1;
  /// Replicas of a shard: shard i is on the leafs i * stride to i * stride + replicas - 1, modulo.
  size_t replicas = 1;
  size_t stride = 1;
  uint32_t slots = 1;
  /// Number of nodes. Each has its own connections to the leafs and does not know the other nodes.
  size_t nodes = 1;
  /// One-way network latencies: caller to node, and node to leaf.
  Duration client_delay{};
  Duration leaf_delay{};
  /// Time to open a connection to a leaf.
  Duration connection_cost{};
  /// Model of every leaf; name, seed and slots are set for each leaf.
  emulator::LeafModelOptions model;
  /// Index of the only leaf that pauses.
  size_t pausing_leaf = 0;
  /// Path of the policy program, relative to the scenario file.
  std::string policy_file;
  std::string policy;
  uint64_t seed = 1;

  std::string LeafName(size_t leaf) const;
  std::vector<config::Shard> PartitionMap() const;
  /// Returns the mean service time of a sub-request, with stragglers but without pauses.
  Duration MeanServiceTime() const;
  /// Returns the queries per second that occupy all slots, without extra sub-requests.
  double CapacityQueries() const;
};

/// Reads a scenario file. @return kInvalidConfig with all errors of the file if it is invalid.
absl::StatusOr<BenchScenario> ReadScenario(const std::string& path);

}  // namespace pumicedyke::bench
