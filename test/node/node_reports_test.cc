// How a node tells control of runs that were lost with their leaf.
#include <cppunit/extensions/HelperMacros.h>

#include "node/node_harness.h"

namespace pumicedyke::node {

class NodeReportsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeReportsTest);
  CPPUNIT_TEST(LostRunsAreToldToTheNextMachineIfTheFirstIsGone);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Told once to a control machine that was gone, nobody heard of them, and the request that ended
  /// the leafs went on.
  void LostRunsAreToldToTheNextMachineIfTheFirstIsGone() {
    NodeHarness h;
    query::CallerRequest request;
    request.service = "desk";
    request.query = "fatal";
    request.identity = IdentityOf({"fatal"});
    h.Ask(request);
    query::LeafReply reply = NodeHarness::ReplyTo(h.sends.at(0), query::LeafStatus::kFailed);
    reply.connection_lost = true;
    h.Reply(reply);
    h.Pass(Milliseconds(5));
    const auto first = h.Said<wire::RunReport>();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, first.size());
    h.server->OnControlDisconnected(h.now);
    h.Pass(Milliseconds(5));
    const auto again = h.Said<wire::RunReport>();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, again.size());
    CPPUNIT_ASSERT_EQUAL(first.front().number, again.back().number);
    CPPUNIT_ASSERT_EQUAL(reply.leaf, again.back().lost.at(0).leaf);
    h.Hear(wire::RunReportTaken{again.back().number});
    h.Pass(Seconds(20));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.Said<wire::RunReport>().size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeReportsTest);

}  // namespace pumicedyke::node
