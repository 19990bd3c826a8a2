// The side of a shared request that the client reached, without sockets.
#include "query/shared_gather.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>

namespace pumicedyke::query {
namespace {

constexpr Timestamp kStart{Seconds(100)};

/// Four shards in two groups of two, and mergers "m0", "m1", ... that are tried in order.
class Gather {
 public:
  explicit Gather(uint32_t max_attempts = 2, size_t mergers = 4)
      : mergers_(mergers),
        gather_(
            Plan(max_attempts), {{0, 2}, {2, 2}}, Options(), Chooser(), [this] { return ++ids_; },
            kStart) {
    gather_.Advance(now);
    Take();
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

  void Word(uint64_t id, wire::PartialStage stage, const std::vector<uint32_t>& shards = {},
            RunState run = RunState::kRan) {
    wire::PartialAnswer word;
    word.id = id;
    word.stage = stage;
    for (const uint32_t shard : shards) {
      word.parts.push_back({shard, "sig" + std::to_string(id) + "-" + std::to_string(shard)});
      word.records += std::string(16, 'r');
    }
    word.run = static_cast<uint32_t>(run);
    gather_.OnWord(now, word);
    Take();
  }
  /// The merger has given shards up, and works on the others.
  void Gaps(uint64_t id, const std::vector<uint32_t>& shards) {
    wire::PartialAnswer word;
    word.id = id;
    word.stage = wire::PartialStage::kParts;
    for (const uint32_t shard : shards) {
      word.gaps.push_back({shard, static_cast<uint32_t>(MissingReason::kShed)});
    }
    gather_.OnWord(now, word);
    Take();
  }
  void Lose(const std::string& merger) {
    gather_.OnMergerLost(now, merger);
    Take();
  }
  void Pass(Duration time) {
    const Timestamp end = now + time;
    while (now < end) {
      now = std::min(end, std::max(now + Microseconds(100), gather_.NextWake(now)));
      gather_.Advance(now);
      Take();
    }
  }

  void SetDue(SharedGather::DueCb due) { gather_.SetDue(std::move(due)); }

  Timestamp now = kStart;
  std::vector<GroupQuestion> questions;
  std::vector<uint64_t> confirmed;
  std::vector<GroupCancel> cancels;
  std::vector<std::string> silent;
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
  void Take() {
    SharedGatherActions actions = gather_.TakeActions();
    questions.insert(questions.end(), actions.questions.begin(), actions.questions.end());
    for (const GroupConfirmation& confirmation : actions.confirmations) {
      confirmed.push_back(confirmation.id);
    }
    cancels.insert(cancels.end(), actions.cancels.begin(), actions.cancels.end());
    silent.insert(silent.end(), actions.silent.begin(), actions.silent.end());
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
  CPPUNIT_TEST(AnswersWhenItIsSaidToBeDue);
  CPPUNIT_TEST(WholeAnswerGoesOutAtOnce);
  CPPUNIT_TEST(AnswersBeforeTheObjectiveWithEnoughShards);
  CPPUNIT_TEST(WaitsForCoverageBeyondTheObjective);
  CPPUNIT_TEST(RefusalAsksAnotherWithAllAttempts);
  CPPUNIT_TEST(SilentMergerIsReplacedWithOneAttemptLess);
  CPPUNIT_TEST(SlowMergerGoesOnIfItSpeaksFirst);
  CPPUNIT_TEST(ManySilentMergersCostOneAttempt);
  CPPUNIT_TEST(WaitingForOthersIsNoBusyLoop);
  CPPUNIT_TEST(LostMergerIsReplacedByOneThatStandsBy);
  CPPUNIT_TEST(OnlyWhoWasHeardFirstIsConfirmed);
  CPPUNIT_TEST(LastAttemptIsNeverGivenTwice);
  CPPUNIT_TEST(LostAfterAcceptanceIsNotReplaced);
  CPPUNIT_TEST(SilenceAfterAcceptanceEndsTheGroup);
  CPPUNIT_TEST(LateWordOfAReplacedMergerIsIgnored);
  CPPUNIT_TEST(NotRunOnlyIfEveryMergerSaidSo);
  CPPUNIT_TEST(MissingShardsOutOfReachEndItAtOnce);
  CPPUNIT_TEST(ShardsGivenUpEarlyEndItAsSoonAsTooManyAre);
  CPPUNIT_TEST(PartOfAShardThatWasGivenUpCounts);
  CPPUNIT_TEST(AbandoningStopsWork);
  CPPUNIT_TEST(NeverMoreAttemptsThanAllowed);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Who decides is asked again for each part that comes, and not before there is enough.
  void AnswersWhenItIsSaidToBeDue() {
    Gather gather;
    std::vector<size_t> asked;
    gather.SetDue([&asked](Duration elapsed, size_t covered) {
      asked.push_back(covered);
      CPPUNIT_ASSERT(elapsed == Milliseconds(covered == 2 ? 20 : 30));
      return Milliseconds(covered == 2 ? 200 : 120);
    });
    gather.Pass(Milliseconds(10));
    gather.Word(1, wire::PartialStage::kParts, {0});
    CPPUNIT_ASSERT(asked.empty());
    gather.Pass(Milliseconds(10));
    gather.Word(2, wire::PartialStage::kParts, {0});
    gather.Pass(Milliseconds(10));
    gather.Word(1, wire::PartialStage::kParts, {1});
    CPPUNIT_ASSERT((asked == std::vector<size_t>{2, 3}));
    gather.Pass(Milliseconds(89));
    CPPUNIT_ASSERT(!gather.outcome.has_value());
    gather.Pass(Milliseconds(1));
    CPPUNIT_ASSERT(gather.outcome.has_value());
    CPPUNIT_ASSERT(gather.outcome->code == ResultCode::kPartial);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, gather.outcome->missing.size());
  }

  void WholeAnswerGoesOutAtOnce() {
    Gather g;
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.questions.size());
    CPPUNIT_ASSERT(!g.questions[0].again);
    g.Word(1, wire::PartialStage::kAccepted);
    g.Word(1, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.Word(2, wire::PartialStage::kParts, {0});
    g.Word(2, wire::PartialStage::kDone, {1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kOk);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, g.outcome->signatures.size());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, g.outcome->records.size());
    CPPUNIT_ASSERT(g.outcome->missing.empty());
    CPPUNIT_ASSERT(g.cancels.empty());
  }

  void AnswersBeforeTheObjectiveWithEnoughShards() {
    Gather g;
    g.Word(1, wire::PartialStage::kDone, {0, 1});
    g.Word(2, wire::PartialStage::kAccepted);
    g.Pass(Milliseconds(79));
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.Pass(Milliseconds(1));
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kPartial);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.outcome->missing.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.cancels.size());
    CPPUNIT_ASSERT(!g.cancels[0].stop_work);
  }

  void WaitsForCoverageBeyondTheObjective() {
    Gather g;
    g.Word(1, wire::PartialStage::kAccepted);
    g.Word(2, wire::PartialStage::kAccepted);
    g.Word(1, wire::PartialStage::kParts, {0});
    g.Pass(Milliseconds(100));
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.Word(2, wire::PartialStage::kParts, {1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kPartial);
  }

  void RefusalAsksAnotherWithAllAttempts() {
    Gather g;
    g.Word(1, wire::PartialStage::kRefused);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, g.questions.size());
    CPPUNIT_ASSERT_EQUAL(std::string("m1"), g.questions[2].merger);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, g.questions[2].max_attempts);
    CPPUNIT_ASSERT(!g.questions[2].again);
  }

  void SilentMergerIsReplacedWithOneAttemptLess() {
    Gather g;
    g.Word(2, wire::PartialStage::kAccepted);
    g.Pass(Gather::Options().accept_patience);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, g.questions.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, g.questions[2].max_attempts);
    CPPUNIT_ASSERT(g.questions[2].again);
    // It sends nothing before it is confirmed, and until then the silent one may still speak.
    CPPUNIT_ASSERT(g.questions[2].stand_by);
    CPPUNIT_ASSERT(g.cancels.empty());
    g.Word(3, wire::PartialStage::kAccepted);
    CPPUNIT_ASSERT(g.confirmed == (std::vector<uint64_t>{2, 3}));
    CPPUNIT_ASSERT_EQUAL(std::string("m0"), g.silent.at(0));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, g.cancels.at(0).id);
    CPPUNIT_ASSERT(g.cancels[0].stop_work);
  }

  void SlowMergerGoesOnIfItSpeaksFirst() {
    Gather g;
    g.Word(2, wire::PartialStage::kAccepted);
    g.Pass(Gather::Options().accept_patience);
    g.Word(1, wire::PartialStage::kAccepted);
    CPPUNIT_ASSERT(g.confirmed == (std::vector<uint64_t>{2, 1}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, g.cancels.at(0).id);
    g.Word(3, wire::PartialStage::kAccepted);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.confirmed.size());
    g.Word(1, wire::PartialStage::kDone, {0, 1});
    g.Word(2, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kOk);
  }

  void ManySilentMergersCostOneAttempt() {
    Gather g;
    g.Word(2, wire::PartialStage::kDone, {0, 1});
    g.Pass(3 * Gather::Options().accept_patience);
    // Two that were to stand by are silent, too; the last one there is speaks.
    CPPUNIT_ASSERT_EQUAL(size_t{5}, g.questions.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, g.questions[4].max_attempts);
    g.Word(5, wire::PartialStage::kAccepted);
    g.Word(5, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kOk);
  }

  /// With a long patience the first merger is silent for longer than the limit while the others are
  /// asked one after the other.
  void WaitingForOthersIsNoBusyLoop() {
    SharedGatherOptions options;
    options.accept_patience = Milliseconds(100);
    SharedGather gather(
        Gather::Plan(2), {{0, 4}}, options,
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

  void LostMergerIsReplacedByOneThatStandsBy() {
    Gather g;
    g.Word(2, wire::PartialStage::kDone, {0, 1});
    g.Lose("m0");
    CPPUNIT_ASSERT_EQUAL(size_t{3}, g.questions.size());
    CPPUNIT_ASSERT(g.questions[2].stand_by);
    g.Lose("m1");
    CPPUNIT_ASSERT_EQUAL(size_t{4}, g.questions.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, g.questions[3].max_attempts);
    g.Word(4, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kOk);
  }

  void OnlyWhoWasHeardFirstIsConfirmed() {
    Gather g;
    g.Word(2, wire::PartialStage::kAccepted);
    g.Word(2, wire::PartialStage::kAccepted);
    g.Pass(Gather::Options().accept_patience);
    g.Word(3, wire::PartialStage::kAccepted);
    g.Word(1, wire::PartialStage::kAccepted);
    CPPUNIT_ASSERT(g.confirmed == (std::vector<uint64_t>{2, 3}));
  }

  void LastAttemptIsNeverGivenTwice() {
    Gather g(/*max_attempts=*/1);
    g.Word(2, wire::PartialStage::kAccepted);
    g.Pass(Gather::Options().accept_patience);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.questions.size());
  }

  void LostAfterAcceptanceIsNotReplaced() {
    Gather g;
    g.Word(1, wire::PartialStage::kAccepted);
    g.Word(2, wire::PartialStage::kDone, {0, 1});
    // Half of the shards are in, and no more can come.
    g.Lose("m0");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.questions.size());
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kPartial);
    CPPUNIT_ASSERT(g.outcome->missing.at(0).reason == MissingReason::kUnreachable);
  }

  void SilenceAfterAcceptanceEndsTheGroup() {
    Gather g;
    g.Word(1, wire::PartialStage::kAccepted);
    g.Word(2, wire::PartialStage::kAccepted);
    g.Pass(Gather::Options().silence_limit - Milliseconds(1));
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.Pass(Milliseconds(1));
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kCoverageNotReached);
    CPPUNIT_ASSERT(g.outcome->run == RunState::kUnknown);
  }

  void LateWordOfAReplacedMergerIsIgnored() {
    Gather g;
    g.Word(2, wire::PartialStage::kDone, {0, 1});
    g.Pass(Gather::Options().accept_patience);
    g.Word(3, wire::PartialStage::kAccepted);
    g.Word(1, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.Word(3, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kOk);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, g.outcome->signatures.size());
  }

  void NotRunOnlyIfEveryMergerSaidSo() {
    Gather refused(/*max_attempts=*/2, /*mergers=*/1);
    refused.Word(1, wire::PartialStage::kRefused);
    refused.Word(2, wire::PartialStage::kRefused);
    CPPUNIT_ASSERT(refused.outcome->run == RunState::kNotRun);
    Gather lost(/*max_attempts=*/2, /*mergers=*/1);
    lost.Lose("m0");
    CPPUNIT_ASSERT(lost.outcome->run == RunState::kUnknown);
    Gather shed(/*max_attempts=*/2, /*mergers=*/1);
    shed.Word(1, wire::PartialStage::kDone, {}, RunState::kNotRun);
    shed.Word(2, wire::PartialStage::kDone, {}, RunState::kUnknown);
    CPPUNIT_ASSERT(shed.outcome->run == RunState::kUnknown);
  }

  void MissingShardsOutOfReachEndItAtOnce() {
    Gather g;
    g.Word(1, wire::PartialStage::kDone, {}, RunState::kNotRun);
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.Word(2, wire::PartialStage::kDone, {1}, RunState::kNotRun);
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kCoverageNotReached);
  }

  /// Mergers that had given a shard up went on with the others, and the client was held meanwhile.
  void ShardsGivenUpEarlyEndItAsSoonAsTooManyAre() {
    Gather g;
    g.Word(1, wire::PartialStage::kAccepted);
    g.Word(2, wire::PartialStage::kAccepted);
    g.Gaps(1, {0, 1});
    CPPUNIT_ASSERT(!g.outcome.has_value());
    // Told twice is lost once.
    g.Gaps(1, {0, 1});
    CPPUNIT_ASSERT(!g.outcome.has_value());
    g.Gaps(2, {0});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kCoverageNotReached);
    CPPUNIT_ASSERT(g.outcome->missing.at(0).reason == MissingReason::kShed);
    // Both may have sent.
    CPPUNIT_ASSERT(g.outcome->run == RunState::kUnknown);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.cancels.size());
  }

  void PartOfAShardThatWasGivenUpCounts() {
    Gather g;
    g.Word(1, wire::PartialStage::kAccepted);
    g.Gaps(1, {0, 1});
    g.Word(1, wire::PartialStage::kParts, {0});
    g.Word(1, wire::PartialStage::kDone);
    g.Word(2, wire::PartialStage::kDone, {0, 1});
    CPPUNIT_ASSERT(g.outcome->code == ResultCode::kPartial);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.outcome->missing.size());
  }

  void AbandoningStopsWork() {
    SharedGather gather(
        Gather::Plan(2), {{0, 2}, {2, 2}}, {},
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

  /// Whatever mergers say or do not say: for each group the attempts that may have been made stay
  /// within the route's, no part counts twice, and there is one outcome.
  void NeverMoreAttemptsThanAllowed() {
    const bool held = rc::check("never more attempts than allowed", [] {
      const uint32_t most = *rc::gen::inRange<uint32_t>(1, 4);
      Gather g(most);
      std::set<uint64_t> accepted;
      std::set<uint64_t> refusals;
      const int steps = *rc::gen::inRange(1, 40);
      for (int i = 0; i < steps && !g.outcome.has_value(); ++i) {
        const size_t which = *rc::gen::inRange<size_t>(0, g.questions.size());
        const GroupQuestion question = g.questions[which];
        switch (*rc::gen::inRange(0, 5)) {
          case 0:
            g.Word(question.id, wire::PartialStage::kAccepted);
            accepted.insert(question.id);
            break;
          case 1:
            g.Word(question.id, wire::PartialStage::kDone, {0, 1});
            break;
          case 2:
            g.Lose(question.merger);
            break;
          case 3:
            // One that has confirmed never refuses.
            if (!accepted.contains(question.id)) {
              g.Word(question.id, wire::PartialStage::kRefused);
              refusals.insert(question.id);
            }
            break;
          default:
            g.Pass(Milliseconds(*rc::gen::inRange(1, 60)));
        }
      }
      // What each merger may do whatever it believes: once, or nothing if it stands by, or all that
      // it was told if confirmed.
      std::map<size_t, uint32_t> attempts;
      for (const GroupQuestion& question : g.questions) {
        const bool confirmed =
            std::find(g.confirmed.begin(), g.confirmed.end(), question.id) != g.confirmed.end();
        RC_ASSERT(question.max_attempts >= 1);
        const bool refused = refusals.contains(question.id);
        const uint32_t unconfirmed = question.stand_by ? 0 : 1;
        attempts[question.group] += refused ? 0 : confirmed ? question.max_attempts : unconfirmed;
        RC_ASSERT(attempts[question.group] <= most);
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
