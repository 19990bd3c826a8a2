// The variants that a benchmark runs: the product, or a baseline built on the same node core.
#pragma once

#include <string>
#include <vector>

#include "emulator/leaf_model.h"
#include "node/node_server.h"

namespace pumicedyke::bench {

enum class Variant {
  kProduct,
  /// Sends each sub-request once, to a random replica, and waits.
  kWaitForAll,
  /// Retries after a fixed time-out, without a budget.
  kNaiveRetry,
  /// Hedges after a fixed delay, without a budget.
  kFixedHedge,
  /// The product on back ends that never straggle or pause, as the upper bound.
  kOracle,
};

struct VariantInfo {
  Variant variant;
  std::string name;
};
const std::vector<VariantInfo>& AllVariants();
const VariantInfo* FindVariant(const std::string& name);

/// Sets the options in which the variant differs from the product.
void ApplyVariant(Variant variant, node::NodeOptions* options);
void ApplyVariant(Variant variant, emulator::LeafModelOptions* options);

}  // namespace pumicedyke::bench
