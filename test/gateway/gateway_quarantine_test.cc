// What a gateway does about requests that end the leafs that run them.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway/gateway_harness.h"
#include "gateway/gateway_server.h"

namespace pumicedyke::gateway {
namespace {

constexpr char kDocument[] =
    R"([["all", "/all/", true, "s0", "s1", "s2", "s3", "s4", "s5"], ["one", "/one/", true, "s0"]])";
constexpr size_t kShards = 6;
constexpr PeerSessionId kSession = 3;

/// A gateway with six shards and two leafs each.
struct Guarded {
  Guarded() {
    std::vector<wire::LeafRecord> leafs;
    for (size_t i = 0; i < 2 * kShards; ++i) {
      leafs.push_back(
          GatewayHarness::Leaf("leaf" + std::to_string(i), "s" + std::to_string(i % kShards)));
    }
    h.Put(1, kDocument);
    h.Report(leafs);
  }
  /// What was told to control of lost runs, all reports together.
  wire::RunReport Reported() const {
    wire::RunReport all;
    for (const ControlMessage& message : h.control) {
      if (const auto* report = std::get_if<wire::RunReport>(&message.envelope.body)) {
        all.lost.insert(all.lost.end(), report->lost.begin(), report->lost.end());
        all.succeeded.insert(all.succeeded.end(), report->succeeded.begin(),
                             report->succeeded.end());
      }
    }
    return all;
  }

  GatewayHarness h;
};

}  // namespace

class GatewayQuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayQuarantineTest);
  CPPUNIT_TEST(StoppedRequestIsRefusedAtOnceAndOthersAreNot);
  CPPUNIT_TEST(RequestInProgressIsStopped);
  CPPUNIT_TEST(RequestThatReachedNoLeafIsToldWhenToComeBack);
  CPPUNIT_TEST(ReadyAnswerIsDeliveredAllTheSame);
  CPPUNIT_TEST(MergerRefusesWhatIsStopped);
  CPPUNIT_TEST(LostRunsAreReported);
  CPPUNIT_TEST(LostRunsAreReportedUntilControlHasTakenThem);
  CPPUNIT_TEST(RunsThatWereGivenUpAreReported);
  CPPUNIT_TEST(AfterThreeLossesOneLeafIsTriedBeforeOthers);
  CPPUNIT_TEST(TwoLostProbesEndTheRequest);
  CPPUNIT_TEST(OneAnswerEndsProbation);
  CPPUNIT_TEST(SilentProbeIsFollowedByAnother);
  CPPUNIT_TEST(RequestThatControlWarnsOfIsTriedAtOneLeaf);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StoppedRequestIsRefusedAtOnceAndOthersAreNot() {
    Guarded g;
    g.h.Quarantine("/all/fatal");
    g.h.Ask("/all/fatal");
    CPPUNIT_ASSERT(g.h.sends.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().code == ResultCode::kQuarantined);
    CPPUNIT_ASSERT(g.h.answers.front().run == query::RunState::kNotRun);
    CPPUNIT_ASSERT(g.h.answers.front().retry_after > Duration(0));
    g.h.Ask("/all/other");
    CPPUNIT_ASSERT_EQUAL(kShards, g.h.sends.size());
    g.h.Release("/all/fatal");
    g.h.Ask("/all/fatal");
    CPPUNIT_ASSERT_EQUAL(2 * kShards, g.h.sends.size());
  }

  void RequestInProgressIsStopped() {
    Guarded g;
    g.h.Ask("/all/fatal");
    g.h.Ask("/all/other");
    g.h.Quarantine("/all/fatal");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().code == ResultCode::kQuarantined);
    // It has been sent: nothing is promised, and no leaf works on.
    CPPUNIT_ASSERT(g.h.answers.front().run == query::RunState::kUnknown);
    CPPUNIT_ASSERT_EQUAL(kShards, g.h.cancels.size());
    for (const LeafCancel& cancel : g.h.cancels) {
      CPPUNIT_ASSERT(cancel.stop_work);
    }
    g.h.Pass(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.answers.size());
  }

  /// Not when leafs have room again: when it may be let go.
  void RequestThatReachedNoLeafIsToldWhenToComeBack() {
    Guarded g;
    // Its leafs have all that they may have: it waits.
    size_t sent = 0;
    do {
      sent = g.h.sends.size();
      g.h.Ask("/one/" + std::to_string(sent));
    } while (g.h.sends.size() > sent);
    g.h.Ask("/one/fatal");
    CPPUNIT_ASSERT_EQUAL(sent, g.h.sends.size());
    g.h.Quarantine("/one/fatal");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().run == query::RunState::kNotRun);
    CPPUNIT_ASSERT(g.h.answers.front().retry_after == GatewayKnobs{}.retry_when_quarantined);
  }

  void ReadyAnswerIsDeliveredAllTheSame() {
    Guarded g;
    g.h.Ask("/all/slow");
    for (size_t i = 0; i < kShards - 1; ++i) {
      g.h.Reply(g.h.sends[i], query::LeafStatus::kOk, "sixteen bytes...");
    }
    g.h.Quarantine("/all/slow");
    CPPUNIT_ASSERT(g.h.answers.front().code == ResultCode::kPartial);
  }

  void MergerRefusesWhatIsStopped() {
    Guarded g;
    g.h.Quarantine("/all/fatal");
    wire::PartialQuery query;
    query.id = 5;
    query.route = "all";
    query.request_id = "r";
    query.identity = IdentityOf({"/all/fatal"});
    query.budget = Seconds(1);
    query.objective = Milliseconds(100);
    query.max_attempts = 2;
    query.shards = {"s0", "s1"};
    g.h.server.OnPeerQuestion(g.h.now, kSession, {"test", 1, query}, g.h.now);
    g.h.Take();
    CPPUNIT_ASSERT(g.h.sends.empty());
    const auto& word = std::get<wire::PartialAnswer>(g.h.peer_replies.at(0).envelope.body);
    CPPUNIT_ASSERT(word.stage == wire::PartialStage::kRefused);
    // One that stood by when the word came is not begun either.
    query.identity = IdentityOf({"/all/later"});
    query.stand_by = true;
    g.h.server.OnPeerQuestion(g.h.now, kSession, {"test", 1, query}, g.h.now);
    g.h.Quarantine("/all/later");
    g.h.server.OnPeerQuestion(g.h.now, kSession, {"test", 1, wire::PartialConfirm{query.id}},
                              g.h.now);
    g.h.Take();
    CPPUNIT_ASSERT(g.h.sends.empty());
  }

  void LostRunsAreReported() {
    Guarded g;
    g.h.Ask("/all/fatal");
    g.h.Lose(g.h.sends[0]);
    g.h.Lose(g.h.sends[1]);
    g.h.Pass(Milliseconds(50));
    const wire::RunReport report = g.Reported();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, report.lost.size());
    CPPUNIT_ASSERT(report.lost[0].identity == IdentityOf({"/all/fatal"}));
    CPPUNIT_ASSERT_EQUAL(g.h.sends[0].leaf, report.lost[0].leaf);
    CPPUNIT_ASSERT_EQUAL(report.lost[0].attempt, report.lost[1].attempt);
    g.h.Reply(g.h.sends[2], query::LeafStatus::kOk, "sixteen bytes...");
    g.h.Pass(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.Reported().succeeded.size());
  }

  /// All control machines were starting again when it was told first.
  void LostRunsAreReportedUntilControlHasTakenThem() {
    Guarded g;
    g.h.takes_reports = false;
    g.h.Ask("/all/fatal");
    g.h.Lose(g.h.sends[0]);
    g.h.Pass(Seconds(1));
    const size_t told = g.Reported().lost.size();
    CPPUNIT_ASSERT(told > 1);
    g.h.takes_reports = true;
    g.h.Pass(Seconds(2));
    const size_t taken = g.Reported().lost.size();
    CPPUNIT_ASSERT(taken > told);
    g.h.Pass(Seconds(10));
    CPPUNIT_ASSERT_EQUAL(taken, g.Reported().lost.size());
  }

  /// The leaf ends after the client has got its answer.
  void RunsThatWereGivenUpAreReported() {
    Guarded g;
    g.h.Ask("/one/fatal", Milliseconds(50));
    g.h.Pass(Milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    query::LeafReply reply;
    reply.id = g.h.sends[0].id;
    reply.leaf = g.h.sends[0].leaf;
    reply.status = query::LeafStatus::kFailed;
    reply.connection_lost = true;
    g.h.server.OnAbandonedReply(g.h.now, reply);
    g.h.Pass(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.Reported().lost.size());
  }

  void AfterThreeLossesOneLeafIsTriedBeforeOthers() {
    Guarded g;
    g.h.Ask("/all/fatal", Seconds(2));
    LoseThree(&g);
    const size_t sent = g.h.sends.size();
    // Others are out still: nothing more goes to the shards that lost theirs.
    g.h.Pass(Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(sent, g.h.sends.size());
    LoseAllThatIsOut(&g);
    g.h.Pass(Milliseconds(15));
    CPPUNIT_ASSERT_EQUAL(sent + 1, g.h.sends.size());
  }

  void TwoLostProbesEndTheRequest() {
    Guarded g;
    g.h.Ask("/all/fatal", Seconds(2));
    LoseThree(&g);
    LoseAllThatIsOut(&g);
    g.h.Pass(Milliseconds(15));
    g.h.Lose(g.h.sends.back());
    g.h.Pass(Milliseconds(50));
    const size_t sent = g.h.sends.size();
    CPPUNIT_ASSERT(g.h.answers.empty());
    g.h.Lose(g.h.sends.back());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().run == query::RunState::kUnknown);
    g.h.Pass(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(sent, g.h.sends.size());
  }

  void OneAnswerEndsProbation() {
    Guarded g;
    g.h.Ask("/all/harmless", Seconds(2));
    LoseThree(&g);
    const size_t sent = g.h.sends.size();
    g.h.Reply(g.h.sends[4], query::LeafStatus::kOk, "sixteen bytes...");
    g.h.Pass(Milliseconds(15));
    CPPUNIT_ASSERT_EQUAL(sent + 1, g.h.sends.size());
  }

  /// The leaf that is tried stands still: that must not hold up a harmless request.
  void SilentProbeIsFollowedByAnother() {
    Guarded g;
    g.h.Warn("/all/harmless");
    g.h.Ask("/all/harmless", Seconds(2));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.sends.size());
    g.h.Pass(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.sends.size());
    g.h.Reply(g.h.sends.back(), query::LeafStatus::kOk, "sixteen bytes...");
    CPPUNIT_ASSERT(g.h.sends.size() >= kShards);
  }

  void RequestThatControlWarnsOfIsTriedAtOneLeaf() {
    Guarded g;
    g.h.Warn("/all/fatal");
    g.h.Ask("/all/fatal");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.sends.size());
    g.h.Lose(g.h.sends.front());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.sends.size());
    g.h.Lose(g.h.sends.back());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    g.h.Ask("/all/other");
    CPPUNIT_ASSERT_EQUAL(2 + kShards, g.h.sends.size());
  }

 private:
  static void LoseThree(Guarded* g) {
    CPPUNIT_ASSERT_EQUAL(kShards, g->h.sends.size());
    // The first two are sent again at once, as ever.
    for (size_t i = 0; i < 3; ++i) {
      g->h.Lose(g->h.sends[i]);
    }
  }
  static void LoseAllThatIsOut(Guarded* g) {
    const size_t sent = g->h.sends.size();
    for (size_t i = 3; i < sent; ++i) {
      g->h.Lose(g->h.sends[i]);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayQuarantineTest);

}  // namespace pumicedyke::gateway
