// A benchmark scenario: the back ends of one site, their model, the network and the policy.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "config/model.h"
#include "emulator/leaf_model.h"

namespace pumicedyke::bench {

struct BenchScenario {
  std::string name;
  /// How the site's sizes are read; see the comment of each file.
  std::string reading;
  size_t shards = 1;
  size_t leafs = 1;
  /// Replicas of a shard: shard i is on the leafs i * stride to i * stride + replicas - 1, modulo.
  size_t replicas = 1;
  size_t stride = 1;
  uint32_t slots = 1;
  /// Nodes that each hold their own connections to the leafs and cannot see each other.
  size_t nodes = 1;
  /// One way.
  Duration client_delay{};
  Duration leaf_delay{};
  Duration connection_cost{};
  /// Of every leaf; the seed and the name differ.
  emulator::LeafModelOptions model;
  /// The leaf that pauses.
  size_t pausing_leaf = 0;
  /// Path of the policy program, relative to the scenario file.
  std::string policy_file;
  std::string policy;
  uint64_t seed = 1;

  std::string LeafName(size_t leaf) const;
  std::vector<config::Shard> PartitionMap() const;
  /// Average service time of a sub-request, stragglers included, pauses not.
  Duration MeanServiceTime() const;
  /// Queries a second that use every slot, without any extra sub-request.
  double CapacityQueries() const;
};

/// @return kInvalidConfig with every error of the file.
absl::StatusOr<BenchScenario> ReadScenario(const std::string& path);

}  // namespace pumicedyke::bench
