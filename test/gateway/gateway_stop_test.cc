// A gateway's planned stop: what it does with requests when it knows when it will be killed.
#include <cppunit/extensions/HelperMacros.h>

#include "balance/knobs.h"
#include "gateway/gateway_harness.h"

namespace pumicedyke::gateway {
namespace {

constexpr char kDocument[] =
    R"([["all", "/all/", true, "s0", "s1", "s2"], ["read", "/read/", true, "s0"],
        ["once", "/once/", false, "s0"], ["read1", "/read1/", true, "s1"],
        ["read2", "/read2/", true, "s2"]])";
constexpr int kShards = 3;
constexpr PeerSessionId kSession = 3;
/// Until when all must be answered, after the signal to stop.
constexpr Duration kAnswerBy = Seconds(1);
/// Clients and routes wait longer than that.
constexpr Duration kClientWaits = Seconds(2);

/// A gateway with three shards and two leafs each.
struct SixLeafs {
  SixLeafs() {
    std::vector<wire::LeafRecord> leafs;
    leafs.reserve(2 * kShards);
    for (int i = 0; i < 2 * kShards; ++i) {
      leafs.push_back(
          GatewayHarness::Leaf("leaf" + std::to_string(i), "s" + std::to_string(i % kShards)));
    }
    h.Put(1, kDocument);
    h.Report(leafs);
  }
  void Stop() {
    h.server.StartDraining(h.now, h.now + kAnswerBy);
    h.Take();
  }
  /// Fails the sub-requests for a path until its leafs are ejected for the second time, for longer
  /// than a request waits for a leaf during a stop.
  void Eject(const std::string& path) {
    const Duration ejection = balance::BalanceKnobs{}.ejection_time;
    for (const Duration pause : {ejection + Milliseconds(10), Duration(0)}) {
      for (int i = 0; i < 8; ++i) {
        h.Ask(path + "eject" + std::to_string(i), Milliseconds(50));
        FailAll();
      }
      h.Pass(pause);
    }
    h.Pass(Milliseconds(60));
    h.answers.clear();
    h.sends.clear();
    failed = 0;
  }
  void FailAll() {
    for (; failed < h.sends.size(); ++failed) {
      h.Reply(h.sends[failed], query::LeafStatus::kNotSent);
    }
  }

  GatewayHarness h;
  size_t failed = 0;
};

}  // namespace

class GatewayStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayStopTest);
  CPPUNIT_TEST(RunningRequestsAreAnsweredBeforeTheKill);
  CPPUNIT_TEST(RequestsDoNotWaitLongForALeaf);
  CPPUNIT_TEST(GatherThatHasBegunStillWaitsForItsLeafs);
  CPPUNIT_TEST(RequestOnTrialIsRefusedBeforeTheKill);
  CPPUNIT_TEST(RequestThatTakesLongerThanIsLeftIsRefused);
  CPPUNIT_TEST(LateRequestIsRefused);
  CPPUNIT_TEST(EarlyRequestIsRefusedBeforeTheKill);
  CPPUNIT_TEST(MergerAnswersBeforeTheKill);
  CPPUNIT_TEST(WithoutAKillRequestsAreServedToTheirEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against requests at a leaf that never answers, which ended without an answer when the
  /// gateway was killed.
  void RunningRequestsAreAnsweredBeforeTheKill() {
    SixLeafs g;
    g.h.Ask("/read/1", kClientWaits);
    g.h.Ask("/once/1", kClientWaits);
    g.h.Ask("/all/1", kClientWaits);
    g.Stop();
    g.h.Pass(kAnswerBy - Milliseconds(1));
    CPPUNIT_ASSERT(g.h.answers.empty());
    CPPUNIT_ASSERT(!g.h.server.Drained());
    g.h.Pass(Milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, g.h.answers.size());
    for (const GatewayAnswer& answer : g.h.answers) {
      CPPUNIT_ASSERT(answer.run == query::RunState::kUnknown);
    }
    CPPUNIT_ASSERT(g.h.server.Drained());
  }

  /// Guards against requests that a stopping gateway held for leafs that were ejected, although
  /// another gateway might have served them.
  void RequestsDoNotWaitLongForALeaf() {
    SixLeafs g;
    g.Eject("/read/");
    g.h.Ask("/read/1", kClientWaits);
    g.h.Pass(Milliseconds(10));
    CPPUNIT_ASSERT(g.h.answers.empty());
    g.Stop();
    CPPUNIT_ASSERT(g.h.sends.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().run == query::RunState::kNotRun);
  }

  /// Guards against gathers that a stop fails although they have begun and their other leafs return
  /// in time: nobody else continues them.
  void GatherThatHasBegunStillWaitsForItsLeafs() {
    SixLeafs g;
    g.Eject("/read1/");
    g.h.Ask("/all/1", kClientWaits);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.sends.size());
    const LeafSend other = g.h.sends.back();
    g.h.Reply(g.h.sends.front(), query::LeafStatus::kOk, "body");
    g.h.Reply(other, query::LeafStatus::kNotSent);
    g.Stop();
    CPPUNIT_ASSERT(g.h.answers.empty());
  }

  /// Guards against a request that waits for control's permission and is still held when the
  /// gateway is killed.
  void RequestOnTrialIsRefusedBeforeTheKill() {
    SixLeafs g;
    g.h.trial_verdict = std::nullopt;
    g.h.Warn("/read/suspect");
    g.h.Ask("/read/suspect", kClientWaits);
    CPPUNIT_ASSERT(g.h.answers.empty());
    g.h.server.StartDraining(g.h.now, g.h.now + Milliseconds(20));
    g.h.Pass(Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().code == ResultCode::kShuttingDown);
    CPPUNIT_ASSERT(g.h.server.Drained());
  }

  void RequestThatTakesLongerThanIsLeftIsRefused() {
    SixLeafs g;
    for (const char* path : {"/read/0", "/once/0"}) {
      g.h.Ask(path, kClientWaits);
      g.h.Pass(Milliseconds(40));
      g.h.Reply(g.h.sends.back(), query::LeafStatus::kOk, "body");
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.answers.size());
    g.h.answers.clear();
    g.h.sends.clear();
    g.Stop();
    g.h.Pass(kAnswerBy - Milliseconds(20));
    g.h.Ask("/read/1", kClientWaits);
    g.h.Ask("/once/1", kClientWaits);
    CPPUNIT_ASSERT(g.h.sends.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.answers.size());
    for (const GatewayAnswer& answer : g.h.answers) {
      CPPUNIT_ASSERT(answer.code == ResultCode::kShuttingDown);
      CPPUNIT_ASSERT(answer.run == query::RunState::kNotRun);
    }
  }

  void LateRequestIsRefused() {
    SixLeafs g;
    g.Stop();
    g.h.Pass(kAnswerBy);
    g.h.Ask("/read/1", kClientWaits);
    g.h.Ask("/unknown/1", kClientWaits);
    CPPUNIT_ASSERT(g.h.sends.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().code == ResultCode::kShuttingDown);
    CPPUNIT_ASSERT(g.h.answers.back().code == ResultCode::kShuttingDown);
  }

  /// Guards against requests that wait for routes and are still held when the gateway is killed.
  void EarlyRequestIsRefusedBeforeTheKill() {
    GatewayHarness h;
    h.Pass(GatewayKnobs{}.expected_start);
    h.Ask("/read/1", 10 * kClientWaits);
    CPPUNIT_ASSERT(h.answers.empty());
    h.server.StartDraining(h.now, h.now + Milliseconds(100));
    h.Pass(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
    CPPUNIT_ASSERT(h.answers.front().run == query::RunState::kNotRun);
    CPPUNIT_ASSERT(h.server.Drained());
  }

  /// Guards against a stopping merger that is killed while it holds a group of shards for another
  /// gateway.
  void MergerAnswersBeforeTheKill() {
    SixLeafs g;
    wire::PartialQuery query;
    query.id = 7;
    query.route = "all";
    query.request_id = "r";
    query.budget = kClientWaits;
    query.objective = Milliseconds(100);
    query.groups = 1;
    query.max_attempts = 2;
    query.shards = {"s0", "s1"};
    g.h.server.OnPeerRequest(g.h.now, kSession, {"test", 0, query}, g.h.now);
    g.h.Take();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.sends.size());
    g.Stop();
    g.h.Pass(kAnswerBy);
    const auto& last = std::get<wire::PartialAnswer>(g.h.peer_replies.back().envelope.body);
    CPPUNIT_ASSERT(last.stage == wire::PartialStage::kDone);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, last.gaps.size());
    CPPUNIT_ASSERT(g.h.server.Drained());
    query.id = 8;
    g.h.server.OnPeerRequest(g.h.now, kSession, {"test", 0, query}, g.h.now);
    g.h.Take();
    const auto& refusal = std::get<wire::PartialAnswer>(g.h.peer_replies.back().envelope.body);
    CPPUNIT_ASSERT(refusal.stage == wire::PartialStage::kRefused);
  }

  void WithoutAKillRequestsAreServedToTheirEnd() {
    SixLeafs g;
    g.h.Ask("/read/1", kClientWaits);
    g.h.server.StartDraining(g.h.now);
    g.h.Pass(kClientWaits - Milliseconds(100));
    CPPUNIT_ASSERT(g.h.answers.empty());
    g.h.Reply(g.h.sends.front(), query::LeafStatus::kOk, "late");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().code == ResultCode::kOk);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStopTest);

}  // namespace pumicedyke::gateway
