// The mechanisms whose absence the simulator must notice, and the invariants that notice it.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pumicedyke::sim {

/// The brief's "What must always hold", in its order.
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
  /// Scenario in which its absence shows soonest.
  std::string_view scenario;
  std::string_view what;
};
const std::vector<Mechanism>& AllMechanisms();
const Mechanism* FindMechanism(std::string_view name);

/// The mechanisms switched off in a run; empty in the product.
using DisabledMechanisms = std::set<std::string, std::less<>>;

}  // namespace pumicedyke::sim
