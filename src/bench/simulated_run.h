// A benchmark run in simulated time: the product's node core and the leaf model under an open-loop
// load. Deterministic for a seed.
#pragma once

#include <string>
#include <vector>

#include "bench/bench_scenario.h"
#include "bench/variant.h"
#include "common/json.h"

namespace pumicedyke::bench {

/// The fault or load change in the middle of a run.
enum class Disturbance {
  kNone,
  /// A leaf crashes and does not restart.
  kLostReplica,
  /// A leaf is paused until the end of the run.
  kFrozenReplica,
  /// The load is 130% of all slots during the middle third.
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
  /// Complete answers per second, and answers per second that reached the policy's coverage.
  double complete_per_s = 0;
  double goodput_per_s = 0;
  uint64_t queries = 0;
  double refused_share = 0;
  /// Among admitted queries.
  double complete_share = 0;
  double mean_coverage = 0;
  /// Sub-requests beyond one per shard, as a share of one per shard.
  double extra_share = 0;
  double p50_ms = 0;
  double p90_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  /// Time from arrival at the node to the refusal.
  double refusal_p99_ms = 0;
  double shed_share = 0;
  /// Latency quantiles of admitted queries, in steps of one thousandth.
  std::vector<double> latency_curve_ms;
  /// 99th percentile latency and goodput, for each second of the run.
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
