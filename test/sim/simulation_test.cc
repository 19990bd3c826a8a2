// Tests of the simulator: equal seeds give equal traces, every scenario holds its invariants, and a
// disabled mechanism breaks the invariant that it guards.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

#include "absl/strings/str_cat.h"
#include "sim/scenario.h"

namespace pumicedyke::sim {

class SimulationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SimulationTest);
  CPPUNIT_TEST(SameSeedSameTrace);
  CPPUNIT_TEST(EveryScenarioHolds);
  CPPUNIT_TEST(EveryDisabledMechanismIsDetected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SameSeedSameTrace() {
    for (const std::string_view name : {"storm", "bad-network", "planned-stop"}) {
      const Scenario& scenario = *FindScenario(name);
      const RunResult first = RunScenario(scenario, 7, {}, /*keep_trace=*/true);
      const RunResult second = RunScenario(scenario, 7, {}, /*keep_trace=*/true);
      const RunResult other = RunScenario(scenario, 8, {}, /*keep_trace=*/true);
      CPPUNIT_ASSERT(first.full_trace.size() > 1000);
      CPPUNIT_ASSERT(first.full_trace == second.full_trace);
      CPPUNIT_ASSERT(first.full_trace != other.full_trace);
    }
  }

  /// Runs a few seeds; tools/test runs a thousand.
  void EveryScenarioHolds() {
    for (const Scenario& scenario : AllScenarios()) {
      for (uint64_t seed = 5001; seed <= 5003; ++seed) {
        const RunResult result = RunScenario(scenario, seed, {}, /*keep_trace=*/false);
        const std::string broken = result.violations.empty() ? "" : result.violations.front().what;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat(result.scenario, " with seed ", seed),
                                     std::string(), broken);
        CPPUNIT_ASSERT(result.complete_answers > 0);
        CPPUNIT_ASSERT(result.changes > 0);
      }
    }
  }

  void EveryDisabledMechanismIsDetected() {
    for (const Mechanism& mechanism : AllMechanisms()) {
      const Scenario& scenario = *FindScenario(mechanism.scenario);
      const uint64_t seed = FirstSeedThatDetects(mechanism, scenario);
      std::cout << "    without " << mechanism.name << ": " << InvariantName(mechanism.guards)
                << " breaks in " << scenario.name << " with seed " << seed << std::endl;
      CPPUNIT_ASSERT_MESSAGE(std::string(mechanism.name), seed > 0);
    }
  }

 private:
  static constexpr uint64_t kMaxSeeds = 200;

  /// @return 0 if no seed violates the mechanism's invariant.
  static uint64_t FirstSeedThatDetects(const Mechanism& mechanism, const Scenario& scenario) {
    for (uint64_t seed = 1; seed <= kMaxSeeds; ++seed) {
      const RunResult result =
          RunScenario(scenario, seed, {std::string(mechanism.name)}, /*keep_trace=*/false);
      for (const Violation& violation : result.violations) {
        if (violation.invariant == mechanism.guards) {
          return seed;
        }
      }
    }
    return 0;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SimulationTest);

}  // namespace pumicedyke::sim
