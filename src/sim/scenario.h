// Named simulation scenarios: load, faults, healing, and final checks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sim/actors.h"
#include "sim/history.h"
#include "sim/mechanisms.h"
#include "sim/nemesis.h"

namespace pumicedyke::sim {

struct Scenario {
  std::string_view name;
  std::string_view what;
  std::vector<Fault> faults = {};
  Duration fault_interval = Milliseconds(900);
  OperatorOptions operators = {};
  bool faulty_leafs = false;
  bool skewed_clocks = false;
  size_t control_machines = kFounders;
  /// Number of changes submitted one after the other before the load and the faults start.
  int initial_changes = 0;
  /// Adds a FatalCaller.
  std::optional<FatalCallerOptions> fatal_caller = {};
  /// Adds a RetryingCaller.
  bool retrying_caller = false;
  /// Adds a RepeatingCaller.
  bool repeating_caller = false;
  /// Duration of load and faults, from the end of the boot and of the initial changes.
  Duration length = Seconds(7);
};
const std::vector<Scenario>& AllScenarios();
const Scenario* FindScenario(std::string_view name);

struct RunResult {
  std::string scenario;
  uint64_t seed = 0;
  uint64_t events = 0;
  uint64_t calls = 0;
  uint64_t complete_answers = 0;
  uint64_t changes = 0;
  uint64_t trace_hash = 0;
  std::vector<Violation> violations;
  std::vector<std::string> recent;
  std::string full_trace;
};

RunResult RunScenario(const Scenario& scenario, uint64_t seed, const DisabledMechanisms& disabled,
                      bool keep_trace);

}  // namespace pumicedyke::sim
