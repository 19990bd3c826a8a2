// The mechanisms that the simulator can disable, and the invariants that must then be violated.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pumicedyke::sim {

/// The invariants, in the order of the requirements' section "What must always hold".
enum class Invariant {
  kOneSnapshot,
  kTruthfulCoverage,
  kOwnCompleteAnswer,
  kNotRunIsProof,
  kAtMostOnce,
  kLeavingGetsNoWork,
  kPlannedStop,
  kConfigInForce,
  kFatalRequestsStopped,
  kToldOutcomeStays,
};
std::string_view InvariantName(Invariant invariant);

struct Mechanism {
  std::string_view name;
  Invariant guards;
  /// Scenario that detects the missing mechanism soonest.
  std::string_view scenario;
  std::string_view what;
};
const std::vector<Mechanism>& AllMechanisms();
const Mechanism* FindMechanism(std::string_view name);

/// Names of the mechanisms that are disabled in a run; empty in the product.
using DisabledMechanisms = std::set<std::string, std::less<>>;

}  // namespace pumicedyke::sim
