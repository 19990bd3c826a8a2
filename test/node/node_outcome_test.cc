// What a node tells of unrepeatable work, and when the ledger knows of it.
#include <cppunit/extensions/HelperMacros.h>

#include "common/result_code.h"
#include "node/node_harness.h"

namespace pumicedyke::node {
namespace {

constexpr Duration kDeadline = Seconds(10);
constexpr char kPolicy[] =
    "function plan(r) return { deadline_ms = 10000, repeatable = false } end";

/// A node at which one unrepeatable request was granted its key and has been sent.
struct Claimed {
  Claimed() {
    h.PutPolicy(kPolicy);
    query::CallerRequest request;
    request.service = "desk";
    request.query = "reprint";
    request.idempotency_key = "job-1";
    h.Ask(request);
    Acknowledge(wire::LedgerVerdict::kGranted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
  }
  /// The ledger's word on what it was told last.
  void Acknowledge(wire::LedgerVerdict verdict) {
    h.Hear(wire::LedgerReply{Told().request, verdict, ""});
  }
  wire::LedgerRequest Told() const { return h.Said<wire::LedgerRequest>().back(); }
  void Reply(query::LeafStatus status) {
    h.Reply(NodeHarness::ReplyTo(h.sends.back(), status));
    h.Pass(Milliseconds(1));
  }

  NodeHarness h;
};

}  // namespace

class NodeOutcomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeOutcomeTest);
  CPPUNIT_TEST(OutcomeIsToldOnceTheLedgerHasIt);
  CPPUNIT_TEST(OutcomeIsToldInTimeWithoutTheLedger);
  CPPUNIT_TEST(RefusalIsToldBeforeTheKeyIsGivenBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A node that told it and died before the ledger knew left the key taken for days.
  void OutcomeIsToldOnceTheLedgerHasIt() {
    Claimed node;
    node.Reply(query::LeafStatus::kOk);
    CPPUNIT_ASSERT(node.Told().operation == wire::LedgerOperation::kComplete);
    CPPUNIT_ASSERT(node.h.answers.empty());
    node.Acknowledge(wire::LedgerVerdict::kRecorded);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, node.h.answers.size());
    CPPUNIT_ASSERT(node.h.answers.front().answer.code == ResultCode::kOk);
    node.h.Pass(kDeadline);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, node.h.answers.size());
  }

  /// Ready answers are delivered: control may be out of reach for longer than the caller waits.
  void OutcomeIsToldInTimeWithoutTheLedger() {
    Claimed node;
    node.Reply(query::LeafStatus::kOk);
    node.h.Pass(kDeadline / 2);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, node.h.answers.size());
    CPPUNIT_ASSERT(node.h.answers.front().answer.code == ResultCode::kOk);
    // The ledger is told until it has taken it.
    const size_t told = node.h.Said<wire::LedgerRequest>().size();
    node.h.Pass(kDeadline);
    CPPUNIT_ASSERT(node.h.Said<wire::LedgerRequest>().size() > told);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, node.h.answers.size());
    CPPUNIT_ASSERT(!node.h.server->Drained());
    node.Acknowledge(wire::LedgerVerdict::kRecorded);
    CPPUNIT_ASSERT(node.h.server->Drained());
  }

  /// Once the key is given back another attempt may run, and "not run" would be told too late.
  void RefusalIsToldBeforeTheKeyIsGivenBack() {
    Claimed node;
    node.Reply(query::LeafStatus::kSnapshotNotHeld);
    CPPUNIT_ASSERT(node.h.answers.empty());
    CPPUNIT_ASSERT(node.Told().operation == wire::LedgerOperation::kClaim);
    node.Reply(query::LeafStatus::kSnapshotNotHeld);
    CPPUNIT_ASSERT(node.Told().operation == wire::LedgerOperation::kRelease);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, node.h.answers.size());
    CPPUNIT_ASSERT(node.h.answers.front().answer.run == query::RunState::kNotRun);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeOutcomeTest);

}  // namespace pumicedyke::node
