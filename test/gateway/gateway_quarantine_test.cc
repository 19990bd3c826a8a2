// A gateway's handling of requests that crash the leafs that run them.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway/gateway_harness.h"
#include "gateway/gateway_server.h"

namespace pumicedyke::gateway {
namespace {

constexpr char kDocument[] =
    R"([["all", "/all/", true, "s0", "s1", "s2", "s3", "s4", "s5"], ["one", "/one/", true, "s0"],
        ["one1", "/one1/", true, "s1"], ["one2", "/one2/", true, "s2"], ["one3", "/one3/", true, "s3"],
        ["one4", "/one4/", true, "s4"], ["one5", "/one5/", true, "s5"]])";
constexpr size_t kShards = 6;
constexpr PeerSessionId kSession = 3;

/// A gateway with six shards and two leafs each.
struct TwelveLeafs {
  TwelveLeafs() {
    std::vector<wire::LeafRecord> leafs;
    for (size_t i = 0; i < 2 * kShards; ++i) {
      leafs.push_back(
          GatewayHarness::Leaf("leaf" + std::to_string(i), "s" + std::to_string(i % kShards)));
    }
    h.Put(1, kDocument);
    h.Report(leafs);
  }
  void ReportLeafsOfFirstShard(uint64_t born_ms) {
    std::vector<wire::LeafRecord> leafs;
    for (const size_t i : {size_t{0}, kShards}) {
      leafs.push_back(GatewayHarness::Leaf("leaf" + std::to_string(i), "s0"));
      leafs.back().born_ms = born_ms;
    }
    h.Report(leafs);
    h.Pass(Milliseconds(50));
  }
  /// Returns all reports of lost runs sent to control, combined.
  wire::RunReport Reported() const {
    wire::RunReport all;
    for (const ControlMessage& message : h.control) {
      if (const auto* report = std::get_if<wire::RunReport>(&message.envelope.body)) {
        all.lost.insert(all.lost.end(), report->lost.begin(), report->lost.end());
        all.succeeded.insert(all.succeeded.end(), report->succeeded.begin(),
                             report->succeeded.end());
        all.alive_leafs.insert(all.alive_leafs.end(), report->alive_leafs.begin(),
                               report->alive_leafs.end());
      }
    }
    return all;
  }

  GatewayHarness h;
};

}  // namespace

class GatewayQuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayQuarantineTest);
  CPPUNIT_TEST(OnlyTheQuarantinedRequestIsRefused);
  CPPUNIT_TEST(RequestInProgressIsStopped);
  CPPUNIT_TEST(WaitingRequestGetsTheRetryHintOfTheQuarantine);
  CPPUNIT_TEST(AvailableAnswerIsStillDelivered);
  CPPUNIT_TEST(MergerRefusesQuarantinedRequests);
  CPPUNIT_TEST(LostRunsAreReported);
  CPPUNIT_TEST(LostRunsAreReportedUntilAcknowledged);
  CPPUNIT_TEST(LeafThatRestartedUnderItsIdIsNotReportedAlive);
  CPPUNIT_TEST(LeafThatMayHaveRestartedIsNotReportedAlive);
  CPPUNIT_TEST(LeafWithAnIdOfItsOwnIsReportedAlive);
  CPPUNIT_TEST(AbandonedRunsAreReported);
  CPPUNIT_TEST(AfterThreeLossesOneLeafIsTriedBeforeOthers);
  CPPUNIT_TEST(TwoLostProbesEndTheRequest);
  CPPUNIT_TEST(OneAnswerEndsProbation);
  CPPUNIT_TEST(SilentProbeIsFollowedByAnother);
  CPPUNIT_TEST(SuspectOfAWarningIsTriedAtOneLeaf);
  CPPUNIT_TEST(SuspectIsNotSentWithoutATrial);
  CPPUNIT_TEST(SuspectIsRefusedIfControlDoesNotAnswer);
  CPPUNIT_TEST(ClearedSuspectIsSentToAllLeafs);
  CPPUNIT_TEST(UnusedTrialIsReturned);
  CPPUNIT_TEST(RunsOfATrialAreReportedWithItsNumber);
  CPPUNIT_TEST(ConditionallyReleasedRequestNeedsATrial);
  CPPUNIT_TEST(TwoProbesAreNeverExceeded);
  CPPUNIT_TEST(SuspectWithoutALeafIsRefusedAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OnlyTheQuarantinedRequestIsRefused() {
    TwelveLeafs g;
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
    TwelveLeafs g;
    g.h.Ask("/all/fatal");
    g.h.Ask("/all/other");
    g.h.Quarantine("/all/fatal");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().code == ResultCode::kQuarantined);
    // The request was sent already: its outcome is unknown, and the work at all leafs is stopped.
    CPPUNIT_ASSERT(g.h.answers.front().run == query::RunState::kUnknown);
    CPPUNIT_ASSERT_EQUAL(kShards, g.h.cancels.size());
    for (const LeafCancel& cancel : g.h.cancels) {
      CPPUNIT_ASSERT(cancel.stop_work);
    }
    g.h.Pass(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.answers.size());
  }

  /// The retry hint is the quarantine's, not the time at which leafs have capacity again.
  void WaitingRequestGetsTheRetryHintOfTheQuarantine() {
    TwelveLeafs g;
    // Fill its leafs, so that the request has to wait.
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

  void AvailableAnswerIsStillDelivered() {
    TwelveLeafs g;
    g.h.Ask("/all/slow");
    for (size_t i = 0; i < kShards - 1; ++i) {
      g.h.Reply(g.h.sends[i], query::LeafStatus::kOk, "sixteen bytes...");
    }
    g.h.Quarantine("/all/slow");
    CPPUNIT_ASSERT(g.h.answers.front().code == ResultCode::kPartial);
  }

  void MergerRefusesQuarantinedRequests() {
    TwelveLeafs g;
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
    g.h.server.OnPeerRequest(g.h.now, kSession, {"test", 1, query}, g.h.now);
    g.h.Take();
    CPPUNIT_ASSERT(g.h.sends.empty());
    const auto& answer = std::get<wire::PartialAnswer>(g.h.peer_replies.at(0).envelope.body);
    CPPUNIT_ASSERT(answer.stage == wire::PartialStage::kRefused);
    // A standby query that arrived before the quarantine is not started either.
    query.identity = IdentityOf({"/all/later"});
    query.await_confirmation = true;
    g.h.server.OnPeerRequest(g.h.now, kSession, {"test", 1, query}, g.h.now);
    g.h.Quarantine("/all/later");
    g.h.server.OnPeerRequest(g.h.now, kSession, {"test", 1, wire::PartialConfirm{query.id}},
                             g.h.now);
    g.h.Take();
    CPPUNIT_ASSERT(g.h.sends.empty());
  }

  void LostRunsAreReported() {
    TwelveLeafs g;
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

  /// All control machines were restarting when the report was first sent.
  void LostRunsAreReportedUntilAcknowledged() {
    TwelveLeafs g;
    g.h.acknowledges_reports = false;
    g.h.Ask("/all/fatal");
    g.h.Lose(g.h.sends[0]);
    g.h.Pass(Seconds(1));
    const size_t reported_before = g.Reported().lost.size();
    CPPUNIT_ASSERT(reported_before > 1);
    g.h.acknowledges_reports = true;
    g.h.Pass(Seconds(2));
    const size_t reported_after = g.Reported().lost.size();
    CPPUNIT_ASSERT(reported_after > reported_before);
    g.h.Pass(Seconds(10));
    CPPUNIT_ASSERT_EQUAL(reported_after, g.Reported().lost.size());
  }

  /// Guards against the loss of evidence where leafs restart under the same id: the first answer of
  /// the next incarnation proved that the leaf had not crashed.
  void LeafThatRestartedUnderItsIdIsNotReportedAlive() {
    const wire::RunReport report = ReportOfLossAndAnswer(1000, 2000);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, report.lost.size());
    CPPUNIT_ASSERT(report.alive_leafs.empty());
  }

  /// The same if the answer arrives before the report of the next incarnation.
  void LeafThatMayHaveRestartedIsNotReportedAlive() {
    CPPUNIT_ASSERT(ReportOfLossAndAnswer(1000, 1000).alive_leafs.empty());
  }

  void LeafWithAnIdOfItsOwnIsReportedAlive() {
    const wire::RunReport report = ReportOfLossAndAnswer(0, 0);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, report.lost.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, report.alive_leafs.size());
  }

  /// The leaf crashes after the client has received its answer.
  void AbandonedRunsAreReported() {
    TwelveLeafs g;
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
    TwelveLeafs g;
    g.h.Ask("/all/fatal", Seconds(2));
    LoseThree(&g);
    const size_t sent = g.h.sends.size();
    // Other sub-requests are still in progress: nothing more is sent to the shards that lost their
    // leafs.
    g.h.Pass(Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(sent, g.h.sends.size());
    LosePending(&g);
    g.h.Pass(Milliseconds(15));
    CPPUNIT_ASSERT_EQUAL(sent + 1, g.h.sends.size());
  }

  void TwoLostProbesEndTheRequest() {
    TwelveLeafs g;
    g.h.Ask("/all/fatal", Seconds(2));
    LoseThree(&g);
    LosePending(&g);
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
    TwelveLeafs g;
    g.h.Ask("/all/harmless", Seconds(2));
    LoseThree(&g);
    const size_t sent = g.h.sends.size();
    g.h.Reply(g.h.sends[4], query::LeafStatus::kOk, "sixteen bytes...");
    g.h.Pass(Milliseconds(15));
    CPPUNIT_ASSERT_EQUAL(sent + 1, g.h.sends.size());
  }

  /// The probed leaf is paused, which must not delay a harmless request.
  void SilentProbeIsFollowedByAnother() {
    TwelveLeafs g;
    g.h.Warn("/all/harmless");
    g.h.Ask("/all/harmless", Seconds(2));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.sends.size());
    g.h.Pass(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.sends.size());
    g.h.Reply(g.h.sends.back(), query::LeafStatus::kOk, "sixteen bytes...");
    CPPUNIT_ASSERT(g.h.sends.size() >= kShards);
  }

  void SuspectOfAWarningIsTriedAtOneLeaf() {
    TwelveLeafs g;
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

  /// Guards against gateways that each try a suspect by their own allowance.
  void SuspectIsNotSentWithoutATrial() {
    TwelveLeafs g;
    g.h.trial_verdict = wire::TrialVerdict::kDenied;
    g.h.Warn("/all/fatal");
    g.h.Ask("/all/fatal");
    CPPUNIT_ASSERT(g.h.sends.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().code == ResultCode::kOnTrial);
    CPPUNIT_ASSERT(g.h.answers.front().run == query::RunState::kNotRun);
    CPPUNIT_ASSERT(g.h.answers.front().retry_after == Milliseconds(300));
    g.h.Ask("/all/other");
    CPPUNIT_ASSERT_EQUAL(kShards, g.h.sends.size());
  }

  void SuspectIsRefusedIfControlDoesNotAnswer() {
    TwelveLeafs g;
    g.h.trial_verdict.reset();
    g.h.Warn("/all/fatal");
    g.h.Ask("/all/fatal", Seconds(2));
    CPPUNIT_ASSERT(g.h.answers.empty());
    CPPUNIT_ASSERT(!g.h.server.Drained());
    g.h.Pass(quarantine::TrialClientOptions{}.max_wait);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().code == ResultCode::kOnTrial);
    CPPUNIT_ASSERT(g.h.answers.front().retry_after > Duration(0));
    CPPUNIT_ASSERT(g.h.server.Drained());
    // The question was repeated, with the same attempt.
    CPPUNIT_ASSERT(g.h.trial_requests.size() > 1);
    CPPUNIT_ASSERT_EQUAL(g.h.trial_requests.front().attempt, g.h.trial_requests.back().attempt);
    // A client that leaves is forgotten.
    const RequestId id = g.h.Ask("/all/fatal", Seconds(2));
    g.h.server.OnClientDisconnected(g.h.now, id);
    CPPUNIT_ASSERT(g.h.server.Drained());
    g.h.Pass(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.sends.empty());
  }

  /// A warning may be older than the success that cleared the request.
  void ClearedSuspectIsSentToAllLeafs() {
    TwelveLeafs g;
    g.h.trial_verdict = wire::TrialVerdict::kNotNeeded;
    g.h.Warn("/all/harmless");
    g.h.Ask("/all/harmless");
    CPPUNIT_ASSERT_EQUAL(kShards, g.h.sends.size());
    g.h.Ask("/all/harmless");
    CPPUNIT_ASSERT_EQUAL(2 * kShards, g.h.sends.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.trial_requests.size());
  }

  void UnusedTrialIsReturned() {
    TwelveLeafs g;
    g.h.Warn("/one/harmless");
    g.h.Ask("/one/harmless");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.sends.size());
    for (size_t i = 0; i < g.h.sends.size() && g.h.answers.empty(); ++i) {
      g.h.Reply(g.h.sends[i], query::LeafStatus::kNotSent);
      g.h.Pass(Milliseconds(15));
    }
    g.h.Pass(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.trial_requests.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, g.h.trial_requests.back().returned);
    // One that a leaf may have run is not returned.
    g.h.Ask("/one/harmless");
    g.h.Lose(g.h.sends.back());
    g.h.Pass(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, g.h.trial_requests.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, g.h.trial_requests.back().returned);
  }

  void RunsOfATrialAreReportedWithItsNumber() {
    TwelveLeafs g;
    g.h.Warn("/all/fatal");
    g.h.Ask("/all/fatal");
    g.h.Lose(g.h.sends.back());
    g.h.Pass(Milliseconds(50));
    const wire::RunReport report = g.Reported();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, report.lost.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, report.lost.front().trial);
    CPPUNIT_ASSERT_EQUAL(g.h.trial_requests.front().attempt, report.lost.front().attempt);
  }

  void ConditionallyReleasedRequestNeedsATrial() {
    TwelveLeafs g;
    g.h.Quarantine("/all/fatal");
    g.h.ReleaseConditionally("/all/fatal");
    g.h.Ask("/all/fatal");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.trial_requests.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.sends.size());
  }

  /// Guards against a third probe beside a silent one once the first is lost: one attempt crashed
  /// three leafs.
  void TwoProbesAreNeverExceeded() {
    TwelveLeafs g;
    g.h.Warn("/all/fatal");
    g.h.Ask("/all/fatal", Seconds(2));
    g.h.Pass(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.sends.size());
    g.h.Lose(g.h.sends.front());
    g.h.Pass(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.sends.size());
    g.h.Lose(g.h.sends.back());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
  }

  /// Guards against suspects that wait for a leaf until their deadline while all leafs are down.
  void SuspectWithoutALeafIsRefusedAtOnce() {
    TwelveLeafs g;
    size_t lost = 0;
    // The gateway learns that all leafs are down, and ejects them.
    for (int i = 0; i < 8; ++i) {
      for (const char* shard : {"/one/", "/one1/", "/one2/", "/one3/", "/one4/", "/one5/"}) {
        g.h.Ask(shard + std::to_string(i), Milliseconds(100));
      }
      for (; lost < g.h.sends.size(); ++lost) {
        g.h.Lose(g.h.sends[lost]);
      }
      g.h.Pass(Milliseconds(20));
    }
    g.h.Pass(Milliseconds(100));
    g.h.answers.clear();
    g.h.Warn("/all/suspect");
    g.h.Ask("/all/suspect", Seconds(2));
    g.h.Pass(query::ExecutionOptions{}.max_probe_wait + Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().run == query::RunState::kNotRun);
    CPPUNIT_ASSERT(g.h.answers.front().retry_after > Duration(0));
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, g.h.trial_requests.back().returned);
  }

 private:
  /// Both leafs of a shard lose a run, then one of them answers another request.
  static wire::RunReport ReportOfLossAndAnswer(uint64_t born_ms, uint64_t born_ms_later) {
    TwelveLeafs g;
    g.ReportLeafsOfFirstShard(born_ms);
    g.h.Ask("/one/fatal");
    for (size_t i = 0; i < g.h.sends.size(); ++i) {
      g.h.Lose(g.h.sends[i]);
    }
    g.ReportLeafsOfFirstShard(born_ms_later);
    g.h.Ask("/one/usual");
    g.h.Reply(g.h.sends.back(), query::LeafStatus::kOk, "sixteen bytes...");
    g.h.Pass(Milliseconds(50));
    return g.Reported();
  }

  static void LoseThree(TwelveLeafs* g) {
    CPPUNIT_ASSERT_EQUAL(kShards, g->h.sends.size());
    // The first two are retried at once, as usual.
    for (size_t i = 0; i < 3; ++i) {
      g->h.Lose(g->h.sends[i]);
    }
  }
  static void LosePending(TwelveLeafs* g) {
    const size_t sent = g->h.sends.size();
    for (size_t i = 3; i < sent; ++i) {
      g->h.Lose(g->h.sends[i]);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayQuarantineTest);

}  // namespace pumicedyke::gateway
