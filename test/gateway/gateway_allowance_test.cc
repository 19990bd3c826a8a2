// Use of the budget for extra sub-requests when it is nearly spent.
#include <cppunit/extensions/HelperMacros.h>

#include "balance/knobs.h"
#include "gateway/gateway_harness.h"

namespace pumicedyke::gateway {
namespace {

constexpr char kDocument[] =
    R"([["all", "/all/", true, "s0", "s1", "s2"], ["one", "/one/", true, "s0"]])";
constexpr size_t kShards = 3;

GatewayOptions WithAllowance(double allowance, double ratio) {
  GatewayOptions options = GatewayHarness::Options();
  options.extra_load = {Seconds(10), ratio, allowance};
  return options;
}

/// A gateway with three shards and two leafs each. `allowance` is divided by two: itself and one
/// spare gateway.
struct LowAllowance {
  explicit LowAllowance(double allowance, double ratio = 0) : h(WithAllowance(allowance, ratio)) {
    std::vector<wire::LeafRecord> leafs;
    for (size_t i = 0; i < 2 * kShards; ++i) {
      leafs.push_back(
          GatewayHarness::Leaf("leaf" + std::to_string(i), "s" + std::to_string(i % kShards)));
    }
    h.Put(1, kDocument);
    h.Report(leafs);
  }

  /// Fails the sub-requests at the second leaf of the first shard until it is ejected.
  void EjectSecondLeaf() {
    int failures = 0;
    for (int i = 0; i < 100 && failures < balance::BalanceKnobs{}.ejection_failures; ++i) {
      h.Ask("/one/eject" + std::to_string(i));
      const LeafSend send = h.sends.back();
      const bool second = send.leaf == "leaf" + std::to_string(kShards);
      failures += second ? 1 : 0;
      h.Reply(send, second ? query::LeafStatus::kNotSent : query::LeafStatus::kOk, "body");
    }
    h.answers.clear();
    h.sends.clear();
  }

  /// Fails one more request, which the first leaf gets if the second one is ejected.
  void FailAtFirstLeaf(query::LeafStatus outcome) {
    h.Ask("/one/fail");
    const LeafSend send = h.sends.back();
    h.Reply(send, outcome);
    h.Pass(Milliseconds(20));
  }

  GatewayHarness h;
};

}  // namespace

class GatewayAllowanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayAllowanceTest);
  CPPUNIT_TEST(RefusedRequestWithoutBudgetIsRefusedAtOnce);
  CPPUNIT_TEST(LostRequestWithoutBudgetFailsAtOnce);
  CPPUNIT_TEST(NoLeafIsWaitedForWithoutBudget);
  CPPUNIT_TEST(GatherAnswersOnceNoRetryCanBePaidFor);
  CPPUNIT_TEST(RetryWaitsForBudgetWhileOtherShardsRun);
  CPPUNIT_TEST(RequestThatLosesLeafsLeavesAllowanceToOthers);
  CPPUNIT_TEST(RequestThatSucceededSinceMaySpendAllowance);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against holding a request for a leaf that is ejected, only to find then that the
  /// allowance does not pay for the attempt.
  void NoLeafIsWaitedForWithoutBudget() {
    for (const query::LeafStatus outcome :
         {query::LeafStatus::kFailed, query::LeafStatus::kDraining}) {
      LowAllowance g(/*allowance=*/0);
      g.EjectSecondLeaf();
      const size_t requests = outcome == query::LeafStatus::kFailed
                                  ? static_cast<size_t>(balance::BalanceKnobs{}.ejection_failures)
                                  : 1;
      for (size_t i = 0; i < requests; ++i) {
        g.FailAtFirstLeaf(outcome);
      }
      CPPUNIT_ASSERT_EQUAL(requests, g.h.answers.size());
      CPPUNIT_ASSERT_EQUAL(requests, g.h.sends.size());
    }
  }

  /// Guards against holding such a request until its deadline of one second although a free leaf
  /// would have accepted it.
  void RefusedRequestWithoutBudgetIsRefusedAtOnce() {
    LowAllowance g(/*allowance=*/0);
    g.h.Ask("/one/x");
    g.h.Reply(g.h.sends.at(0), query::LeafStatus::kDraining);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    const GatewayAnswer& answer = g.h.answers.front();
    CPPUNIT_ASSERT(answer.code == ResultCode::kCoverageNotReached);
    CPPUNIT_ASSERT(answer.run == query::RunState::kNotRun);
    CPPUNIT_ASSERT(answer.retry_after > Duration(0));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.sends.size());
    // The client's retry is a first sub-request, and goes to the other leaf.
    g.h.Ask("/one/x");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.sends.size());
    CPPUNIT_ASSERT(g.h.sends[0].leaf != g.h.sends[1].leaf);
  }

  void LostRequestWithoutBudgetFailsAtOnce() {
    LowAllowance g(/*allowance=*/0);
    g.h.Ask("/one/x");
    g.h.Lose(g.h.sends.at(0));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().run == query::RunState::kUnknown);
  }

  void GatherAnswersOnceNoRetryCanBePaidFor() {
    LowAllowance g(/*allowance=*/0);
    g.h.Ask("/all/x");
    CPPUNIT_ASSERT_EQUAL(kShards, g.h.sends.size());
    g.h.Reply(g.h.sends[0], query::LeafStatus::kDraining);
    g.h.Reply(g.h.sends[1], query::LeafStatus::kOk, "sixteen bytes...");
    CPPUNIT_ASSERT(g.h.answers.empty());
    g.h.Reply(g.h.sends[2], query::LeafStatus::kOk, "sixteen bytes...");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().code == ResultCode::kPartial);
  }

  void RetryWaitsForBudgetWhileOtherShardsRun() {
    LowAllowance g(/*allowance=*/0, /*ratio=*/0.5);
    g.h.Ask("/all/x");
    g.h.Reply(g.h.sends.at(0), query::LeafStatus::kDraining);
    g.h.Pass(Milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(kShards, g.h.sends.size());
    // Another request adds the budget for the retry.
    g.h.Ask("/all/y");
    CPPUNIT_ASSERT_EQUAL(2 * kShards, g.h.sends.size());
    g.h.Pass(Milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(2 * kShards + 1, g.h.sends.size());
    CPPUNIT_ASSERT(g.h.answers.empty());
  }

  /// Guards against spending the budget that other requests need for retries on a request that
  /// may crash its leafs.
  void RequestThatLosesLeafsLeavesAllowanceToOthers() {
    LowAllowance g(/*allowance=*/4);
    for (int attempt = 0; attempt < 3; ++attempt) {
      const size_t before = g.h.sends.size();
      g.h.Ask("/one/fatal");
      for (size_t i = before; i < g.h.sends.size(); ++i) {
        g.h.Lose(g.h.sends[i]);
      }
      g.h.Pass(Seconds(1));
    }
    const size_t sent = g.h.sends.size();
    g.h.Ask("/one/other");
    CPPUNIT_ASSERT_EQUAL(sent + 1, g.h.sends.size());
    g.h.Reply(g.h.sends.back(), query::LeafStatus::kDraining);
    CPPUNIT_ASSERT_EQUAL(sent + 2, g.h.sends.size());
  }

  void RequestThatSucceededSinceMaySpendAllowance() {
    LowAllowance g(/*allowance=*/4);
    g.h.Ask("/one/x");
    g.h.Lose(g.h.sends.at(0));
    g.h.Reply(g.h.sends.at(1), query::LeafStatus::kOk, "sixteen bytes...");
    g.h.Ask("/one/x");
    g.h.Lose(g.h.sends.at(2));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, g.h.sends.size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayAllowanceTest);

}  // namespace pumicedyke::gateway
