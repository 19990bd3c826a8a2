// One benchmark run in simulated time: the product's node cores and the leaf model under an open
// load. Deterministic for a seed.
#pragma once

#include <string>
#include <vector>

#include "bench/bench_scenario.h"
#include "bench/variant.h"
#include "common/json.h"

namespace pumicedyke::bench {

/// What happens in the middle of a run.
enum class Disturbance {
  kNone,
  /// A leaf dies and stays away.
  kLostReplica,
  /// A leaf stands still and stays so.
  kFrozenReplica,
  /// The load is 130% of the slots for the middle third.
  kBurst,
};
const char* DisturbanceName(Disturbance disturbance);

struct RunOptions {
  Variant variant = Variant::kProduct;
  /// Offered load as a share of all slots.
  double load = 0.6;
  uint64_t seed = 1;
  Duration warm_up = Seconds(3);
  Duration length = Seconds(20);
  Disturbance disturbance = Disturbance::kNone;
};

struct RunReport {
  std::string variant;
  double load = 0;
  uint64_t seed = 0;
  double offered_per_s = 0;
  /// Complete answers, and answers that reached the policy's coverage, a second.
  double complete_per_s = 0;
  double goodput_per_s = 0;
  uint64_t queries = 0;
  double refused_share = 0;
  /// Among admitted queries.
  double complete_share = 0;
  double mean_coverage = 0;
  /// Sub-requests beyond one a shard, as a share of those.
  double extra_share = 0;
  double p50_ms = 0;
  double p90_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  /// From arrival at the node to the refusal.
  double refusal_p99_ms = 0;
  double shed_share = 0;
  /// Latencies of admitted queries at 0, 1, ... 1000 thousandths.
  std::vector<double> latency_curve_ms;
  /// p99 and goodput of every second.
  std::vector<double> p99_by_second_ms;
  std::vector<double> goodput_by_second;
  double cpu_s = 0;
  uint64_t sub_requests = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunReport, variant, load, seed, offered_per_s,
                                                complete_per_s, goodput_per_s, queries,
                                                refused_share, complete_share, mean_coverage,
                                                extra_share, p50_ms, p90_ms, p99_ms, p999_ms,
                                                refusal_p99_ms, shed_share, latency_curve_ms,
                                                p99_by_second_ms, goodput_by_second, cpu_s,
                                                sub_requests)

RunReport RunSimulated(const BenchScenario& scenario, const RunOptions& options);

}  // namespace pumicedyke::bench
