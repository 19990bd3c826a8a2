// Gathers while many leafs refuse part of what they are sent, without a network: the owners of the
// shards each with its own view of the leafs and its own part of the allowance, leafs with slots
// and queues, and a clock that the test moves. What is served is held against the best possible.
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
#include "query/extra_order.h"
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
constexpr Duration kWay = Microseconds(700);
constexpr Duration kWork = Milliseconds(8);
constexpr Duration kDeadline = Milliseconds(1000);
constexpr Duration kLasts = Seconds(9);
constexpr size_t kRequests = 315;
constexpr double kRatio = 0.2;

/// What is tried against the load.
struct Way {
  const char* name = "";
  /// Leafs that refuse are asked again, and the allowance is spent in order.
  bool ask_again = true;
  /// The choice of leafs knows how often each refuses.
  bool learns = true;
};

struct Load {
  /// Leafs that shed, of all; `one_spared`: never all of a shard.
  double leafs = 0;
  bool one_spared = false;
  /// Part of what comes that they shed.
  double shed = 0;
  /// Extra sub-requests of a shard beyond the share, for all owners together.
  double allowance = 0;
  double min_coverage = 0;
  /// What is served must come so near to the best possible.
  double near_best = 0;
};

struct Result {
  size_t served = 0;
  size_t extra = 0;
  /// The most that one shard got beyond the first of each request.
  size_t most_extra = 0;
  /// How long a request that was not served was held, on the average.
  Duration held{};
};

/// One leaf: refuses at random or for lack of room, otherwise works in order of arrival.
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

/// One group of one request at its owner.
struct Part {
  std::unique_ptr<RequestExecution> execution;
  Owner* owner = nullptr;
  size_t covered = 0;
  size_t gaps = 0;
  bool done = false;
};

struct Gather {
  std::vector<Part> parts{kGroups};
  size_t need = 0;
  Timestamp started;
  bool ended = false;
  bool served = false;
};

class Fleet {
 public:
  Fleet(const Load& load, const Way& way) : load_(load), way_(way), random_(kSeed) {
    MakeLeafs();
    MakeOwners();
  }

  Result Play() {
    gathers_.resize(kRequests);
    for (size_t i = 0; i < kRequests; ++i) {
      const Duration at = kLasts * static_cast<int64_t>(i) / static_cast<int64_t>(kRequests);
      At(kStart + at, [this, i] { Begin(i); });
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
      result_.most_extra = std::max(result_.most_extra, extra);
    }
    const size_t lost = kRequests - result_.served;
    result_.held = lost == 0 ? Duration(0) : held_ / static_cast<int64_t>(lost);
    return result_;
  }

  /// Shards all of whose leafs shed.
  size_t shards_without_rest() const { return shards_without_rest_; }

 private:
  void At(Timestamp when, std::function<void()> run) { events_.emplace(when, std::move(run)); }
  double Draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  static std::string LeafName(size_t shard, size_t leaf) {
    return "l" + std::to_string(shard) + "-" + std::to_string(leaf);
  }

  void MakeLeafs() {
    const size_t may_shed = load_.one_spared ? kLeafsOfShard - 1 : kLeafsOfShard;
    for (size_t shard = 0; shard < kShards; ++shard) {
      size_t shedding = 0;
      for (size_t leaf = 0; leaf < kLeafsOfShard; ++leaf) {
        const bool sheds = leaf < may_shed && Draw() < load_.leafs;
        leafs_[LeafName(shard, leaf)].shed = sheds ? load_.shed : 0;
        shedding += sheds ? 1 : 0;
      }
      shards_without_rest_ += shedding == kLeafsOfShard ? 1 : 0;
    }
  }

  void MakeOwners() {
    balance::BalanceKnobs knobs = gateway::GatewayKnobs{}.balance;
    knobs.refusal_cost = way_.learns ? knobs.refusal_cost : 0;
    for (size_t i = 0; i < kGroups * kOwners; ++i) {
      Owner& owner = owners_.emplace_back();
      owner.pool = std::make_unique<balance::LeafPool>(knobs, kSeed + i);
      owner.latencies =
          std::make_unique<balance::LatencyTracker>(knobs.latency_window, Milliseconds(50));
      for (size_t shard = 0; shard < kShards; ++shard) {
        owner.budgets.push_back(
            std::make_unique<balance::SlidingWindowBudget>(Seconds(10), kRatio));
        owner.budgets.back()->SetAllowance(load_.allowance / kOwners);
      }
      for (const auto& [name, leaf] : leafs_) {
        owner.pool->Configure(kStart, name, kSlots);
      }
    }
  }

  void Begin(size_t index) {
    Gather& gather = gathers_[index];
    gather.started = now_;
    gather.need = static_cast<size_t>(std::ceil(load_.min_coverage * kShards - 1e-9));
    const std::string id = "request-" + std::to_string(index);
    for (size_t group = 0; group < kGroups; ++group) {
      Part& part = gather.parts[group];
      part.owner = &owners_[group * kOwners + random_() % kOwners];
      part.execution = Execute(part.owner, group, id);
      part.execution->Advance(now_);
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
    options.report_parts = true;
    options.ask_refusing_again = way_.ask_again;
    options.rank = RankOf(id);
    options.may_miss = MayMiss(kShards, load_.min_coverage, kGroups, group, id);
    CallerRequest caller;
    caller.service = "all";
    caller.snapshot = snapshot.id;
    return std::make_unique<RequestExecution>(std::move(caller), plan, nullptr, nullptr, snapshot,
                                              std::move(context), options, now_);
  }

  void Collect(size_t index, size_t group) {
    Gather& gather = gathers_[index];
    Part& part = gather.parts[group];
    if (part.done) {
      return;
    }
    ExecutionActions actions = part.execution->TakeActions();
    for (const LeafRequest& send : actions.sends) {
      CountSend(index, group, send.shard.value);
      At(now_ + kWay, [this, index, group, send] { Arrive(index, group, send); });
    }
    part.covered += part.execution->TakeNewParts().size();
    part.gaps += part.execution->TakeNewGaps().size();
    part.done = actions.answer.has_value();
    Judge(index);
    if (!part.done && !gather.ended) {
      const Timestamp wake = std::max(part.execution->NextWake(now_), now_ + Milliseconds(1));
      At(wake, [this, index, group] { Wake(index, group); });
    }
  }

  void Wake(size_t index, size_t group) {
    Gather& gather = gathers_[index];
    if (!gather.ended && !gather.parts[group].done) {
      gather.parts[group].execution->Advance(now_);
      Collect(index, group);
    }
  }

  void CountSend(size_t index, size_t group, size_t place) {
    const size_t shard = group * kShardsOfGroup + place;
    if (!sent_.insert({index, shard}).second) {
      ++extra_[shard];
    }
  }

  /// As the gateway that the client reached: ends what is served or can no longer be.
  void Judge(size_t index) {
    Gather& gather = gathers_[index];
    if (gather.ended) {
      return;
    }
    size_t covered = 0;
    size_t gaps = 0;
    bool done = true;
    for (const Part& part : gather.parts) {
      covered += part.covered;
      gaps += part.gaps;
      done &= part.done;
    }
    gather.served = covered >= gather.need;
    const bool hopeless = kShards - gaps < gather.need;
    if (!done && !hopeless) {
      return;
    }
    gather.ended = true;
    result_.served += gather.served ? 1 : 0;
    held_ += gather.served ? Duration(0) : now_ - gather.started;
    for (Part& part : gather.parts) {
      if (!part.done) {
        part.execution->AbandonAll(now_, /*timed_out=*/false);
      }
    }
  }

  void Arrive(size_t index, size_t group, const LeafRequest& send) {
    SimLeaf& leaf = leafs_.at(send.leaf);
    const bool full = leaf.running >= kSlots && leaf.queue.size() >= kQueue;
    if (full || Draw() < leaf.shed) {
      Answer(index, group, send, LeafStatus::kShed);
    } else if (leaf.running < kSlots) {
      Run(index, group, send);
    } else {
      leaf.queue.emplace_back([this, index, group, send] { Run(index, group, send); });
    }
  }

  void Run(size_t index, size_t group, const LeafRequest& send) {
    ++leafs_.at(send.leaf).running;
    const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
    const Duration work(static_cast<int64_t>(factor * static_cast<double>(kWork.count())));
    At(now_ + work, [this, index, group, send] {
      SimLeaf& leaf = leafs_.at(send.leaf);
      --leaf.running;
      Answer(index, group, send, LeafStatus::kOk);
      if (!leaf.queue.empty()) {
        const std::function<void()> next = std::move(leaf.queue.front());
        leaf.queue.pop_front();
        next();
      }
    });
  }

  void Answer(size_t index, size_t group, const LeafRequest& send, LeafStatus status) {
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
    At(now_ + kWay, [this, index, group, reply] { Hear(index, group, reply); });
  }

  void Hear(size_t index, size_t group, const LeafReply& reply) {
    Part& part = gathers_[index].parts[group];
    const std::optional<Duration> latency = part.owner->pool->OnReply(now_, reply);
    if (latency.has_value() && reply.status == LeafStatus::kOk) {
      part.owner->latencies->Record(*latency);
    }
    if (!gathers_[index].ended && !part.done) {
      part.execution->OnReply(now_, reply);
      Collect(index, group);
    }
  }

  Load load_;
  Way way_;
  std::mt19937_64 random_;
  Timestamp now_ = kStart;
  std::multimap<Timestamp, std::function<void()>> events_;
  std::map<std::string, SimLeaf> leafs_;
  std::deque<Owner> owners_;
  std::vector<Gather> gathers_;
  std::set<std::pair<size_t, size_t>> sent_;
  std::array<size_t, kShards> extra_{};
  size_t shards_without_rest_ = 0;
  uint64_t ids_ = 0;
  Duration held_{};
  Result result_;
};

/// What one who knew every leaf and had all allowance in one hand could serve at most.
/// @param hard shards all of whose leafs shed.
double BestPossible(const Load& load, size_t hard) {
  const auto shards = static_cast<double>(hard);
  const double spared = std::floor(kShards * (1 - load.min_coverage) + 1e-9);
  const double lacking = shards * load.shed - spared;
  if (lacking <= 0) {
    return 1;
  }
  const double extra_each = lacking / (1 - load.shed);
  const double allowed = shards * (load.allowance + kRatio * kRequests);
  return std::min(1.0, allowed / (extra_each * kRequests));
}

constexpr Way kUntaught{"refused twice, given up", false, false};
constexpr Way kOrderOnly{"asked again, no rates learnt", true, false};
constexpr Way kRatesOnly{"rates learnt, given up", false, true};
constexpr Way kBoth{"asked again, rates learnt", true, true};

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
  CPPUNIT_TEST(SheddingLoadIsServedNearTheBestPossible);
  CPPUNIT_TEST(AllowanceIsKeptWhateverIsRefused);
  CPPUNIT_TEST(RequestsOfAllOwnersAreChosenAlike);
  CPPUNIT_TEST(GroupsTogetherMayMissWhatTheWholeMay);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SheddingLoadIsServedNearTheBestPossible() {
    std::printf("\nseed %llu, %zu requests to %zu shards\n", static_cast<unsigned long long>(kSeed),
                kRequests, kShards);
    int failed = 0;
    for (const Load& load : Loads()) {
      for (const Way& way : {kUntaught, kRatesOnly, kOrderOnly, kBoth}) {
        Fleet fleet(load, way);
        const Result result = fleet.Play();
        const double best = BestPossible(load, fleet.shards_without_rest());
        const double served = static_cast<double>(result.served) / kRequests;
        std::printf(
            "leafs %.1f%s shed %.1f allowance %3.0f coverage %.2f: served %.2f of %.2f, "
            "extra %.2f a request and shard, lost ones held %4.0f ms: %s\n",
            load.leafs, load.one_spared ? ", one spared" : "", load.shed, load.allowance,
            load.min_coverage, served, best,
            static_cast<double>(result.extra) / kRequests / kShards, ToMilliseconds(result.held),
            way.name);
        if (way.ask_again && way.learns) {
          failed += served < load.near_best * best ? 1 : 0;
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(0, failed);
  }

  void AllowanceIsKeptWhateverIsRefused() {
    for (const Load& load : Loads()) {
      for (const Way& way : {kOrderOnly, kBoth}) {
        const Result result = Fleet(load, way).Play();
        const double bound = load.allowance + kRatio * kRequests;
        CPPUNIT_ASSERT(static_cast<double>(result.most_extra) <= bound);
      }
    }
  }

  void RequestsOfAllOwnersAreChosenAlike() {
    constexpr int kTold = 10000;
    int paid = 0;
    for (int i = 0; i < kTold; ++i) {
      const double rank = RankOf("request-" + std::to_string(i));
      CPPUNIT_ASSERT_EQUAL(rank, RankOf("request-" + std::to_string(i)));
      const bool worth = PaidFor(rank, {1.0, kScarceLeft / 2}, 0);
      // What is paid for with little is paid for with more.
      CPPUNIT_ASSERT(!worth || PaidFor(rank, {1.0, kScarceLeft * 0.6}, 0));
      // It can do without the shard that has nothing left.
      CPPUNIT_ASSERT_EQUAL(worth, PaidFor(rank, {1.0, 0.0, kScarceLeft / 2}, 1));
      paid += worth ? 1 : 0;
    }
    CPPUNIT_ASSERT(paid > kTold * 0.47 && paid < kTold * 0.53);
    // Nothing with nothing; beyond the need only while there is plenty.
    CPPUNIT_ASSERT(!PaidFor(0.0, {0.0, 0.0}, 1));
    CPPUNIT_ASSERT(PaidFor(0.9, {0.0, 0.0}, 2));
    CPPUNIT_ASSERT(!WorthReplacing({2, 2}, kPlentyLeft / 2));
    CPPUNIT_ASSERT(WorthReplacing({2, 2}, kPlentyLeft));
    CPPUNIT_ASSERT(WorthReplacing({2, 3}, 0.0));
  }

  void GroupsTogetherMayMissWhatTheWholeMay() {
    for (int i = 0; i < 100; ++i) {
      const std::string id = "request-" + std::to_string(i);
      size_t miss = 0;
      for (size_t group = 0; group < 7; ++group) {
        const size_t part = MayMiss(90, 0.95, 7, group, id);
        CPPUNIT_ASSERT(part <= 1);
        miss += part;
      }
      CPPUNIT_ASSERT_EQUAL(size_t{4}, miss);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, MayMiss(20, 1.0, 1, 0, "a"));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, MayMiss(20, 0.9, 1, 0, "a"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RefusalLoadTest);

}  // namespace pumicedyke::query
