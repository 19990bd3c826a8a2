// Tests which gateways are listed for clients and for other gateways.
#include "directory/gateway_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace pumicedyke::directory {
namespace {

constexpr Timestamp kStart{Seconds(100)};

wire::GatewayPresence Presence(const std::string& node, const std::string& zone, bool serving) {
  return {node, 7, node + ":80", zone, serving, 0};
}

wire::GatewayPresence Reachable(const std::string& node, bool serving) {
  wire::GatewayPresence presence = Presence(node, "north", serving);
  presence.peer_address = node + ":7500";
  return presence;
}

}  // namespace

class GatewayDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayDirectoryTest);
  CPPUNIT_TEST(OwnZoneComesFirst);
  CPPUNIT_TEST(GatewayThatStopsServingIsNotListed);
  CPPUNIT_TEST(SilentGatewayIsNotListed);
  CPPUNIT_TEST(LossOfAnEarlierIncarnationKeepsTheLaterOne);
  CPPUNIT_TEST(AnswerIsBounded);
  CPPUNIT_TEST(PeersReceiveChanges);
  CPPUNIT_TEST(PeersFarBehindReceiveAllRecords);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OwnZoneComesFirst() {
    GatewayDirectory directory({});
    directory.OnPresence(kStart, Presence("a", "north", true));
    directory.OnPresence(kStart, Presence("b", "south", true));
    const std::vector<std::string> expected = {"b:80", "a:80"};
    CPPUNIT_ASSERT(expected == directory.AddressesFor(kStart, {"south", ""}));
  }

  /// A list maintained by incremental changes always equals the full one.
  void PeersReceiveChanges() {
    GatewayDirectory directory({.silence_limit = Seconds(1)});
    std::map<std::string, wire::GatewayRecord> view;
    uint64_t version = 0;
    const auto follow = [&] {
      const wire::GatewayFeed feed = directory.ChangesSince(version);
      if (feed.from_version == 0) {
        view.clear();
      }
      for (const wire::GatewayRecord& record : feed.peers) {
        view[record.node] = record;
      }
      for (const std::string& node : feed.removed) {
        view.erase(node);
      }
      version = feed.version;
      const wire::GatewayFeed all = directory.ChangesSince(0);
      CPPUNIT_ASSERT_EQUAL(all.peers.size(), view.size());
      for (const wire::GatewayRecord& record : all.peers) {
        CPPUNIT_ASSERT(view.contains(record.node));
      }
    };
    directory.OnPresence(kStart, Reachable("a", true));
    directory.OnPresence(kStart, Reachable("b", true));
    directory.OnPresence(kStart, Presence("unreachable", "north", true));
    follow();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, view.size());
    const uint64_t before = directory.version();
    directory.OnPresence(kStart, Reachable("a", true));
    CPPUNIT_ASSERT_EQUAL(before, directory.version());
    directory.OnPresence(kStart, Reachable("a", false));
    follow();
    CPPUNIT_ASSERT(!view.contains("a"));
    directory.OnPresence(kStart, Reachable("a", true));
    directory.OnLost("b", 7);
    follow();
    CPPUNIT_ASSERT(view.contains("a") && !view.contains("b"));
    directory.DropSilent(kStart + Seconds(2));
    follow();
    CPPUNIT_ASSERT(view.empty());
  }

  void PeersFarBehindReceiveAllRecords() {
    GatewayDirectory directory({.retained_removals = 1});
    directory.OnPresence(kStart, Reachable("a", true));
    const uint64_t version = directory.version();
    for (const char* node : {"b", "c"}) {
      directory.OnPresence(kStart, Reachable(node, true));
      directory.OnLost(node, 7);
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, directory.ChangesSince(version).from_version);
    // A version of another incarnation of the control machine.
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, directory.ChangesSince(version + 100).from_version);
  }

  void GatewayThatStopsServingIsNotListed() {
    GatewayDirectory directory({});
    directory.OnPresence(kStart, Presence("a", "north", true));
    directory.OnPresence(kStart, Presence("a", "north", false));
    CPPUNIT_ASSERT(directory.AddressesFor(kStart, {"north", ""}).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, directory.size());
  }

  void SilentGatewayIsNotListed() {
    GatewayDirectory directory({.silence_limit = Seconds(1)});
    directory.OnPresence(kStart, Presence("a", "north", true));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         directory.AddressesFor(kStart + Milliseconds(999), {"north", ""}).size());
    CPPUNIT_ASSERT(directory.AddressesFor(kStart + Seconds(1), {"north", ""}).empty());
    directory.DropSilent(kStart + Seconds(1));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, directory.size());
  }

  void LossOfAnEarlierIncarnationKeepsTheLaterOne() {
    GatewayDirectory directory({});
    wire::GatewayPresence later = Presence("a", "north", true);
    later.incarnation = 8;
    directory.OnPresence(kStart, Presence("a", "north", true));
    directory.OnPresence(kStart, later);
    CPPUNIT_ASSERT(!directory.OnLost("a", 7));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, directory.AddressesFor(kStart, {"north", ""}).size());
    CPPUNIT_ASSERT(directory.OnLost("a", 8));
    CPPUNIT_ASSERT(directory.AddressesFor(kStart, {"north", ""}).empty());
  }

  void AnswerIsBounded() {
    GatewayDirectory directory({.max_addresses = 3});
    for (int i = 0; i < 10; ++i) {
      directory.OnPresence(kStart, Presence("n" + std::to_string(i), "north", true));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, directory.AddressesFor(kStart, {"north", ""}).size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayDirectoryTest);

}  // namespace pumicedyke::directory
