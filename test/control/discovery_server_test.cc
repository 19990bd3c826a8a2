// What a control machine sends to gateways about leafs, control machines and other gateways.
#include "control/discovery_server.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::control {
namespace {

constexpr Timestamp kStart{Seconds(100)};
constexpr SessionId kSession = 1;

DiscoveryOptions Options() {
  DiscoveryOptions options;
  options.cluster = "test";
  options.zone = "north";
  return options;
}

wire::GatewayPresence Presence(const std::string& node, uint64_t peers_version) {
  wire::GatewayPresence presence{node, 7, node + ":80", "north", true, 1};
  presence.peer_address = node + ":7500";
  presence.wants_peers = true;
  presence.peers_version = peers_version;
  return presence;
}

/// Returns the pending messages of one type.
template <typename Message>
std::vector<Message> Take(DiscoveryServer* server) {
  std::vector<Message> found;
  for (const SessionMessage& message : server->TakeMessages()) {
    if (const auto* body = std::get_if<Message>(&message.envelope.body)) {
      found.push_back(*body);
    }
  }
  return found;
}

}  // namespace

class DiscoveryServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DiscoveryServerTest);
  CPPUNIT_TEST(ControlAddressesAreSentOnce);
  CPPUNIT_TEST(GatewaysReceiveEachOther);
  CPPUNIT_TEST(NothingIsSentWithoutChanges);
  CPPUNIT_TEST(GatewaysWithTheSameVersionShareOneMessage);
  CPPUNIT_TEST(GatewaysLearnThatOneOfThemWasUsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GatewaysWithTheSameVersionShareOneMessage() {
    DiscoveryServer server(Options());
    server.SetControlAddresses({"a:7100"});
    for (SessionId session = 1; session <= 3; ++session) {
      server.OnPresence(kStart, session, Presence("g" + std::to_string(session), 0));
    }
    server.TakeMessages();
    registry::LeafReport report;
    report.record.leaf = "leaf";
    report.record.address = "leaf:80";
    report.sequence = 1;
    server.OnLeafReport(kStart, report);
    server.Tick(kStart, /*current=*/true);
    const std::vector<SessionMessage> messages = server.TakeMessages();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, messages.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, messages[0].others.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         std::get<wire::LeafFeed>(messages[0].envelope.body).records.size());
    server.Tick(kStart + Seconds(1), /*current=*/true);
    CPPUNIT_ASSERT(server.TakeMessages().empty());
  }

  void GatewaysLearnThatOneOfThemWasUsed() {
    DiscoveryServer server(Options());
    server.OnPresence(kStart, 1, Presence("g1", 0));
    CPPUNIT_ASSERT(!Take<wire::LeafFeed>(&server).at(0).gateways_used);
    wire::GatewayPresence used = Presence("g2", 0);
    used.used = true;
    server.OnPresence(kStart, 2, used);
    Take<wire::LeafFeed>(&server);
    server.OnPresence(kStart, 1, Presence("g1", 0));
    CPPUNIT_ASSERT(Take<wire::LeafFeed>(&server).at(0).gateways_used);
    // It stays true without that gateway.
    server.OnSessionClosed(2);
    server.OnPresence(kStart, 1, Presence("g1", 0));
    CPPUNIT_ASSERT(Take<wire::LeafFeed>(&server).at(0).gateways_used);
  }

  void ControlAddressesAreSentOnce() {
    DiscoveryServer server(Options());
    server.SetControlAddresses({"a:7100", "b:7100"});
    server.OnPresence(kStart, kSession, Presence("g1", 0));
    const auto first = Take<wire::LeafFeed>(&server);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, first.at(0).control.size());
    CPPUNIT_ASSERT_EQUAL(std::string("north"), first[0].zone);
    server.OnPresence(kStart, kSession, Presence("g1", 0));
    CPPUNIT_ASSERT(Take<wire::LeafFeed>(&server).at(0).control.empty());
    server.SetControlAddresses({"a:7100", "c:7100"});
    server.OnPresence(kStart, kSession, Presence("g1", 0));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Take<wire::LeafFeed>(&server).at(0).control.size());
    // A new connection receives the full list.
    server.OnPresence(kStart, kSession + 1, Presence("g1", 0));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Take<wire::LeafFeed>(&server).at(0).control.size());
  }

  void GatewaysReceiveEachOther() {
    DiscoveryServer server(Options());
    server.OnPresence(kStart, kSession, Presence("g1", 0));
    const auto first = Take<wire::GatewayFeed>(&server);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, first.at(0).peers.size());
    server.OnPresence(kStart, kSession + 1, Presence("g2", 0));
    Take<wire::GatewayFeed>(&server);
    server.OnPresence(kStart, kSession, Presence("g1", first[0].version));
    const auto second = Take<wire::GatewayFeed>(&server);
    CPPUNIT_ASSERT_EQUAL(first[0].version, second.at(0).from_version);
    CPPUNIT_ASSERT_EQUAL(std::string("g2"), second[0].peers.at(0).node);
    server.OnSessionClosed(kSession + 1);
    server.OnPresence(kStart, kSession, Presence("g1", second[0].version));
    CPPUNIT_ASSERT_EQUAL(std::string("g2"), Take<wire::GatewayFeed>(&server).at(0).removed.at(0));
  }

  void NothingIsSentWithoutChanges() {
    DiscoveryServer server(Options());
    server.OnPresence(kStart, kSession, Presence("g1", 0));
    const uint64_t version = Take<wire::GatewayFeed>(&server).at(0).version;
    server.OnPresence(kStart, kSession, Presence("g1", version));
    CPPUNIT_ASSERT(Take<wire::GatewayFeed>(&server).empty());
    wire::GatewayPresence follower = Presence("g1", 0);
    follower.wants_peers = false;
    server.OnPresence(kStart, kSession, follower);
    CPPUNIT_ASSERT(Take<wire::GatewayFeed>(&server).empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DiscoveryServerTest);

}  // namespace pumicedyke::control
