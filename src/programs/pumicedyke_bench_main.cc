// Benchmarks. `run SCENARIO` and `compare A.json B.json` use simulated time; `changes` measures the
// cost of a leaf change at a gateway, and `limits` the cost of tenants' limits.
// docs/PERFORMANCE.md.
#include <gflags/gflags.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "bench/leaf_changes.h"
#include "bench/limit_lending.h"
#include "bench/report.h"
#include "policy/policy_program.h"

DEFINE_string(loads, "0.3,0.6,0.8,1.0,1.3", "offered loads, as fractions of the slots");
DEFINE_int32(seeds, 3, "runs of each variant and load, with seeds from 1");
DEFINE_double(length_s, 20, "measured length of a run, simulated seconds");
DEFINE_string(policy, "", "policy program that replaces the scenario's");
DEFINE_string(compare, "wait-for-all,naive-retry,fixed-hedge,oracle", "baselines to compare with");
DEFINE_string(disturb, "none", "none, lost-replica, frozen-replica or burst");
DEFINE_string(out, "", "prefix of the output files OUT.json and OUT.html");
DEFINE_int32(threads, 0, "number of threads; 0: one per core");
DEFINE_bool(quiet, false, "print no progress");

namespace pumicedyke::bench {
namespace {

constexpr int kUsage = 2;

int Fail(const std::string& what) {
  std::cerr << "pumicedyke-bench: " << what << "; see --help\n";
  return kUsage;
}

bool ParseDisturbance(Disturbance* disturbance) {
  for (const Disturbance candidate : {Disturbance::kNone, Disturbance::kLostReplica,
                                      Disturbance::kFrozenReplica, Disturbance::kBurst}) {
    if (FLAGS_disturb == DisturbanceName(candidate)) {
      *disturbance = candidate;
      return true;
    }
  }
  return false;
}

std::vector<RunReport> RunAll(const BenchScenario& scenario, const std::vector<RunOptions>& jobs) {
  std::vector<RunReport> reports(jobs.size());
  std::atomic<size_t> next{0};
  std::atomic<size_t> done{0};
  std::mutex mutex;
  const auto work = [&] {
    for (size_t i = next++; i < jobs.size(); i = next++) {
      reports[i] = RunSimulated(scenario, jobs[i]);
      const std::lock_guard lock(mutex);
      ++done;
      if (!FLAGS_quiet) {
        std::cerr << "\r" << scenario.name << ": " << done << " of " << jobs.size() << " runs"
                  << std::flush;
      }
    }
  };
  const auto count = FLAGS_threads > 0 ? static_cast<unsigned>(FLAGS_threads)
                                       : std::max(1U, std::thread::hardware_concurrency());
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < count; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  if (!FLAGS_quiet) {
    std::cerr << "\n";
  }
  return reports;
}

int Run(const std::string& path) {
  absl::StatusOr<BenchScenario> scenario = ReadScenario(path);
  if (!scenario.ok()) {
    std::cerr << scenario.status().message() << "\n";
    return kUsage;
  }
  if (!FLAGS_policy.empty()) {
    std::ifstream file(FLAGS_policy);
    scenario->policy.assign(std::istreambuf_iterator<char>(file), {});
    if (absl::Status status = policy::PolicyProgram::Check(scenario->policy); !status.ok()) {
      return Fail(absl::StrCat("--policy: ", std::string(status.message())));
    }
  }
  Disturbance disturbance = Disturbance::kNone;
  if (!ParseDisturbance(&disturbance)) {
    return Fail("--disturb: no disturbance " + FLAGS_disturb);
  }
  std::vector<std::string> names = absl::StrSplit(FLAGS_compare, ',', absl::SkipEmpty());
  names.insert(names.begin(), "product");
  const std::vector<std::string> loads = absl::StrSplit(FLAGS_loads, ',', absl::SkipEmpty());
  std::vector<RunOptions> jobs;
  for (const std::string& name : names) {
    const VariantInfo* info = FindVariant(name);
    if (info == nullptr) {
      return Fail("--compare: no variant " + name);
    }
    for (const std::string& text : loads) {
      double load = 0;
      if (!absl::SimpleAtod(text, &load) || load <= 0) {
        return Fail("--loads: must be numbers above 0");
      }
      for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
        RunOptions options;
        options.variant = info->variant;
        options.load = load;
        options.seed = static_cast<uint64_t>(seed);
        options.length = Milliseconds(static_cast<int64_t>(FLAGS_length_s * 1000));
        options.disturbance = disturbance;
        jobs.push_back(options);
      }
    }
  }
  Report report{scenario->name, scenario->reading, FLAGS_disturb, scenario->CapacityQueries(), {}};
  report.runs = RunAll(*scenario, jobs);
  std::cout << Table(report);
  if (!FLAGS_out.empty()) {
    std::ofstream(FLAGS_out + ".json") << Json(report).dump() << "\n";
    std::ofstream(FLAGS_out + ".html") << Page(report);
  }
  return 0;
}

int CompareFiles(const std::string& before, const std::string& after) {
  const absl::StatusOr<Report> a = ReadReport(before);
  const absl::StatusOr<Report> b = ReadReport(after);
  if (!a.ok() || !b.ok()) {
    return Fail(std::string((a.ok() ? b : a).status().message()));
  }
  std::cout << Compare(*a, *b);
  return 0;
}

}  // namespace
}  // namespace pumicedyke::bench

int main(int argc, char** argv) {
  using namespace pumicedyke::bench;  // NOLINT
  gflags::SetUsageMessage("run SCENARIO.toml | compare BEFORE.json AFTER.json | changes | limits");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.size() == 2 && arguments[0] == "run") {
    return Run(arguments[1]);
  }
  if (arguments.size() == 3 && arguments[0] == "compare") {
    return CompareFiles(arguments[1], arguments[2]);
  }
  if (arguments.size() == 1 && arguments[0] == "changes") {
    std::cout << LeafChangeTable(MeasureLeafChanges({500, 2000, 9574, 30000, 60000}));
    return 0;
  }
  if (arguments.size() == 1 && arguments[0] == "limits") {
    std::cout << LimitCostTable(MeasureLimits());
    return 0;
  }
  return Fail("expects 'run SCENARIO', 'compare BEFORE AFTER', 'changes' or 'limits'");
}
