#include "sim/scenario.h"

#include <algorithm>
#include <memory>

#include "absl/strings/str_cat.h"

namespace pumicedyke::sim {
namespace {

constexpr Duration kSettle = Seconds(6);
constexpr Duration kRestart = Seconds(1);
constexpr Duration kProbe = Seconds(3);

/// Checks, after all faults are healed, that each node serves both services completely and that the
/// control group accepts a change. Detects permanent loss.
class FinalProbe {
 public:
  explicit FinalProbe(World* world) : world_(world) {}

  void Start() {
    for (size_t node = 0; node < world_->nodes.size(); ++node) {
      Ask(node, kReadService);
      Ask(node, kJobService);
    }
    world_->SubmitUntilDecided(world_->MakePolicyChange(kReadService, "final-probe"),
                               [this] { accepted_ = true; });
  }

  void Check() {
    if (answers_ < 2 * world_->nodes.size()) {
      world_->history.Fail(Invariant::kOwnCompleteAnswer, world_->clock.now(),
                           "a node gives no complete answer after everything healed");
    }
    if (!accepted_) {
      world_->history.Fail(Invariant::kConfigInForce, world_->clock.now(),
                           "no change is accepted after everything healed");
    }
  }

 private:
  void Ask(size_t node, const std::string& service) {
    query::CallerRequest request;
    request.service = service;
    request.query = absl::StrCat("probe ", node, " ", service, " ", ++request_count_);
    request.request_class = "full";
    if (service == kJobService) {
      request.idempotency_key = request.query;
    }
    // A straggler may make one probe miss its deadline, so a failed probe is retried.
    constexpr int kTries = 20;
    world_->Ask(node, request, [this, node, service](const query::Answer& answer) {
      if (answer.code == ResultCode::kOk) {
        ++answers_;
      } else if (request_count_ < kTries * 4) {
        world_->clock.After(Milliseconds(50), [this, node, service] { Ask(node, service); });
      }
    });
  }

  World* world_;
  size_t answers_ = 0;
  int request_count_ = 0;
  bool accepted_ = false;
};

void SkewClocks(World* world) {
  constexpr double kSkew = 0.045;
  const auto rate = [world] { return 1.0 - kSkew + 2 * kSkew * world->Uniform(); };
  for (const auto& control : world->controls) {
    control->SetClockRate(rate());
  }
  for (const auto& node : world->nodes) {
    node->SetClockRate(rate());
  }
}

/// Submits changes one after the other, each after the previous one was accepted.
void SubmitInTurn(World* world, int remaining, const std::shared_ptr<bool>& done) {
  if (remaining == 0) {
    *done = true;
    return;
  }
  world->SubmitUntilDecided(
      world->MakePolicyChange(kReadService, absl::StrCat("first-", remaining)),
      [world, remaining, done] { SubmitInTurn(world, remaining - 1, done); });
}

}  // namespace

const std::vector<Scenario>& AllScenarios() {
  using enum Fault;
  const OperatorOptions racing{.races = true, .max_pause = Milliseconds(500)};
  const OperatorOptions busy{.max_pause = Milliseconds(200)};
  const OperatorOptions repartitioning{.repartitions = true};
  static const auto* const scenarios = new std::vector<Scenario>{
      {.name = "calm", .what = "no failures"},
      {.name = "stragglers",
       .what = "leafs straggle and pause",
       .faults = {kPauseLeaf},
       .fault_interval = Milliseconds(500),
       .faulty_leafs = true},
      {.name = "lost-replica",
       .what = "leafs crash or pause, and recover",
       .faults = {kKillLeaf, kPauseLeaf},
       .fault_interval = Milliseconds(400)},
      {.name = "repartition",
       .what = "snapshots with other partition maps are published under traffic; leafs lag",
       .faults = {kKillLeaf},
       .fault_interval = Seconds(2),
       .operators = repartitioning,
       .faulty_leafs = true},
      {.name = "node-restart",
       .what = "nodes are killed or paused, and callers retry",
       .faults = {kKillNode, kPauseNode},
       .fault_interval = Milliseconds(600)},
      {.name = "control-crash",
       .what = "the leader or all control machines crash",
       .faults = {kKillControl, kKillAllControls},
       .fault_interval = Milliseconds(1300)},
      {.name = "cut-leader",
       .what = "the leader is cut off from its peers without notice; nodes restart meanwhile",
       .faults = {kCutLeader, kKillNode, kOneWayCut},
       .fault_interval = Milliseconds(500),
       .operators = busy},
      {.name = "frozen-leader",
       .what = "the leader is paused past its lease and resumes",
       .faults = {kPauseLeader, kKillNode},
       .fault_interval = Milliseconds(700)},
      {.name = "lost-disk",
       .what =
           "a disk is lost while another machine is cut off; a second one right after the repair",
       .faults = {kLoseDisk},
       .fault_interval = Milliseconds(1500),
       .length = Seconds(9)},
      {.name = "rejoin",
       .what = "one of five control machines loses its disk; after the time in which it becomes a "
               "voter "
               "again, two more lose theirs while all others are killed",
       .faults = {kLoseDisksInTurn},
       .fault_interval = Milliseconds(300),
       .control_machines = 5,
       .length = Seconds(9)},
      {.name = "racing-operators",
       .what = "two operators submit changes on the same revision and resend when answers are lost",
       .faults = {kBadNetwork, kKillControl},
       .fault_interval = Milliseconds(1200),
       .operators = racing},
      {.name = "drain",
       .what = "leafs leave by configuration, platform list or health report; nodes lose their "
               "connections to control",
       .faults = {kLeaveLeaf, kCutControlFromNodes},
       .fault_interval = Milliseconds(1000),
       .length = Seconds(10)},
      {.name = "planned-stop",
       .what = "planned stops of nodes and of the leader under load",
       .faults = {kPlannedStopNode, kPlannedStopControl},
       .fault_interval = Milliseconds(900),
       .operators = racing},
      {.name = "many-changes",
       .what = "control restarts after hundreds of changes",
       .faults = {kKillAllControls, kKillNode},
       .fault_interval = Milliseconds(1500),
       .initial_changes = 300,
       .length = Seconds(4)},
      {.name = "bad-network",
       .what = "messages are lost, duplicated and reordered",
       .faults = {kBadNetwork, kOneWayCut, kCutControlFromNodes},
       .fault_interval = Milliseconds(700),
       .operators = racing},
      {.name = "skewed-clocks",
       .what = "clocks run at rates up to 9% apart while the leader is cut off or paused",
       .faults = {kCutLeader, kPauseLeader, kKillNode},
       .fault_interval = Milliseconds(800),
       .skewed_clocks = true},
      {.name = "fatal-query",
       .what = "a query that crashes every leaf that runs it is sent repeatedly to either node",
       .faults = {kKillLeaf, kPauseLeaf, kKillNode},
       .fault_interval = Milliseconds(1500),
       .fatal_caller = FatalCallerOptions{},
       .length = Seconds(12)},
      {.name = "fatal-query-control",
       .what = "as fatal-query, while control machines crash and are cut off",
       .faults = {kKillLeaf, kKillNode, kKillControl, kCutLeader, kPauseLeader},
       .fault_interval = Milliseconds(1800),
       .fatal_caller = FatalCallerOptions{},
       .length = Seconds(16)},
      {.name = "rare-fatal-query",
       .what =
           "a query that crashes leafs reaches both nodes at once every few seconds, while leafs "
           "crash for other reasons and nodes and all control machines are killed",
       .faults = {kKillLeaf, kKillLeaf, kKillAllLeafs, kKillNode, kKillControl, kKillAllControls,
                  kCutLeader},
       .fault_interval = Milliseconds(1000),
       .fatal_caller =
           FatalCallerOptions{
               .min_pause = Seconds(4), .max_pause = Seconds(7), .at_both_nodes = true},
       .length = Seconds(40)},
      {.name = "crash-loop",
       .what = "all leafs crash at once repeatedly, for reasons unrelated to the requests that are "
               "retried meanwhile",
       .faults = {kKillAllLeafs},
       .fault_interval = Milliseconds(1100),
       .retrying_caller = true,
       .length = Seconds(10)},
      {.name = "told-outcomes",
       .what = "nodes and leaders crash just after outcomes of non-repeatable work were reported",
       .faults = {kKillNode, kKillNode, kKillControl, kCutLeader},
       .fault_interval = Milliseconds(150),
       .repeating_caller = true},
      {.name = "storm",
       .what = "most faults together, in quick succession",
       .faults = {kKillLeaf, kPauseLeaf, kLeaveLeaf, kKillNode, kPauseNode, kPlannedStopNode,
                  kKillControl, kKillAllControls, kPauseLeader, kCutLeader, kCutControlFromNodes,
                  kOneWayCut, kLoseDisk, kPlannedStopControl, kBadNetwork},
       .fault_interval = Milliseconds(300),
       .operators = {.races = true, .repartitions = true},
       .faulty_leafs = true,
       .skewed_clocks = true,
       .length = Seconds(9)},
  };
  return *scenarios;
}

const Scenario* FindScenario(std::string_view name) {
  const auto& all = AllScenarios();
  const auto found = std::find_if(all.begin(), all.end(),
                                  [name](const Scenario& item) { return item.name == name; });
  return found == all.end() ? nullptr : &*found;
}

RunResult RunScenario(const Scenario& scenario, uint64_t seed, const DisabledMechanisms& disabled,
                      bool keep_trace) {
  World world({seed, disabled, scenario.faulty_leafs, scenario.control_machines});
  if (keep_trace) {
    world.history.KeepFullTrace();
  }
  if (scenario.skewed_clocks) {
    SkewClocks(&world);
  }
  world.Boot();
  if (scenario.initial_changes > 0) {
    auto done = std::make_shared<bool>(false);
    SubmitInTurn(&world, scenario.initial_changes, done);
    const Timestamp latest = world.clock.now() + Seconds(60);
    while (!*done && world.clock.RunNext(latest)) {
    }
  }
  const Timestamp end = world.clock.now() + scenario.length;
  std::vector<std::unique_ptr<Caller>> callers;
  for (size_t node = 0; node < world.nodes.size(); ++node) {
    callers.push_back(std::make_unique<Caller>(&world, node, absl::StrCat("caller-", node)));
    callers.back()->Start(end);
  }
  FatalCaller fatal_caller(&world, scenario.fatal_caller.value_or(FatalCallerOptions{}));
  if (scenario.fatal_caller.has_value()) {
    fatal_caller.Start(end);
  }
  RetryingCaller retrying_caller(&world);
  if (scenario.retrying_caller) {
    retrying_caller.Start(end);
  }
  RepeatingCaller repeating_caller(&world);
  if (scenario.repeating_caller) {
    repeating_caller.Start(end);
  }
  Operators operators(&world, scenario.operators);
  operators.Start(end);
  Nemesis nemesis(&world, scenario.faults, scenario.fault_interval);
  nemesis.Start(end);
  world.RunUntil(end);
  world.HealEverything();
  world.RunUntil(end + kSettle);
  // Heals again: the recovery of some faults was still scheduled at the first time.
  world.HealEverything();
  world.RunUntil(end + 2 * kSettle);
  // Starts processes again whose planned stop had to wait for a quorum.
  world.HealEverything();
  world.RunUntil(end + 2 * kSettle + kRestart);
  FinalProbe probe(&world);
  probe.Start();
  world.RunUntil(end + 2 * kSettle + kRestart + kProbe);
  probe.Check();
  std::map<std::string, const emulator::LeafModel*> models;
  for (const auto& [name, leaf] : world.leafs) {
    models[name] = leaf->model();
  }
  world.history.CheckRuns(world.clock.now(), models);
  for (const auto& node : world.nodes) {
    if (!node->alive()) {
      continue;  // Reported by the final probe.
    }
    world.history.CheckQuarantine(world.clock.now(), node->name(),
                                  node->server()->config().quarantine(),
                                  IdentityOf(FatalCaller::Request()));
    world.history.CheckFinalConfig(world.clock.now(), node->name(),
                                   node->server()->config().services());
  }
  RunResult result;
  result.scenario = std::string(scenario.name);
  result.seed = seed;
  result.events = world.clock.executed();
  result.calls = world.history.calls();
  result.complete_answers = world.history.complete_answers();
  result.changes = world.history.accepted_changes();
  result.trace_hash = world.history.trace_hash();
  result.violations = world.history.violations();
  result.recent.assign(world.history.recent().begin(), world.history.recent().end());
  result.full_trace = world.history.full_trace();
  return result;
}

}  // namespace pumicedyke::sim
