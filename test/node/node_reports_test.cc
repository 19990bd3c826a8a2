// Tests of how a node reports runs that were lost with their leaf to the control machines.
#include <cppunit/extensions/HelperMacros.h>

#include "node/node_harness.h"

namespace pumicedyke::node {

class NodeReportsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeReportsTest);
  CPPUNIT_TEST(LostRunsAreReportedAgainAfterDisconnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against reporting only once: if that control machine had stopped, the report was lost
  /// and the request that crashed the leafs went on.
  void LostRunsAreReportedAgainAfterDisconnection() {
    NodeHarness h;
    query::CallerRequest request;
    request.service = "desk";
    request.query = "fatal";
    request.identity = IdentityOf({"fatal"});
    h.SendRequest(request);
    query::LeafReply reply = NodeHarness::ReplyTo(h.sends.at(0), query::LeafStatus::kFailed);
    reply.connection_lost = true;
    h.Reply(reply);
    h.AdvanceClock(Milliseconds(5));
    const auto first = h.SentToControl<wire::RunReport>();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, first.size());
    h.server->OnControlDisconnected(h.now);
    h.AdvanceClock(Milliseconds(5));
    const auto resent = h.SentToControl<wire::RunReport>();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, resent.size());
    CPPUNIT_ASSERT_EQUAL(first.front().number, resent.back().number);
    CPPUNIT_ASSERT_EQUAL(reply.leaf, resent.back().lost.at(0).leaf);
    h.Receive(wire::RunReportAck{resent.back().number});
    h.AdvanceClock(Seconds(20));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.SentToControl<wire::RunReport>().size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeReportsTest);

}  // namespace pumicedyke::node
