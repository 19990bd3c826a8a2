#include "bench/bench_scenario.h"

#include <cmath>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "common/result_code.h"
#include "common/settings.h"
#include "policy/policy_program.h"

namespace pumicedyke::bench {
namespace {

constexpr int64_t kMaxLeafs = 100000;

Duration FromMilliseconds(double ms) { return Duration(static_cast<int64_t>(ms * 1000)); }

}  // namespace

std::string BenchScenario::LeafName(size_t leaf) const { return absl::StrCat("leaf-", leaf); }

std::vector<config::Shard> BenchScenario::PartitionMap() const {
  std::vector<config::Shard> map;
  for (size_t i = 0; i < shards; ++i) {
    config::Shard shard;
    shard.id = ShardId{i + 1};
    for (size_t replica = 0; replica < replicas; ++replica) {
      shard.replicas.push_back(LeafName((i * stride + replica) % leafs));
    }
    map.push_back(std::move(shard));
  }
  return map;
}

Duration BenchScenario::MeanServiceTime() const {
  const double body = model.median_ms * std::exp(model.sigma * model.sigma / 2);
  const double mean_straggler_factor = (model.straggler_min + model.straggler_max) / 2;
  const double factor = 1 - model.straggler_share + model.straggler_share * mean_straggler_factor;
  return FromMilliseconds(body * factor);
}

double BenchScenario::CapacityQueries() const {
  const double sub_requests =
      static_cast<double>(leafs) * slots * 1e6 / static_cast<double>(MeanServiceTime().count());
  return sub_requests / static_cast<double>(shards);
}

absl::StatusOr<BenchScenario> ReadScenario(const std::string& path) {
  Settings file(path);
  BenchScenario scenario;
  scenario.name = file.Required("name", "the name of the scenario");
  scenario.reading = file.String("reading", "");
  scenario.shards = static_cast<size_t>(file.Integer("shards", 1, 1, kMaxLeafs));
  scenario.leafs = static_cast<size_t>(file.Integer("leafs", 1, 1, kMaxLeafs));
  scenario.replicas = static_cast<size_t>(file.Integer("replicas", 1, 1, 16));
  scenario.stride = static_cast<size_t>(file.Integer("stride", 1, 1, kMaxLeafs));
  scenario.slots = static_cast<uint32_t>(file.Integer("slots", 1, 1, 1000));
  scenario.nodes = static_cast<size_t>(file.Integer("nodes", 1, 1, 10000));
  scenario.client_delay = FromMilliseconds(file.Number("client_ms", 1, 0, 1000));
  scenario.leaf_delay = FromMilliseconds(file.Number("zone_ms", 1, 0, 1000));
  scenario.connection_cost = FromMilliseconds(file.Number("connection_ms", 1, 0, 1000));
  scenario.model.median_ms = file.Number("median_ms", 4, 0.01, 10000);
  scenario.model.sigma = file.Number("sigma", 0.4, 0, 5);
  scenario.model.straggler_share = file.Number("straggler_share", 0.01, 0, 1);
  scenario.model.pause = FromMilliseconds(file.Number("pause_ms", 500, 0, 60000));
  scenario.pausing_leaf = static_cast<size_t>(file.Integer("pausing_leaf", 0, 0, kMaxLeafs));
  scenario.seed = static_cast<uint64_t>(file.Integer("seed", 1, 0, int64_t{1} << 40));
  scenario.policy_file = file.Required("policy", "the path of a policy program");
  if (scenario.replicas > scenario.leafs) {
    file.AddError("replicas", "must be at most the number of leafs");
  }
  const std::filesystem::path policy_path =
      std::filesystem::path(path).parent_path() / scenario.policy_file;
  if (std::filesystem::is_regular_file(policy_path)) {
    std::ifstream policy(policy_path);
    scenario.policy.assign(std::istreambuf_iterator<char>(policy), {});
  }
  if (absl::Status status = policy::PolicyProgram::Check(scenario.policy);
      scenario.policy.empty() || !status.ok()) {
    file.AddError("policy", absl::StrCat("must name a valid policy program: ",
                                         std::string(status.message())));
  }
  if (absl::Status status = file.Finish(); !status.ok()) {
    return status;
  }
  return scenario;
}

}  // namespace pumicedyke::bench
