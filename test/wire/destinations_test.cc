// Tests which part of which process handles each message.
#include "wire/destinations.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace pumicedyke::wire {
namespace {

struct Case {
  Body message;
  Destination destination;
};

}  // namespace

class DestinationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DestinationsTest);
  CPPUNIT_TEST(EveryMessageHasItsDestination);
  CPPUNIT_TEST(OnlyAcceptedMessagesAreHandled);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a message that is taken for one of another sender: reports of lost runs were
  /// handled like messages between control machines, which are not answered.
  void EveryMessageHasItsDestination() {
    const std::vector<Case> cases = {{RaftMessage{}, Destination::kControlPeer},
                                     {JoinRequest{}, Destination::kControlPeer},
                                     {JoinReply{}, Destination::kControlPeer},
                                     {Forwarded{}, Destination::kControlPeer},
                                     {ForwardedReply{}, Destination::kControlPeer},
                                     {NodeHello{}, Destination::kControlSession},
                                     {LedgerRequest{}, Destination::kControlSession},
                                     {RunReport{}, Destination::kControlSession},
                                     {TrialRequest{}, Destination::kControlSession},
                                     {GatewayPresence{}, Destination::kDiscovery},
                                     {ConfigFeed{}, Destination::kNodeOrGateway},
                                     {SuspectNotice{}, Destination::kNodeOrGateway},
                                     {RunReportAck{}, Destination::kNodeOrGateway},
                                     {TrialReply{}, Destination::kNodeOrGateway},
                                     {LedgerReply{}, Destination::kNode},
                                     {LeafFeed{}, Destination::kGateway},
                                     {GatewayFeed{}, Destination::kGateway},
                                     {PartialQuery{}, Destination::kGatewayPeerServer},
                                     {PartialCancel{}, Destination::kGatewayPeerServer},
                                     {PartialConfirm{}, Destination::kGatewayPeerServer},
                                     {LimitRequest{}, Destination::kGatewayPeerServer},
                                     {PartialAnswer{}, Destination::kGatewayPeerClient},
                                     {LimitGrant{}, Destination::kGatewayPeerClient}};
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<Body>, cases.size());
    std::vector<bool> seen(cases.size());
    for (const Case& item : cases) {
      CPPUNIT_ASSERT(FindDestination(item.message) == item.destination);
      CPPUNIT_ASSERT(!seen[item.message.index()]);
      seen[item.message.index()] = true;
    }
  }

  void OnlyAcceptedMessagesAreHandled() {
    uint64_t hello = 0;
    uint64_t report = 0;
    const auto dispatch = [&](const Body& body) {
      return DispatchTo<Destination::kControlSession>(
          body, MessageHandler{[&](const NodeHello& message) { hello = message.version; },
                               [](const LedgerRequest& /*message*/) {},
                               [](const TrialRequest& /*message*/) {},
                               [&](const RunReport& message) { report = message.number; }});
    };
    CPPUNIT_ASSERT(dispatch(NodeHello{.node = "n", .version = 5}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, hello);
    RunReport sent;
    sent.number = 6;
    CPPUNIT_ASSERT(dispatch(sent));
    CPPUNIT_ASSERT_EQUAL(uint64_t{6}, report);
    CPPUNIT_ASSERT(!dispatch(RunReportAck{7}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{6}, report);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DestinationsTest);

}  // namespace pumicedyke::wire
