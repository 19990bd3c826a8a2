// A node's planned stop: what it does with requests when it knows when it will be killed.
#include <cppunit/extensions/HelperMacros.h>

#include "common/result_code.h"
#include "node/node_harness.h"

namespace pumicedyke::node {
namespace {

/// Until when all must be answered, after the signal to stop.
constexpr Duration kAnswerBy = Seconds(5);
/// Callers and policies wait longer than that.
constexpr char kPolicy[] =
    "function plan(r)\n"
    "  if r.class == 'job' then return { deadline_ms = 20000, repeatable = false } end\n"
    "  if r.class == 'short' then return { deadline_ms = 100, repeatable = false } end\n"
    "  return { deadline_ms = 20000 }\n"
    "end";

struct StoppingNode {
  StoppingNode() { h.PutPolicy(kPolicy); }

  void Ask(const std::string& request_class, const std::string& key) {
    query::CallerRequest request;
    request.service = "desk";
    request.query = "reprint";
    request.request_class = request_class;
    request.idempotency_key = key;
    h.SendRequest(request);
  }
  /// Sends a request that must run at most once, and grants its key.
  void AskOnce(const std::string& request_class) {
    Ask(request_class, "job-1");
    Acknowledge(wire::LedgerVerdict::kGranted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
  }
  void Acknowledge(wire::LedgerVerdict verdict) {
    h.Receive(wire::LedgerReply{LedgerRequests().back().request, verdict, ""});
  }
  std::vector<wire::LedgerRequest> LedgerRequests() const {
    return h.SentToControl<wire::LedgerRequest>();
  }
  void Stop() {
    h.server->StartDraining(h.now, h.now + kAnswerBy);
    h.CollectOutput();
  }
  const query::Answer& OnlyAnswer() const {
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
    return h.answers.front().answer;
  }

  NodeHarness h;
};

}  // namespace

class NodeStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeStopTest);
  CPPUNIT_TEST(RequestAtASilentLeafIsAnsweredInTime);
  CPPUNIT_TEST(RequestThatArrivesInTheStopIsAnsweredInTime);
  CPPUNIT_TEST(WorkThatMayRunIsAnsweredAsUnknownAndRecorded);
  CPPUNIT_TEST(LateOutcomeIsNotAwaitedBeyondTheStop);
  CPPUNIT_TEST(ClaimWithoutVerdictIsAnsweredAndReleased);
  CPPUNIT_TEST(AnswerDoesNotWaitForTheLedgerBeyondTheStop);
  CPPUNIT_TEST(NodeEndsWithoutTheLedger);
  CPPUNIT_TEST(WorkThatCouldNotBeRecordedIsNotClaimed);
  CPPUNIT_TEST(RequestAtTheEndIsRefused);
  CPPUNIT_TEST(StopWithoutAKillWaitsForTheLeafs);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a request that waits for a leaf until the node is killed.
  void RequestAtASilentLeafIsAnsweredInTime() {
    StoppingNode node;
    node.Ask("", "");
    node.Stop();
    node.h.AdvanceClock(kAnswerBy);
    CPPUNIT_ASSERT(node.OnlyAnswer().code == ResultCode::kShuttingDown);
    CPPUNIT_ASSERT(node.h.server->Drained());
  }

  /// Guards against limiting only those requests that were in progress at the signal.
  void RequestThatArrivesInTheStopIsAnsweredInTime() {
    StoppingNode node;
    node.Stop();
    node.h.AdvanceClock(kAnswerBy / 2);
    node.Ask("", "");
    CPPUNIT_ASSERT(node.h.answers.empty());
    node.h.AdvanceClock(kAnswerBy / 2);
    CPPUNIT_ASSERT(node.OnlyAnswer().code == ResultCode::kShuttingDown);
    CPPUNIT_ASSERT(node.h.server->Drained());
  }

  /// Guards against telling that work did not run which a leaf may run, against releasing its key,
  /// and against no time being left to record its outcome.
  void WorkThatMayRunIsAnsweredAsUnknownAndRecorded() {
    StoppingNode node;
    node.AskOnce("job");
    node.Stop();
    node.h.AdvanceClock(kAnswerBy - Milliseconds(1));
    CPPUNIT_ASSERT(node.OnlyAnswer().code == ResultCode::kOutcomeUnknown);
    CPPUNIT_ASSERT(node.OnlyAnswer().run == query::RunState::kUnknown);
    CPPUNIT_ASSERT(node.LedgerRequests().back().operation == wire::LedgerOperation::kComplete);
    CPPUNIT_ASSERT(!node.h.server->Drained());
    node.Acknowledge(wire::LedgerVerdict::kRecorded);
    CPPUNIT_ASSERT(node.h.server->Drained());
  }

  /// Guards against a node that is killed because it awaits the outcome of work that was answered
  /// before the stop.
  void LateOutcomeIsNotAwaitedBeyondTheStop() {
    StoppingNode node;
    node.AskOnce("short");
    node.h.AdvanceClock(Milliseconds(200));
    CPPUNIT_ASSERT(node.OnlyAnswer().run == query::RunState::kUnknown);
    CPPUNIT_ASSERT(node.LedgerRequests().back().operation == wire::LedgerOperation::kClaim);
    node.Stop();
    CPPUNIT_ASSERT(node.LedgerRequests().back().operation == wire::LedgerOperation::kClaim);
    node.h.AdvanceClock(kAnswerBy - Milliseconds(1));
    CPPUNIT_ASSERT(node.LedgerRequests().back().operation == wire::LedgerOperation::kComplete);
    node.Acknowledge(wire::LedgerVerdict::kRecorded);
    CPPUNIT_ASSERT(node.h.server->Drained());
  }

  /// Guards against a claim that is waited for until the node is killed, and against a key that
  /// stays taken by a request that was never sent.
  void ClaimWithoutVerdictIsAnsweredAndReleased() {
    StoppingNode node;
    node.Ask("job", "job-1");
    node.Stop();
    node.h.AdvanceClock(kAnswerBy - Milliseconds(1));
    CPPUNIT_ASSERT(node.OnlyAnswer().code == ResultCode::kLedgerUnavailable);
    CPPUNIT_ASSERT(node.OnlyAnswer().run == query::RunState::kUnknown);
    node.Acknowledge(wire::LedgerVerdict::kGranted);
    node.h.server->Tick(node.h.now);
    node.h.CollectOutput();
    CPPUNIT_ASSERT(node.LedgerRequests().back().operation == wire::LedgerOperation::kRelease);
    CPPUNIT_ASSERT(node.h.sends.empty());
  }

  /// Guards against a finished answer that is held for the ledger until the node is killed.
  void AnswerDoesNotWaitForTheLedgerBeyondTheStop() {
    StoppingNode node;
    node.AskOnce("job");
    node.h.Reply(NodeHarness::ReplyTo(node.h.sends.back(), query::LeafStatus::kOk));
    node.Stop();
    CPPUNIT_ASSERT(node.h.answers.empty());
    node.h.AdvanceClock(kAnswerBy);
    CPPUNIT_ASSERT(node.OnlyAnswer().code == ResultCode::kOk);
    CPPUNIT_ASSERT(!node.OnlyAnswer().recorded);
  }

  /// Guards against a node that can't end because no control machine records its outcomes.
  void NodeEndsWithoutTheLedger() {
    StoppingNode node;
    node.AskOnce("job");
    node.Stop();
    node.h.AdvanceClock(kAnswerBy);
    node.OnlyAnswer();
    CPPUNIT_ASSERT(node.h.server->Drained());
  }

  /// Guards against starting work whose outcome the node could not record any more.
  void WorkThatCouldNotBeRecordedIsNotClaimed() {
    StoppingNode node;
    node.Stop();
    node.h.AdvanceClock(kAnswerBy - Milliseconds(1));
    node.Ask("job", "job-1");
    CPPUNIT_ASSERT(node.OnlyAnswer().code == ResultCode::kShuttingDown);
    CPPUNIT_ASSERT(node.OnlyAnswer().run == query::RunState::kUnknown);
    CPPUNIT_ASSERT(node.LedgerRequests().empty());
    CPPUNIT_ASSERT(node.h.server->Drained());
  }

  /// Guards against admitting a request when the node is about to be killed.
  void RequestAtTheEndIsRefused() {
    StoppingNode node;
    node.Stop();
    node.h.AdvanceClock(kAnswerBy);
    node.Ask("", "");
    CPPUNIT_ASSERT(node.OnlyAnswer().code == ResultCode::kShuttingDown);
    CPPUNIT_ASSERT(node.OnlyAnswer().run == query::RunState::kNotRun);
    CPPUNIT_ASSERT(node.h.sends.empty());
  }

  /// Guards against cutting requests short where nobody kills the node.
  void StopWithoutAKillWaitsForTheLeafs() {
    StoppingNode node;
    node.AskOnce("job");
    node.h.server->StartDraining(node.h.now, std::nullopt);
    node.h.AdvanceClock(2 * kAnswerBy);
    CPPUNIT_ASSERT(node.h.answers.empty());
    node.h.Reply(NodeHarness::ReplyTo(node.h.sends.back(), query::LeafStatus::kOk));
    node.h.AdvanceClock(Milliseconds(1));
    node.Acknowledge(wire::LedgerVerdict::kRecorded);
    CPPUNIT_ASSERT(node.OnlyAnswer().code == ResultCode::kOk);
    CPPUNIT_ASSERT(node.h.server->Drained());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeStopTest);

}  // namespace pumicedyke::node
