// Tests of SharedGather without sockets.
#include "query/shared_gather.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>

namespace pumicedyke::query {
namespace {

constexpr Timestamp kStart{Seconds(100)};

/// Harness with four shards in two groups of two, and mergers "m0", "m1", ... that are tried in
/// order.
class GatherHarness {
 public:
  explicit GatherHarness(uint32_t max_attempts = 2, size_t mergers = 4)
      : mergers_(mergers),
        gather_(
            Plan(max_attempts), {{0, 2}, {2, 2}}, Options(), Chooser(), [this] { return ++ids_; },
            kStart) {
    gather_.Advance(now);
    CollectActions();
  }

  static SharedGatherOptions Options() { return {}; }
  static policy::QueryPlan Plan(uint32_t max_attempts) {
    policy::QueryPlan plan;
    plan.deadline = Milliseconds(800);
    plan.wait = Milliseconds(80);
    plan.min_coverage = 0.5;
    plan.max_attempts = max_attempts;
    return plan;
  }

  void Receive(uint64_t id, wire::PartialStage stage, const std::vector<uint32_t>& shards = {},
               RunState run = RunState::kRan) {
    wire::PartialAnswer answer;
    answer.id = id;
    answer.stage = stage;
    for (const uint32_t shard : shards) {
      answer.parts.push_back({shard, "sig" + std::to_string(id) + "-" + std::to_string(shard)});
      answer.records += std::string(16, 'r');
    }
    answer.run = static_cast<uint32_t>(run);
    gather_.OnPartialAnswer(now, answer);
    CollectActions();
  }
  /// Reports shards as abandoned by a merger that works on the others.
  void ReceiveGaps(uint64_t id, const std::vector<uint32_t>& shards) {
    wire::PartialAnswer answer;
    answer.id = id;
    answer.stage = wire::PartialStage::kShardResults;
    for (const uint32_t shard : shards) {
      answer.gaps.push_back({shard, static_cast<uint32_t>(MissingReason::kShed)});
    }
    gather_.OnPartialAnswer(now, answer);
    CollectActions();
  }
  void Disconnect(const std::string& merger) {
    gather_.OnMergerLost(now, merger);
    CollectActions();
  }
  void AdvanceClock(Duration time) {
    const Timestamp end = now + time;
    while (now < end) {
      now = std::min(end, std::max(now + Microseconds(100), gather_.NextWake(now)));
      gather_.Advance(now);
      CollectActions();
    }
  }

  void SetAnswerTimeCallback(SharedGather::AnswerTimeCb due) {
    gather_.SetAnswerTimeCallback(std::move(due));
  }

  Timestamp now = kStart;
  std::vector<OutgoingPartialQuery> partial_queries;
  std::vector<uint64_t> confirmed;
  std::vector<GroupCancel> cancels;
  std::vector<std::string> abandoned_mergers;
  std::optional<SharedOutcome> outcome;

 private:
  SharedGather::ChooseCb Chooser() {
    return [this](Timestamp /*now*/, size_t /*group*/,
                  const std::set<std::string>& tried) -> std::optional<std::string> {
      for (size_t i = 0; i < mergers_; ++i) {
        const std::string merger = "m" + std::to_string(i);
        if (!tried.contains(merger)) {
          return merger;
        }
      }
      return std::nullopt;
    };
  }
  void CollectActions() {
    SharedGatherActions actions = gather_.TakeActions();
    partial_queries.insert(partial_queries.end(), actions.partial_queries.begin(),
                           actions.partial_queries.end());
    for (const GroupConfirmation& confirmation : actions.confirmations) {
      confirmed.push_back(confirmation.id);
    }
    cancels.insert(cancels.end(), actions.cancels.begin(), actions.cancels.end());
    abandoned_mergers.insert(abandoned_mergers.end(), actions.abandoned_mergers.begin(),
                             actions.abandoned_mergers.end());
    if (actions.outcome.has_value()) {
      CPPUNIT_ASSERT(!outcome.has_value());
      outcome = std::move(actions.outcome);
    }
  }

  size_t mergers_;
  uint64_t ids_ = 0;
  SharedGather gather_;
};

}  // namespace

class SharedGatherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharedGatherTest);
  CPPUNIT_TEST(SendsPartialAnswerAtComputedTime);
  CPPUNIT_TEST(SendsCompleteAnswerImmediately);
  CPPUNIT_TEST(AnswersBeforeTheObjectiveWithEnoughShards);
  CPPUNIT_TEST(WaitsForCoverageBeyondTheObjective);
  CPPUNIT_TEST(RefusalTriesAnotherMergerWithAllAttempts);
  CPPUNIT_TEST(SilentMergerIsReplacedWithOneAttemptLess);
  CPPUNIT_TEST(SlowMergerContinuesIfItAnswersFirst);
  CPPUNIT_TEST(ManySilentMergersUseOneAttempt);
  CPPUNIT_TEST(WaitingForStandbyDoesNotBusyLoop);
  CPPUNIT_TEST(LostMergerIsReplacedByStandby);
  CPPUNIT_TEST(OnlyFirstMergerToAnswerIsConfirmed);
  CPPUNIT_TEST(LastAttemptIsAssignedOnce);
  CPPUNIT_TEST(LostAfterAcceptanceIsNotReplaced);
  CPPUNIT_TEST(SilenceAfterAcceptanceEndsTheGroup);
  CPPUNIT_TEST(LateAnswerOfReplacedMergerIsIgnored);
  CPPUNIT_TEST(NotRunRequiresProofFromEveryMerger);
  CPPUNIT_TEST(EndsWhenCoverageIsOutOfReach);
  CPPUNIT_TEST(EndsWhenTooManyShardsAreAbandoned);
  CPPUNIT_TEST(ResultOfAbandonedShardCounts);
  CPPUNIT_TEST(AbandoningStopsWork);
  CPPUNIT_TEST(NeverMoreAttemptsThanAllowed);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The answer time is computed again for each arrival, and only once the minimum coverage is
  /// reached.
  void SendsPartialAnswerAtComputedTime() {
    GatherHarness gather;
    std::vector<size_t> covered_counts;
    gather.SetAnswerTimeCallback([&covered_counts](Duration elapsed, size_t covered) {
      covered_counts.push_back(covered);
      CPPUNIT_ASSERT(elapsed == Milliseconds(covered == 2 ? 20 : 30));
      return Milliseconds(covered == 2 ? 200 : 120);
    });
    gather.AdvanceClock(Milliseconds(10));
    gather.Receive(1, wire::PartialStage::kShardResults, {0});
    CPPUNIT_ASSERT(covered_counts.empty());
    gather.AdvanceClock(Milliseconds(10));
    gather.Receive(2, wire::PartialStage::kShardResults, {0});
    gather.AdvanceClock(Milliseconds(10));
    gather.Receive(1, wire::PartialStage::kShardResults, {1});
    CPPUNIT_ASSERT((covered_counts == std::vector<size_t>{2, 3}));
    gather.AdvanceClock(Milliseconds(89));
    CPPUNIT_ASSERT(!gather.outcome.has_value());
    gather.AdvanceClock(Milliseconds(1));
    CPPUNIT_ASSERT(gather.outcome.has_value());
    CPPUNIT_ASSERT(gather.outcome->code == ResultCode::kPartial);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, gather.outcome->missing.size());
  }

  void SendsCompleteAnswerImmediately() {
    GatherHarness g;
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.partial_queries.size());
    CPPUNIT_ASSERT(!g.partial_queries[0].reassigned);
    g.Receive(1, wire::PartialStage::kAccepted);
    g.Receive(1, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.Receive(2, wire::PartialStage::kShardResults, {0});
    g.Receive(2, wire::PartialStage::kDone, {1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kOk);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, g.outcome->signatures.size());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, g.outcome->records.size());
    CPPUNIT_ASSERT(g.outcome->missing.empty());
    CPPUNIT_ASSERT(g.cancels.empty());
  }

  void AnswersBeforeTheObjectiveWithEnoughShards() {
    GatherHarness g;
    g.Receive(1, wire::PartialStage::kDone, {0, 1});
    g.Receive(2, wire::PartialStage::kAccepted);
    g.AdvanceClock(Milliseconds(79));
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.AdvanceClock(Milliseconds(1));
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kPartial);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.outcome->missing.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.cancels.size());
    CPPUNIT_ASSERT(!g.cancels[0].stop_work);
  }

  void WaitsForCoverageBeyondTheObjective() {
    GatherHarness g;
    g.Receive(1, wire::PartialStage::kAccepted);
    g.Receive(2, wire::PartialStage::kAccepted);
    g.Receive(1, wire::PartialStage::kShardResults, {0});
    g.AdvanceClock(Milliseconds(100));
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.Receive(2, wire::PartialStage::kShardResults, {1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kPartial);
  }

  void RefusalTriesAnotherMergerWithAllAttempts() {
    GatherHarness g;
    g.Receive(1, wire::PartialStage::kRefused);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, g.partial_queries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("m1"), g.partial_queries[2].merger);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, g.partial_queries[2].max_attempts);
    CPPUNIT_ASSERT(!g.partial_queries[2].reassigned);
  }

  void SilentMergerIsReplacedWithOneAttemptLess() {
    GatherHarness g;
    g.Receive(2, wire::PartialStage::kAccepted);
    g.AdvanceClock(GatherHarness::Options().accept_timeout);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, g.partial_queries.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, g.partial_queries[2].max_attempts);
    CPPUNIT_ASSERT(g.partial_queries[2].reassigned);
    // The standby merger sends nothing before it is confirmed, and until then the silent one may
    // still answer.
    CPPUNIT_ASSERT(g.partial_queries[2].await_confirmation);
    CPPUNIT_ASSERT(g.cancels.empty());
    g.Receive(3, wire::PartialStage::kAccepted);
    CPPUNIT_ASSERT(g.confirmed == (std::vector<uint64_t>{2, 3}));
    CPPUNIT_ASSERT_EQUAL(std::string("m0"), g.abandoned_mergers.at(0));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, g.cancels.at(0).id);
    CPPUNIT_ASSERT(g.cancels[0].stop_work);
  }

  void SlowMergerContinuesIfItAnswersFirst() {
    GatherHarness g;
    g.Receive(2, wire::PartialStage::kAccepted);
    g.AdvanceClock(GatherHarness::Options().accept_timeout);
    g.Receive(1, wire::PartialStage::kAccepted);
    CPPUNIT_ASSERT(g.confirmed == (std::vector<uint64_t>{2, 1}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, g.cancels.at(0).id);
    g.Receive(3, wire::PartialStage::kAccepted);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.confirmed.size());
    g.Receive(1, wire::PartialStage::kDone, {0, 1});
    g.Receive(2, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kOk);
  }

  void ManySilentMergersUseOneAttempt() {
    GatherHarness g;
    g.Receive(2, wire::PartialStage::kDone, {0, 1});
    g.AdvanceClock(3 * GatherHarness::Options().accept_timeout);
    // Two standby mergers are silent as well; the last available one answers.
    CPPUNIT_ASSERT_EQUAL(size_t{5}, g.partial_queries.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, g.partial_queries[4].max_attempts);
    g.Receive(5, wire::PartialStage::kAccepted);
    g.Receive(5, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kOk);
  }

  /// With a long accept timeout, the first merger exceeds the silence limit while the others are
  /// tried one after the other.
  void WaitingForStandbyDoesNotBusyLoop() {
    SharedGatherOptions options;
    options.accept_timeout = Milliseconds(100);
    SharedGather gather(
        GatherHarness::Plan(2), {{0, 4}}, options,
        [](Timestamp, size_t, const std::set<std::string>& tried) {
          return std::optional("m" + std::to_string(tried.size()));
        },
        [id = uint64_t{0}]() mutable { return ++id; }, kStart);
    Timestamp now = kStart;
    int wakes = 0;
    gather.Advance(now);
    while (!gather.TakeActions().outcome.has_value()) {
      const Timestamp next = gather.NextWake(now);
      now = std::max(next, now + Microseconds(100));
      gather.Advance(now);
      ++wakes;
    }
    CPPUNIT_ASSERT(wakes < 20);
  }

  void LostMergerIsReplacedByStandby() {
    GatherHarness g;
    g.Receive(2, wire::PartialStage::kDone, {0, 1});
    g.Disconnect("m0");
    CPPUNIT_ASSERT_EQUAL(size_t{3}, g.partial_queries.size());
    CPPUNIT_ASSERT(g.partial_queries[2].await_confirmation);
    g.Disconnect("m1");
    CPPUNIT_ASSERT_EQUAL(size_t{4}, g.partial_queries.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, g.partial_queries[3].max_attempts);
    g.Receive(4, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kOk);
  }

  void OnlyFirstMergerToAnswerIsConfirmed() {
    GatherHarness g;
    g.Receive(2, wire::PartialStage::kAccepted);
    g.Receive(2, wire::PartialStage::kAccepted);
    g.AdvanceClock(GatherHarness::Options().accept_timeout);
    g.Receive(3, wire::PartialStage::kAccepted);
    g.Receive(1, wire::PartialStage::kAccepted);
    CPPUNIT_ASSERT(g.confirmed == (std::vector<uint64_t>{2, 3}));
  }

  void LastAttemptIsAssignedOnce() {
    GatherHarness g(/*max_attempts=*/1);
    g.Receive(2, wire::PartialStage::kAccepted);
    g.AdvanceClock(GatherHarness::Options().accept_timeout);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.partial_queries.size());
  }

  void LostAfterAcceptanceIsNotReplaced() {
    GatherHarness g;
    g.Receive(1, wire::PartialStage::kAccepted);
    g.Receive(2, wire::PartialStage::kDone, {0, 1});
    // Half of the shards are covered, and no more results can arrive.
    g.Disconnect("m0");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.partial_queries.size());
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kPartial);
    CPPUNIT_ASSERT(g.outcome->missing.at(0).reason == MissingReason::kUnreachable);
  }

  void SilenceAfterAcceptanceEndsTheGroup() {
    GatherHarness g;
    g.Receive(1, wire::PartialStage::kAccepted);
    g.Receive(2, wire::PartialStage::kAccepted);
    g.AdvanceClock(GatherHarness::Options().silence_limit - Milliseconds(1));
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.AdvanceClock(Milliseconds(1));
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kCoverageNotReached);
    CPPUNIT_ASSERT(g.outcome->run == RunState::kUnknown);
  }

  void LateAnswerOfReplacedMergerIsIgnored() {
    GatherHarness g;
    g.Receive(2, wire::PartialStage::kDone, {0, 1});
    g.AdvanceClock(GatherHarness::Options().accept_timeout);
    g.Receive(3, wire::PartialStage::kAccepted);
    g.Receive(1, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.Receive(3, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kOk);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, g.outcome->signatures.size());
  }

  void NotRunRequiresProofFromEveryMerger() {
    GatherHarness refused(/*max_attempts=*/2, /*mergers=*/1);
    refused.Receive(1, wire::PartialStage::kRefused);
    refused.Receive(2, wire::PartialStage::kRefused);
    CPPUNIT_ASSERT(refused.outcome->run == RunState::kNotRun);
    GatherHarness lost(/*max_attempts=*/2, /*mergers=*/1);
    lost.Disconnect("m0");
    CPPUNIT_ASSERT(lost.outcome->run == RunState::kUnknown);
    GatherHarness shed(/*max_attempts=*/2, /*mergers=*/1);
    shed.Receive(1, wire::PartialStage::kDone, {}, RunState::kNotRun);
    shed.Receive(2, wire::PartialStage::kDone, {}, RunState::kUnknown);
    CPPUNIT_ASSERT(shed.outcome->run == RunState::kUnknown);
  }

  void EndsWhenCoverageIsOutOfReach() {
    GatherHarness g;
    g.Receive(1, wire::PartialStage::kDone, {}, RunState::kNotRun);
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.Receive(2, wire::PartialStage::kDone, {1}, RunState::kNotRun);
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kCoverageNotReached);
  }

  /// Guards against holding the client while mergers that have abandoned a shard go on with the
  /// others.
  void EndsWhenTooManyShardsAreAbandoned() {
    GatherHarness g;
    g.Receive(1, wire::PartialStage::kAccepted);
    g.Receive(2, wire::PartialStage::kAccepted);
    g.ReceiveGaps(1, {0, 1});
    CPPUNIT_ASSERT(!g.outcome.has_value());
    // A repeated report counts once.
    g.ReceiveGaps(1, {0, 1});
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.ReceiveGaps(2, {0});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kCoverageNotReached);
    CPPUNIT_ASSERT(g.outcome->missing.at(0).reason == MissingReason::kShed);
    // Both mergers may have sent.
    CPPUNIT_ASSERT(g.outcome->run == RunState::kUnknown);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.cancels.size());
  }

  void ResultOfAbandonedShardCounts() {
    GatherHarness g;
    g.Receive(1, wire::PartialStage::kAccepted);
    g.ReceiveGaps(1, {0, 1});
    g.Receive(1, wire::PartialStage::kShardResults, {0});
    g.Receive(1, wire::PartialStage::kDone);
    g.Receive(2, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kPartial);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.outcome->missing.size());
  }

  void AbandoningStopsWork() {
    SharedGather gather(
        GatherHarness::Plan(2), {{0, 2}, {2, 2}}, {},
        [](Timestamp, size_t, const std::set<std::string>&) { return std::optional("m"); },
        [id = uint64_t{0}]() mutable { return ++id; }, kStart);
    gather.Advance(kStart);
    gather.TakeActions();
    gather.AbandonAll();
    const SharedGatherActions actions = gather.TakeActions();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, actions.cancels.size());
    CPPUNIT_ASSERT(actions.cancels[0].stop_work && actions.cancels[1].stop_work);
    CPPUNIT_ASSERT(!actions.outcome.has_value());
  }

  /// For any sequence of messages and silence of the mergers, the possible attempts of each group
  /// stay within the limit of the route, no shard counts twice, and there is one outcome.
  void NeverMoreAttemptsThanAllowed() {
    const bool held = rc::check("never more attempts than allowed", [] {
      const uint32_t max_attempts = *rc::gen::inRange<uint32_t>(1, 4);
      GatherHarness g(max_attempts);
      std::set<uint64_t> accepted;
      std::set<uint64_t> refusals;
      const int steps = *rc::gen::inRange(1, 40);
      for (int i = 0; i < steps && !g.outcome.has_value(); ++i) {
        const size_t index = *rc::gen::inRange<size_t>(0, g.partial_queries.size());
        const OutgoingPartialQuery partial_query = g.partial_queries[index];
        switch (*rc::gen::inRange(0, 5)) {
          case 0:
            g.Receive(partial_query.id, wire::PartialStage::kAccepted);
            accepted.insert(partial_query.id);
            break;
          case 1:
            g.Receive(partial_query.id, wire::PartialStage::kDone, {0, 1});
            break;
          case 2:
            g.Disconnect(partial_query.merger);
            break;
          case 3:
            // A merger that has accepted never refuses.
            if (!accepted.contains(partial_query.id)) {
              g.Receive(partial_query.id, wire::PartialStage::kRefused);
              refusals.insert(partial_query.id);
            }
            break;
          default:
            g.AdvanceClock(Milliseconds(*rc::gen::inRange(1, 60)));
        }
      }
      // Attempts that each merger may make: all of its attempts if confirmed, none on standby,
      // otherwise one.
      std::map<size_t, uint32_t> attempts;
      for (const OutgoingPartialQuery& partial_query : g.partial_queries) {
        const bool confirmed = std::find(g.confirmed.begin(), g.confirmed.end(),
                                         partial_query.id) != g.confirmed.end();
        RC_ASSERT(partial_query.max_attempts >= 1);
        const bool refused = refusals.contains(partial_query.id);
        const uint32_t unconfirmed = partial_query.await_confirmation ? 0 : 1;
        attempts[partial_query.group] += refused     ? 0
                                         : confirmed ? partial_query.max_attempts
                                                     : unconfirmed;
        RC_ASSERT(attempts[partial_query.group] <= max_attempts);
      }
      if (g.outcome.has_value()) {
        RC_ASSERT(g.outcome->signatures.size() + g.outcome->missing.size() == 4);
      }
    });
    CPPUNIT_ASSERT(held);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SharedGatherTest);

}  // namespace pumicedyke::query
