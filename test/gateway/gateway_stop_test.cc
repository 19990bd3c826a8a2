// A gateway's planned stop: what it does with requests when it knows when it will be killed.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway/gateway_harness.h"

namespace pumicedyke::gateway {
namespace {

constexpr char kDocument[] =
    R"([["all", "/all/", true, "s0", "s1"], ["read", "/read/", true, "s0"], ["once", "/once/", false, "s0"]])";
constexpr PeerSessionId kSession = 3;
/// Until when all must be answered, after the signal to stop.
constexpr Duration kAnswerBy = Seconds(1);
/// Clients and routes wait longer than that.
constexpr Duration kClientWaits = Seconds(2);

/// A gateway with two shards and two leafs each.
struct FourLeafs {
  FourLeafs() {
    std::vector<wire::LeafRecord> leafs;
    for (int i = 0; i < 4; ++i) {
      leafs.push_back(
          GatewayHarness::Leaf("leaf" + std::to_string(i), "s" + std::to_string(i % 2)));
    }
    h.Put(1, kDocument);
    h.Report(leafs);
  }
  void Stop() {
    h.server.StartDraining(h.now, h.now + kAnswerBy);
    h.Take();
  }
  /// Fails the sub-requests of the path's leafs until they are ejected.
  void Eject() {
    for (int i = 0; i < 8; ++i) {
      h.Ask("/read/eject" + std::to_string(i), Milliseconds(50));
      for (; failed < h.sends.size(); ++failed) {
        h.Reply(h.sends[failed], query::LeafStatus::kNotSent);
      }
    }
    h.Pass(Milliseconds(60));
    h.answers.clear();
    h.sends.clear();
  }

  GatewayHarness h;
  size_t failed = 0;
};

}  // namespace

class GatewayStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayStopTest);
  CPPUNIT_TEST(RunningRequestsAreAnsweredBeforeTheKill);
  CPPUNIT_TEST(RequestsDoNotWaitLongForALeaf);
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
    FourLeafs g;
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
    FourLeafs g;
    g.Eject();
    g.h.Ask("/read/1", kClientWaits);
    g.h.Pass(Milliseconds(10));
    CPPUNIT_ASSERT(g.h.answers.empty());
    g.Stop();
    g.h.Pass(kAnswerBy / 2);
    CPPUNIT_ASSERT(!g.h.answers.empty() || !g.h.sends.empty());
    g.h.Pass(kAnswerBy / 2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
  }

  void RequestThatTakesLongerThanIsLeftIsRefused() {
    FourLeafs g;
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
    FourLeafs g;
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
    FourLeafs g;
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
    FourLeafs g;
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
