// A gateway's handling of requests whose leafs are all down.
#include <cppunit/extensions/HelperMacros.h>

#include "balance/knobs.h"
#include "gateway/gateway_harness.h"

namespace pumicedyke::gateway {
namespace {

constexpr char kDocument[] =
    R"([["all", "/all/", true, "s0", "s1", "s2"], ["one", "/one/", false, "s0"],
        ["read", "/read/", true, "s0"]])";
constexpr size_t kShards = 3;
/// The leafs are ejected for this time at most.
const Duration kEjection = 2 * balance::BalanceKnobs{}.ejection_time;

/// A gateway with three shards and two leafs each.
struct SixLeafs {
  SixLeafs() {
    std::vector<wire::LeafRecord> leafs;
    for (size_t i = 0; i < 2 * kShards; ++i) {
      leafs.push_back(
          GatewayHarness::Leaf("leaf" + std::to_string(i), "s" + std::to_string(i % kShards)));
    }
    h.Put(1, kDocument);
    h.Report(leafs);
  }
  /// Makes the sub-requests for a path fail until all leafs that get them are ejected.
  void Eject(const std::string& path) {
    size_t sent = 0;
    do {
      sent = h.sends.size();
      h.Ask(path + std::to_string(sent), Milliseconds(100));
      FailAll();
    } while (h.sends.size() > sent);
    h.Pass(Milliseconds(100));
    FailAll();
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

void CheckRefusedAtOnce(const GatewayHarness& h) {
  CPPUNIT_ASSERT(h.sends.empty());
  CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
  CPPUNIT_ASSERT(h.answers.front().run == query::RunState::kNotRun);
  CPPUNIT_ASSERT(h.answers.front().retry_after > Duration(0));
  CPPUNIT_ASSERT(h.answers.front().retry_after <= kEjection);
}

}  // namespace

class GatewayUnavailableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayUnavailableTest);
  CPPUNIT_TEST(GatherWithoutLeafsIsRefusedAtOnce);
  CPPUNIT_TEST(RequestWithoutLeafsIsRefusedAtOnce);
  CPPUNIT_TEST(RequestWaitsForALeafThatReturnsInTime);
  CPPUNIT_TEST(FailureIsToldOnceTheObjectiveHasPassed);
  CPPUNIT_TEST(BusyLeafIsWaitedForAfterALateFailure);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against gathers that are held until their deadline although no leaf of any shard takes
  /// requests before that.
  void GatherWithoutLeafsIsRefusedAtOnce() {
    SixLeafs g;
    g.Eject("/all/");
    g.h.Ask("/all/request", Milliseconds(200));
    CheckRefusedAtOnce(g.h);
  }

  /// The same for a request to one leaf that must not be repeated.
  void RequestWithoutLeafsIsRefusedAtOnce() {
    SixLeafs g;
    g.Eject("/one/");
    g.h.Ask("/one/request", Milliseconds(200));
    CheckRefusedAtOnce(g.h);
  }

  /// Guards against requests whose leaf has failed and that are held for another one, which is
  /// ejected, until long after the objective of 100 ms.
  void FailureIsToldOnceTheObjectiveHasPassed() {
    SixLeafs g;
    g.Eject("/read/");
    g.h.Pass(kEjection);
    g.h.Ask("/read/request", 4 * kEjection);
    g.h.Ask("/read/other", 4 * kEjection);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, g.h.sends.size());
    const LeafSend first = g.h.sends.front();
    g.h.Reply(first, query::LeafStatus::kFailed, "failure", 500);
    g.h.Pass(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.answers.size());
    CPPUNIT_ASSERT(g.h.answers.front().payload != nullptr);
  }

  /// Guards against failures of requests whose other leaf is only busy, and free a moment later.
  void BusyLeafIsWaitedForAfterALateFailure() {
    constexpr size_t kSlots = 4;
    GatewayHarness h;
    std::vector<wire::LeafRecord> leafs = {GatewayHarness::Leaf("a", "s0"),
                                           GatewayHarness::Leaf("b", "s0")};
    leafs[0].slots = kSlots;
    leafs[1].slots = kSlots;
    h.Put(1, R"([["read", "/read/", true, "s0"]])");
    h.Report(leafs);
    for (size_t i = 0; i < 2 * kSlots; ++i) {
      h.Ask("/read/" + std::to_string(i), Seconds(2));
    }
    CPPUNIT_ASSERT_EQUAL(2 * kSlots, h.sends.size());
    h.Pass(Milliseconds(120));
    const std::vector<LeafSend> sends = h.sends;
    h.sends.clear();
    for (const LeafSend& send : sends) {
      if (send.leaf == "a") {
        h.Lose(send);
      }
    }
    h.Pass(Milliseconds(12));
    for (const LeafSend& send : sends) {
      if (send.leaf == "b") {
        h.Reply(send, query::LeafStatus::kOk, "body");
      }
    }
    h.Pass(Milliseconds(20));
    for (size_t i = 0; i < h.sends.size(); ++i) {
      h.Reply(h.sends[i], query::LeafStatus::kOk, "body");
    }
    CPPUNIT_ASSERT_EQUAL(2 * kSlots, h.answers.size());
    for (const GatewayAnswer& answer : h.answers) {
      CPPUNIT_ASSERT(answer.code == ResultCode::kOk);
    }
  }

  void RequestWaitsForALeafThatReturnsInTime() {
    SixLeafs g;
    g.Eject("/one/");
    g.h.Ask("/one/request", 2 * kEjection);
    g.h.Pass(kEjection);
    CPPUNIT_ASSERT(g.h.answers.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, g.h.sends.size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayUnavailableTest);

}  // namespace pumicedyke::gateway
