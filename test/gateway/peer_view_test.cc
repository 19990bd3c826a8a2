// A gateway's view of the other gateways.
#include "gateway/peer_view.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::gateway {
namespace {

constexpr char kOne[] = "10.0.0.1:7100";
constexpr char kOther[] = "10.0.0.2:7100";

wire::GatewayRecord Peer(const std::string& node, const std::string& zone) {
  return {node, zone, node + ":7500"};
}

}  // namespace

class PeerViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerViewTest);
  CPPUNIT_TEST(FollowsChanges);
  CPPUNIT_TEST(MissedUpdatesAreDetected);
  CPPUNIT_TEST(KeepsItsListUntilAnotherSourceReports);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FollowsChanges() {
    PeerView view;
    CPPUNIT_ASSERT(view.OnFeed(kOne, {0, 5, {Peer("a", "north"), Peer("b", "south")}, {}}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, view.VersionOf(kOne));
    CPPUNIT_ASSERT(view.OnFeed(kOne, {5, 7, {Peer("c", "north")}, {"a"}}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, view.VersionOf(kOne));
    CPPUNIT_ASSERT(view.InZone("north") == std::vector<std::string>{"c"});
    CPPUNIT_ASSERT(view.Find("a") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("b:7500"), view.Find("b")->peer_address);
    CPPUNIT_ASSERT(view.InZone("nowhere").empty());
  }

  void MissedUpdatesAreDetected() {
    PeerView view;
    CPPUNIT_ASSERT(view.OnFeed(kOne, {0, 5, {Peer("a", "north")}, {}}));
    CPPUNIT_ASSERT(!view.OnFeed(kOne, {6, 7, {Peer("b", "north")}, {}}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, view.VersionOf(kOne));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, view.size());
  }

  void KeepsItsListUntilAnotherSourceReports() {
    PeerView view;
    CPPUNIT_ASSERT(view.OnFeed(kOne, {0, 5, {Peer("a", "north")}, {}}));
    view.OnSourceLost(kOne);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, view.VersionOf(kOne));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, view.size());
    // Changes relative to a list that is not held here cannot be applied.
    CPPUNIT_ASSERT(!view.OnFeed(kOther, {3, 4, {Peer("b", "north")}, {}}));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, view.size());
    CPPUNIT_ASSERT(view.OnFeed(kOther, {0, 4, {Peer("b", "north")}, {}}));
    CPPUNIT_ASSERT(view.InZone("north") == std::vector<std::string>{"b"});
    // A late update from the first source no longer has an effect.
    CPPUNIT_ASSERT(!view.OnFeed(kOne, {5, 6, {Peer("c", "north")}, {}}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, view.VersionOf(kOther));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerViewTest);

}  // namespace pumicedyke::gateway
