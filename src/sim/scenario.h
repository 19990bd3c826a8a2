// Named simulated runs: load, faults, healing, and a final check.
#pragma once

#include <cstdint>
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
  bool nasty_leafs = false;
  bool skewed_clocks = false;
  size_t control_machines = kFounders;
  /// Changes submitted one after the other before the faults start.
  int changes_first = 0;
  /// Somebody asks again and again for what ends every leaf that runs it.
  bool fatal_caller = false;
  /// Somebody asks for each thing again and again until it is served.
  bool impatient_caller = false;
  /// Somebody asks again at once for unrepeatable work whose outcome was told.
  bool repeating_caller = false;
  /// Load and faults end here, counted from the end of the boot.
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
