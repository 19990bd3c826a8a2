// A gateway's handling of requests whose leafs are all down.
#include <cppunit/extensions/HelperMacros.h>

#include "balance/knobs.h"
#include "gateway/gateway_harness.h"

namespace pumicedyke::gateway {
namespace {

constexpr char kDocument[] =
    R"([["all", "/all/", true, "s0", "s1", "s2"], ["one", "/one/", false, "s0"]])";
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
