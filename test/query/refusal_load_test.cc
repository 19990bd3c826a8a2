// Simulates gathers while many leafs refuse a fraction of their requests, without a network. Each
// owner of a group has its own view of the leafs and its own share of the budget; leafs have slots
// and queues; the test controls the clock. The fraction served is compared with the best possible.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway_server.h"
#include "query/extra_load_priority.h"
#include "query/request_execution.h"

namespace pumicedyke::query {
namespace {

constexpr Timestamp kStart{Seconds(100)};
constexpr uint64_t kSeed = 20240611;
constexpr size_t kGroups = 3;
constexpr size_t kShardsOfGroup = 12;
constexpr size_t kShards = kGroups * kShardsOfGroup;
constexpr size_t kLeafsOfShard = 3;
constexpr size_t kOwners = 4;
constexpr uint32_t kSlots = 2;
constexpr size_t kQueue = 12;
constexpr Duration kNetworkLatency = Microseconds(700);
constexpr Duration kMeanRunTime = Milliseconds(8);
constexpr Duration kDeadline = Milliseconds(1000);
constexpr Duration kTestDuration = Seconds(9);
constexpr size_t kRequests = 315;
constexpr double kRatio = 0.2;

/// Combination of features under test.
struct Strategy {
  const char* name = "";
  /// Retries leafs that refuse, and spends the budget in order.
  bool retry_refusals = true;
  /// The choice of leafs considers the refusal rate of each.
  bool learn_refusal_rates = true;
};

struct Load {
  /// Fraction of leafs that shed; with `one_spared`, never all leafs of a shard.
  double leafs = 0;
  bool one_spared = false;
  /// Fraction of requests that they shed.
  double shed = 0;
  /// Extra sub-requests of a shard beyond the ratio, summed over all owners.
  double extra_budget = 0;
  double min_coverage = 0;
  /// Minimum fraction served, relative to the best possible.
  double min_of_best = 0;
};

struct Result {
  size_t served = 0;
  size_t extra = 0;
  /// Maximum number of extra sub-requests of a shard.
  size_t max_extra = 0;
  /// Mean time until a request that was not served ended.
  Duration mean_held{};
};

/// A leaf that refuses at random or when full, and otherwise runs requests in order of arrival.
struct SimLeaf {
  double shed = 0;
  size_t running = 0;
  std::deque<std::function<void()>> queue;
};

struct Owner {
  std::unique_ptr<balance::LeafPool> pool;
  std::unique_ptr<balance::LatencyTracker> latencies;
  std::vector<std::unique_ptr<balance::SlidingWindowBudget>> budgets;
};

/// Execution of one group of a request at its owner.
struct GroupExecution {
  std::unique_ptr<RequestExecution> execution;
  Owner* owner = nullptr;
  size_t covered = 0;
  size_t gaps = 0;
  bool done = false;
};

struct Gather {
  std::vector<GroupExecution> groups{kGroups};
  size_t need = 0;
  Timestamp started;
  bool ended = false;
  bool served = false;
};

class Fleet {
 public:
  Fleet(const Load& load, const Strategy& strategy)
      : load_(load), strategy_(strategy), random_(kSeed) {
    MakeLeafs();
    MakeOwners();
  }

  Result Run() {
    gathers_.resize(kRequests);
    for (size_t i = 0; i < kRequests; ++i) {
      const Duration at = kTestDuration * static_cast<int64_t>(i) / static_cast<int64_t>(kRequests);
      Schedule(kStart + at, [this, i] { StartGather(i); });
    }
    while (!events_.empty()) {
      const auto next = events_.begin();
      now_ = next->first;
      const std::function<void()> run = std::move(next->second);
      events_.erase(next);
      run();
    }
    for (const size_t extra : extra_) {
      result_.extra += extra;
      result_.max_extra = std::max(result_.max_extra, extra);
    }
    const size_t lost = kRequests - result_.served;
    result_.mean_held = lost == 0 ? Duration(0) : held_ / static_cast<int64_t>(lost);
    return result_;
  }

  /// Returns the number of shards whose leafs all shed.
  size_t fully_shedding_shards() const { return fully_shedding_shards_; }

 private:
  void Schedule(Timestamp when, std::function<void()> run) {
    events_.emplace(when, std::move(run));
  }
  double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  static std::string LeafName(size_t shard, size_t leaf) {
    return "l" + std::to_string(shard) + "-" + std::to_string(leaf);
  }

  void MakeLeafs() {
    const size_t may_shed = load_.one_spared ? kLeafsOfShard - 1 : kLeafsOfShard;
    for (size_t shard = 0; shard < kShards; ++shard) {
      size_t shedding = 0;
      for (size_t leaf = 0; leaf < kLeafsOfShard; ++leaf) {
        const bool sheds = leaf < may_shed && RandomFraction() < load_.leafs;
        leafs_[LeafName(shard, leaf)].shed = sheds ? load_.shed : 0;
        shedding += sheds ? 1 : 0;
      }
      fully_shedding_shards_ += shedding == kLeafsOfShard ? 1 : 0;
    }
  }

  void MakeOwners() {
    balance::BalanceKnobs knobs = gateway::GatewayKnobs{}.balance;
    knobs.refusal_cost = strategy_.learn_refusal_rates ? knobs.refusal_cost : 0;
    for (size_t i = 0; i < kGroups * kOwners; ++i) {
      Owner& owner = owners_.emplace_back();
      owner.pool = std::make_unique<balance::LeafPool>(knobs, kSeed + i);
      owner.latencies =
          std::make_unique<balance::LatencyTracker>(knobs.latency_window, Milliseconds(50));
      for (size_t shard = 0; shard < kShards; ++shard) {
        owner.budgets.push_back(
            std::make_unique<balance::SlidingWindowBudget>(Seconds(10), kRatio));
        owner.budgets.back()->SetBurst(load_.extra_budget / kOwners);
      }
      for (const auto& [name, leaf] : leafs_) {
        owner.pool->Configure(kStart, name, kSlots);
      }
    }
  }

  void StartGather(size_t index) {
    Gather& gather = gathers_[index];
    gather.started = now_;
    gather.need = static_cast<size_t>(std::ceil(load_.min_coverage * kShards - 1e-9));
    const std::string id = "request-" + std::to_string(index);
    for (size_t group = 0; group < kGroups; ++group) {
      GroupExecution& group_execution = gather.groups[group];
      group_execution.owner = &owners_[group * kOwners + random_() % kOwners];
      group_execution.execution = Execute(group_execution.owner, group, id);
      group_execution.execution->Advance(now_);
    }
    for (size_t group = 0; group < kGroups; ++group) {
      Collect(index, group);
    }
  }

  std::unique_ptr<RequestExecution> Execute(Owner* owner, size_t group, const std::string& id) {
    config::PublishedSnapshot snapshot{SnapshotId{1}, {}};
    ServiceContext context{owner->pool.get(), nullptr, owner->latencies.get(),
                           [this] { return SubRequestId{++ids_}; }};
    for (size_t i = 0; i < kShardsOfGroup; ++i) {
      const size_t shard = group * kShardsOfGroup + i;
      std::vector<std::string> replicas;
      for (size_t leaf = 0; leaf < kLeafsOfShard; ++leaf) {
        replicas.push_back(LeafName(shard, leaf));
      }
      snapshot.shards.push_back({ShardId{i}, replicas});
      context.shard_budgets.push_back(owner->budgets[shard].get());
    }
    context.budget = context.shard_budgets.front();
    policy::QueryPlan plan;
    plan.deadline = kDeadline;
    plan.wait = kDeadline;
    plan.min_coverage = 0;
    plan.extra_load = kRatio;
    plan.hedge_quantile = gateway::GatewayKnobs{}.hedge_quantile;
    plan.max_attempts = 2;
    ExecutionOptions options = gateway::GatewayOptions{}.execution;
    options.report_shard_results = true;
    options.retry_refusing_leafs = strategy_.retry_refusals;
    options.rank = RankOf(id);
    options.max_missing = MaxMissing(kShards, load_.min_coverage, kGroups, group, id);
    CallerRequest caller;
    caller.service = "all";
    caller.snapshot = snapshot.id;
    return std::make_unique<RequestExecution>(std::move(caller), plan, nullptr, nullptr, snapshot,
                                              std::move(context), options, now_);
  }

  void Collect(size_t index, size_t group) {
    Gather& gather = gathers_[index];
    GroupExecution& group_execution = gather.groups[group];
    if (group_execution.done) {
      return;
    }
    ExecutionActions actions = group_execution.execution->TakeActions();
    for (const LeafRequest& send : actions.sends) {
      CountSend(index, group, send.shard.value);
      Schedule(now_ + kNetworkLatency,
               [this, index, group, send] { OnArrival(index, group, send); });
    }
    group_execution.covered += group_execution.execution->TakeNewShardResults().size();
    group_execution.gaps += group_execution.execution->TakeNewMissingShards().size();
    group_execution.done = actions.answer.has_value();
    EvaluateGather(index);
    if (!group_execution.done && !gather.ended) {
      const Timestamp wake =
          std::max(group_execution.execution->NextWake(now_), now_ + Milliseconds(1));
      Schedule(wake, [this, index, group] { OnWake(index, group); });
    }
  }

  void OnWake(size_t index, size_t group) {
    Gather& gather = gathers_[index];
    if (!gather.ended && !gather.groups[group].done) {
      gather.groups[group].execution->Advance(now_);
      Collect(index, group);
    }
  }

  void CountSend(size_t index, size_t group, size_t place) {
    const size_t shard = group * kShardsOfGroup + place;
    if (!sent_.insert({index, shard}).second) {
      ++extra_[shard];
    }
  }

  /// Ends a gather once it is finished or can no longer be served, as the gateway of the client
  /// does.
  void EvaluateGather(size_t index) {
    Gather& gather = gathers_[index];
    if (gather.ended) {
      return;
    }
    size_t covered = 0;
    size_t gaps = 0;
    bool done = true;
    for (const GroupExecution& group_execution : gather.groups) {
      covered += group_execution.covered;
      gaps += group_execution.gaps;
      done &= group_execution.done;
    }
    gather.served = covered >= gather.need;
    const bool hopeless = kShards - gaps < gather.need;
    if (!done && !hopeless) {
      return;
    }
    gather.ended = true;
    result_.served += gather.served ? 1 : 0;
    held_ += gather.served ? Duration(0) : now_ - gather.started;
    for (GroupExecution& group_execution : gather.groups) {
      if (!group_execution.done) {
        group_execution.execution->AbandonAll(now_, /*timed_out=*/false);
      }
    }
  }

  void OnArrival(size_t index, size_t group, const LeafRequest& send) {
    SimLeaf& leaf = leafs_.at(send.leaf);
    const bool full = leaf.running >= kSlots && leaf.queue.size() >= kQueue;
    if (full || RandomFraction() < leaf.shed) {
      SendReply(index, group, send, LeafStatus::kShed);
    } else if (leaf.running < kSlots) {
      RunRequest(index, group, send);
    } else {
      leaf.queue.emplace_back([this, index, group, send] { RunRequest(index, group, send); });
    }
  }

  void RunRequest(size_t index, size_t group, const LeafRequest& send) {
    ++leafs_.at(send.leaf).running;
    const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
    const Duration work(static_cast<int64_t>(factor * static_cast<double>(kMeanRunTime.count())));
    Schedule(now_ + work, [this, index, group, send] {
      SimLeaf& leaf = leafs_.at(send.leaf);
      --leaf.running;
      SendReply(index, group, send, LeafStatus::kOk);
      if (!leaf.queue.empty()) {
        const std::function<void()> next = std::move(leaf.queue.front());
        leaf.queue.pop_front();
        next();
      }
    });
  }

  void SendReply(size_t index, size_t group, const LeafRequest& send, LeafStatus status) {
    const SimLeaf& leaf = leafs_.at(send.leaf);
    LeafReply reply;
    reply.id = send.id;
    reply.leaf = send.leaf;
    reply.shard = send.shard;
    reply.snapshot = SnapshotId{1};
    reply.status = status;
    reply.load = static_cast<uint32_t>(leaf.running + leaf.queue.size());
    if (status == LeafStatus::kOk) {
      reply.payload = std::make_shared<LeafPayload>();
    }
    Schedule(now_ + kNetworkLatency, [this, index, group, reply] { OnReply(index, group, reply); });
  }

  void OnReply(size_t index, size_t group, const LeafReply& reply) {
    GroupExecution& group_execution = gathers_[index].groups[group];
    const std::optional<Duration> latency = group_execution.owner->pool->OnReply(now_, reply);
    if (latency.has_value() && reply.status == LeafStatus::kOk) {
      group_execution.owner->latencies->Record(*latency);
    }
    if (!gathers_[index].ended && !group_execution.done) {
      group_execution.execution->OnReply(now_, reply);
      Collect(index, group);
    }
  }

  Load load_;
  Strategy strategy_;
  std::mt19937_64 random_;
  Timestamp now_ = kStart;
  std::multimap<Timestamp, std::function<void()>> events_;
  std::map<std::string, SimLeaf> leafs_;
  std::deque<Owner> owners_;
  std::vector<Gather> gathers_;
  std::set<std::pair<size_t, size_t>> sent_;
  std::array<size_t, kShards> extra_{};
  size_t fully_shedding_shards_ = 0;
  uint64_t ids_ = 0;
  Duration held_{};
  Result result_;
};

/// Returns the maximum fraction served with full knowledge of all leafs and a single shared budget.
/// @param fully_shedding number of shards whose leafs all shed.
double BestPossible(const Load& load, size_t fully_shedding) {
  const auto shards = static_cast<double>(fully_shedding);
  const double spare = std::floor(kShards * (1 - load.min_coverage) + 1e-9);
  const double lacking = shards * load.shed - spare;
  if (lacking <= 0) {
    return 1;
  }
  const double extra_each = lacking / (1 - load.shed);
  const double allowed = shards * (load.extra_budget + kRatio * kRequests);
  return std::min(1.0, allowed / (extra_each * kRequests));
}

constexpr Strategy kBaseline{"abandoned after two refusals", false, false};
constexpr Strategy kRetriesOnly{"retried, refusal rates not learned", true, false};
constexpr Strategy kRatesOnly{"refusal rates learned, abandoned", false, true};
constexpr Strategy kBoth{"retried, refusal rates learned", true, true};

const std::vector<Load>& Loads() {
  static const std::vector<Load> loads = {
      {0.8, true, 0.6, 180, 0.95, 0.98},  {0.8, true, 0.6, 180, 0.85, 0.98},
      {0.8, true, 0.9, 180, 0.95, 0.98},  {0.8, false, 0.6, 180, 0.95, 0.52},
      {0.8, false, 0.6, 180, 0.85, 0.48}, {0.5, false, 0.6, 180, 0.95, 0.65},
      {1.0, false, 0.3, 180, 0.95, 0.9},  {1.0, false, 0.6, 180, 0.95, 0.35},
      {0.8, false, 0.6, 60, 0.95, 0.3},
  };
  return loads;
}

}  // namespace

class RefusalLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusalLoadTest);
  CPPUNIT_TEST(ServesSheddingLoadNearBestPossible);
  CPPUNIT_TEST(StaysWithinBudget);
  CPPUNIT_TEST(RankIsDeterministicAndMonotonic);
  CPPUNIT_TEST(GroupsShareTheAllowedMissingShards);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ServesSheddingLoadNearBestPossible() {
    std::printf("\nseed %llu, %zu requests to %zu shards\n", static_cast<unsigned long long>(kSeed),
                kRequests, kShards);
    int failed = 0;
    for (const Load& load : Loads()) {
      for (const Strategy& strategy : {kBaseline, kRatesOnly, kRetriesOnly, kBoth}) {
        Fleet fleet(load, strategy);
        const Result result = fleet.Run();
        const double best = BestPossible(load, fleet.fully_shedding_shards());
        const double served = static_cast<double>(result.served) / kRequests;
        std::printf(
            "leafs %.1f%s shed %.1f budget %3.0f coverage %.2f: served %.2f of %.2f, "
            "extra %.2f a request and shard, unserved requests held %4.0f ms: %s\n",
            load.leafs, load.one_spared ? ", one spared" : "", load.shed, load.extra_budget,
            load.min_coverage, served, best,
            static_cast<double>(result.extra) / kRequests / kShards,
            ToMilliseconds(result.mean_held), strategy.name);
        if (strategy.retry_refusals && strategy.learn_refusal_rates) {
          failed += served < load.min_of_best * best ? 1 : 0;
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(0, failed);
  }

  void StaysWithinBudget() {
    for (const Load& load : Loads()) {
      for (const Strategy& strategy : {kRetriesOnly, kBoth}) {
        const Result result = Fleet(load, strategy).Run();
        const double bound = load.extra_budget + kRatio * kRequests;
        CPPUNIT_ASSERT(static_cast<double>(result.max_extra) <= bound);
      }
    }
  }

  void RankIsDeterministicAndMonotonic() {
    constexpr int kSamples = 10000;
    int qualified = 0;
    for (int i = 0; i < kSamples; ++i) {
      const double rank = RankOf("request-" + std::to_string(i));
      CPPUNIT_ASSERT_EQUAL(rank, RankOf("request-" + std::to_string(i)));
      const bool qualifies = RankQualifies(rank, {1.0, kScarceBudget / 2}, 0);
      // A gather that qualifies with little budget qualifies with more.
      CPPUNIT_ASSERT(!qualifies || RankQualifies(rank, {1.0, kScarceBudget * 0.6}, 0));
      // The shard without any budget may be missing.
      CPPUNIT_ASSERT_EQUAL(qualifies, RankQualifies(rank, {1.0, 0.0, kScarceBudget / 2}, 1));
      qualified += qualifies ? 1 : 0;
    }
    CPPUNIT_ASSERT(qualified > kSamples * 0.47 && qualified < kSamples * 0.53);
    // No gather qualifies without budget; shards beyond the required coverage are paid for only
    // with ample budget.
    CPPUNIT_ASSERT(!RankQualifies(0.0, {0.0, 0.0}, 1));
    CPPUNIT_ASSERT(RankQualifies(0.9, {0.0, 0.0}, 2));
    CPPUNIT_ASSERT(!ShouldReplace({2, 2}, kAmpleBudget / 2));
    CPPUNIT_ASSERT(ShouldReplace({2, 2}, kAmpleBudget));
    CPPUNIT_ASSERT(ShouldReplace({2, 3}, 0.0));
  }

  void GroupsShareTheAllowedMissingShards() {
    for (int i = 0; i < 100; ++i) {
      const std::string id = "request-" + std::to_string(i);
      size_t miss = 0;
      for (size_t group = 0; group < 7; ++group) {
        const size_t allowed = MaxMissing(90, 0.95, 7, group, id);
        CPPUNIT_ASSERT(allowed <= 1);
        miss += allowed;
      }
      CPPUNIT_ASSERT_EQUAL(size_t{4}, miss);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, MaxMissing(20, 1.0, 1, 0, "a"));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, MaxMissing(20, 0.9, 1, 0, "a"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RefusalLoadTest);

}  // namespace pumicedyke::query
