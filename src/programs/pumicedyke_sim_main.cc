// Seeded simulation of a cluster under failures, running the product's decision code.
// docs/PROOF.md.
#include <gflags/gflags.h>

#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "common/json.h"
#include "sim/scenario.h"

DEFINE_bool(list, false, "list scenarios and mechanisms");
DEFINE_string(scenario, "all", "scenario, or all");
DEFINE_string(seeds, "1-20", "first and last seed, A-B");
DEFINE_string(without, "", "mechanism to disable");
DEFINE_bool(trace, false, "print the whole trace of each run");
DEFINE_int32(threads, 0, "number of threads; 0: one per core");
DEFINE_bool(first, false, "stop at the first violation");
DEFINE_string(known_red, "",
              "violations to print and ignore, SCENARIO/SEED/INVARIANT separated by commas");

namespace pumicedyke::sim {
namespace {

constexpr int kNoViolations = 0;
constexpr int kViolationsFound = 1;
constexpr int kUsage = 2;
constexpr size_t kTraceLines = 25;

struct Job {
  const Scenario* scenario;
  uint64_t seed;
};

struct Totals {
  uint64_t runs = 0;
  uint64_t events = 0;
  uint64_t calls = 0;
  uint64_t complete = 0;
  uint64_t changes = 0;
  uint64_t trace_hash = 0;
  std::map<std::string, uint64_t> violations;
};

int List() {
  std::cout << "scenarios:\n";
  for (const Scenario& scenario : AllScenarios()) {
    std::cout << "  " << scenario.name << ": " << scenario.what << "\n";
  }
  std::cout << "mechanisms (with the invariant that misses them):\n";
  for (const Mechanism& mechanism : AllMechanisms()) {
    std::cout << "  " << mechanism.name << " [" << InvariantName(mechanism.guards) << ", shown by "
              << mechanism.scenario << "]: " << mechanism.what << "\n";
  }
  return kNoViolations;
}

int Usage(const std::string& what) {
  std::cerr << "pumicedyke-sim: " << what << "; see --help\n";
  return kUsage;
}

/// Returns the name of a violation in `--known_red`.
std::string ViolationName(const RunResult& result, const Violation& violation) {
  return result.scenario + "/" + std::to_string(result.seed) + "/" +
         std::string(InvariantName(violation.invariant));
}

/// Removes the known violations from the result and prints their names.
void RemoveKnownViolations(const std::set<std::string>& known, RunResult* result) {
  std::set<std::string> found;
  std::erase_if(result->violations, [&](const Violation& violation) {
    const std::string name = ViolationName(*result, violation);
    const bool is_known = known.contains(name);
    if (is_known) {
      found.insert(name);
    }
    return is_known;
  });
  for (const std::string& name : found) {
    std::cout << "KNOWN RED " << name << "\n";
  }
}

void PrintViolation(const RunResult& result) {
  const Violation& first = result.violations.front();
  std::cout << "BROKEN " << InvariantName(first.invariant) << " in " << result.scenario
            << " with seed " << result.seed << ": " << first.what << "\n";
  const size_t skip = result.recent.size() > kTraceLines ? result.recent.size() - kTraceLines : 0;
  for (size_t i = skip; i < result.recent.size(); ++i) {
    std::cout << "    " << result.recent[i] << "\n";
  }
}

Totals RunAll(const std::vector<Job>& jobs, const DisabledMechanisms& disabled) {
  std::atomic<size_t> next{0};
  std::atomic<bool> stop{false};
  std::mutex mutex;
  Totals totals;
  const std::set<std::string> known = absl::StrSplit(FLAGS_known_red, ',', absl::SkipEmpty());
  const auto work = [&] {
    for (size_t i = next++; i < jobs.size() && !stop; i = next++) {
      RunResult result = RunScenario(*jobs[i].scenario, jobs[i].seed, disabled, FLAGS_trace);
      const std::lock_guard lock(mutex);
      RemoveKnownViolations(known, &result);
      ++totals.runs;
      totals.events += result.events;
      totals.calls += result.calls;
      totals.complete += result.complete_answers;
      totals.changes += result.changes;
      // A sum does not depend on the order in which threads finish.
      totals.trace_hash += result.trace_hash;
      if (FLAGS_trace) {
        std::cout << result.full_trace;
      }
      for (const Violation& violation : result.violations) {
        ++totals.violations[std::string(InvariantName(violation.invariant))];
      }
      if (!result.violations.empty()) {
        PrintViolation(result);
        stop = FLAGS_first;
      }
    }
  };
  const int count =
      FLAGS_threads > 0 ? FLAGS_threads : static_cast<int>(std::thread::hardware_concurrency());
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return totals;
}

int Main() {
  if (FLAGS_list) {
    return List();
  }
  const std::vector<std::string> bounds = absl::StrSplit(FLAGS_seeds, '-');
  uint64_t first = 0;
  uint64_t last = 0;
  const bool range_ok = absl::SimpleAtoi(bounds[0], &first) &&
                        absl::SimpleAtoi(bounds.back(), &last) && first <= last;
  if (!range_ok) {
    return Usage("--seeds must be A-B");
  }
  DisabledMechanisms disabled;
  if (!FLAGS_without.empty()) {
    if (FindMechanism(FLAGS_without) == nullptr) {
      return Usage("no mechanism '" + FLAGS_without + "'");
    }
    disabled.insert(FLAGS_without);
  }
  if (FLAGS_scenario != "all" && FindScenario(FLAGS_scenario) == nullptr) {
    return Usage("no scenario '" + FLAGS_scenario + "'");
  }
  std::vector<Job> jobs;
  for (uint64_t seed = first; seed <= last; ++seed) {
    for (const Scenario& scenario : AllScenarios()) {
      if (FLAGS_scenario == "all" || FLAGS_scenario == scenario.name) {
        jobs.push_back({&scenario, seed});
      }
    }
  }
  std::cout << "seeds " << first << "-" << last << ", " << jobs.size() << " runs\n";
  const Totals totals = RunAll(jobs, disabled);
  const Json summary{{"seeds", FLAGS_seeds},
                     {"scenario", FLAGS_scenario},
                     {"without", FLAGS_without},
                     {"runs", totals.runs},
                     {"events", totals.events},
                     {"calls", totals.calls},
                     {"complete_answers", totals.complete},
                     {"accepted_changes", totals.changes},
                     {"trace_hash", totals.trace_hash},
                     {"violations", totals.violations}};
  std::cout << summary.dump() << "\n";
  return totals.violations.empty() ? kNoViolations : kViolationsFound;
}

}  // namespace
}  // namespace pumicedyke::sim

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "simulates a cluster under failures; exit 0: all invariants hold, "
      "1: one is broken, 2: usage");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return pumicedyke::sim::Main();
}
