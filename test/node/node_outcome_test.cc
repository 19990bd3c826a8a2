// Tests of when a node answers unrepeatable work, and when the ledger records it.
#include <cppunit/extensions/HelperMacros.h>

#include "common/result_code.h"
#include "node/node_harness.h"

namespace pumicedyke::node {
namespace {

constexpr Duration kDeadline = Seconds(10);
constexpr char kPolicy[] =
    "function plan(r) return { deadline_ms = 10000, repeatable = false } end";

/// A node with one unrepeatable request whose key was granted and which has been sent.
struct ClaimedRequest {
  ClaimedRequest() {
    h.PutPolicy(kPolicy);
    query::CallerRequest request;
    request.service = "desk";
    request.query = "reprint";
    request.idempotency_key = "job-1";
    h.SendRequest(request);
    Acknowledge(wire::LedgerVerdict::kGranted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
  }
  /// Delivers the ledger's reply to the last request.
  void Acknowledge(wire::LedgerVerdict verdict) {
    h.Receive(wire::LedgerReply{LastLedgerRequest().request, verdict, ""});
  }
  wire::LedgerRequest LastLedgerRequest() const {
    return h.SentToControl<wire::LedgerRequest>().back();
  }
  void Reply(query::LeafStatus status) {
    h.Reply(NodeHarness::ReplyTo(h.sends.back(), status));
    h.AdvanceClock(Milliseconds(1));
  }

  NodeHarness h;
};

}  // namespace

class NodeOutcomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeOutcomeTest);
  CPPUNIT_TEST(AnswerWaitsForTheLedger);
  CPPUNIT_TEST(AnswerIsSentInTimeWithoutTheLedger);
  CPPUNIT_TEST(NotRunIsAnsweredBeforeTheKeyIsReleased);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a node that answers and stops before the ledger has recorded the outcome, which
  /// left the key taken for days.
  void AnswerWaitsForTheLedger() {
    ClaimedRequest node;
    node.Reply(query::LeafStatus::kOk);
    CPPUNIT_ASSERT(node.LastLedgerRequest().operation == wire::LedgerOperation::kComplete);
    CPPUNIT_ASSERT(node.h.answers.empty());
    node.Acknowledge(wire::LedgerVerdict::kRecorded);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, node.h.answers.size());
    CPPUNIT_ASSERT(node.h.answers.front().answer.code == ResultCode::kOk);
    node.h.AdvanceClock(kDeadline);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, node.h.answers.size());
  }

  /// A finished answer is sent although the control machines may be unreachable for longer than the
  /// caller waits.
  void AnswerIsSentInTimeWithoutTheLedger() {
    ClaimedRequest node;
    node.Reply(query::LeafStatus::kOk);
    node.h.AdvanceClock(kDeadline / 2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, node.h.answers.size());
    CPPUNIT_ASSERT(node.h.answers.front().answer.code == ResultCode::kOk);
    // The report to the ledger is repeated until it is recorded.
    const size_t sent_before = node.h.SentToControl<wire::LedgerRequest>().size();
    node.h.AdvanceClock(kDeadline);
    CPPUNIT_ASSERT(node.h.SentToControl<wire::LedgerRequest>().size() > sent_before);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, node.h.answers.size());
    CPPUNIT_ASSERT(!node.h.server->Drained());
    node.Acknowledge(wire::LedgerVerdict::kRecorded);
    CPPUNIT_ASSERT(node.h.server->Drained());
  }

  /// Once the key is released another attempt may run, so a later "not run" would be wrong.
  void NotRunIsAnsweredBeforeTheKeyIsReleased() {
    ClaimedRequest node;
    node.Reply(query::LeafStatus::kSnapshotNotHeld);
    CPPUNIT_ASSERT(node.h.answers.empty());
    CPPUNIT_ASSERT(node.LastLedgerRequest().operation == wire::LedgerOperation::kClaim);
    node.Reply(query::LeafStatus::kSnapshotNotHeld);
    CPPUNIT_ASSERT(node.LastLedgerRequest().operation == wire::LedgerOperation::kRelease);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, node.h.answers.size());
    CPPUNIT_ASSERT(node.h.answers.front().answer.run == query::RunState::kNotRun);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeOutcomeTest);

}  // namespace pumicedyke::node
