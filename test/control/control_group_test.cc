// Tests of a group of control machines without a network: what an operator's change waits for when
// machines are lost and return.
#include "control/control_group.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "common/json.h"
#include "common/result_code.h"

namespace pumicedyke::control {
namespace {

/// An election, the leader's first entry, and one more round.
constexpr Duration kMaxAnswerTime = Milliseconds(1200);

}  // namespace

class ControlGroupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlGroupTest);
  CPPUNIT_TEST(ChangeAtFollowerSurvivesLossOfLeader);
  CPPUNIT_TEST(ChangeIsNotDelayedByLostFollower);
  CPPUNIT_TEST(ChangeAtDeposedLeaderIsForwarded);
  CPPUNIT_TEST(ReportIsAcknowledgedWithQuorumAndRelayedToAll);
  CPPUNIT_TEST(ReportsAreAcknowledgedToTheirSendersOnly);
  CPPUNIT_TEST(MessagesForOthersAreNotHandled);
  CPPUNIT_TEST(CommandsThatAreNoTextAreRefusedAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangeAtFollowerSurvivesLossOfLeader() {
    for (MemberId offset = 1; offset < kMachines; ++offset) {
      Group group;
      const MemberId leader = group.WaitForLeader();
      group.Pause(leader);
      group.SubmitDocument(group.Other(leader, offset), 1, 1);
      const std::optional<Duration> took = group.WaitFor(1);
      CPPUNIT_ASSERT(took.has_value());
      CPPUNIT_ASSERT_EQUAL(0, group.CodeOf(1));
      CPPUNIT_ASSERT(*took <= kMaxAnswerTime);
    }
  }

  void ChangeIsNotDelayedByLostFollower() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    group.Pause(group.Other(leader));
    group.SubmitDocument(group.Other(leader, 2), 1, 1);
    CPPUNIT_ASSERT(*group.WaitFor(1) <= kStep);
    CPPUNIT_ASSERT_EQUAL(0, group.CodeOf(1));
  }

  /// The entry is truncated and replaced by the first entry of another leader.
  void ChangeAtDeposedLeaderIsForwarded() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    group.Split({leader, group.Other(leader)});
    group.SubmitDocument(leader, 1, 1);
    group.RunFor(Milliseconds(1000));
    CPPUNIT_ASSERT(group.Leader() != leader);
    group.Split({});
    const std::optional<Duration> took = group.WaitFor(1);
    CPPUNIT_ASSERT(took.has_value());
    CPPUNIT_ASSERT_EQUAL(0, group.CodeOf(1));
    CPPUNIT_ASSERT(*took <= kMaxAnswerTime);
  }

  /// A machine without a quorum is the only one that knows the report, so it leaves it to the node
  /// to report to another machine.
  void ReportIsAcknowledgedWithQuorumAndRelayedToAll() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    wire::RunReport report;
    report.lost = {{IdentityOf({"fatal"}), 1, "leaf", "s"}};
    report.reporter = 7;
    report.number = 1;
    const MemberId isolated = group.Other(leader);
    group.Split({isolated});
    group.RunFor(Seconds(3));
    CPPUNIT_ASSERT(!group.Report(isolated, report));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, group.at(leader).evidence().leafs());
    const MemberId connected = group.Other(leader, 2);
    CPPUNIT_ASSERT(group.Report(connected, report));
    for (MemberId id = 1; id <= kMachines; ++id) {
      CPPUNIT_ASSERT_EQUAL(size_t{1}, group.at(id).evidence().leafs());
    }
    // Repeated because the acknowledgement was lost: acknowledged again, counted once.
    CPPUNIT_ASSERT(group.Report(connected, report));
    group.Split({});
    group.RunFor(Seconds(3));
    CPPUNIT_ASSERT(group.Report(isolated, report));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, group.at(isolated).evidence().leafs());
  }

  /// Gateways send a report to every machine, marked as one that is not relayed further; control
  /// machines mark those that they relay themselves.
  void ReportsAreAcknowledgedToTheirSendersOnly() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    wire::RunReport report;
    report.lost = {{IdentityOf({"fatal"}), 1, "leaf", "s"}};
    report.reporter = 7;
    report.number = 1;
    report.relayed = true;
    CPPUNIT_ASSERT(group.Report(leader, report));
    report.from_control = true;
    CPPUNIT_ASSERT(!group.Report(leader, report));
    // One that a machine relays reaches each of the others once and is acknowledged by none.
    report = {};
    report.reporter = 8;
    report.number = 1;
    const size_t before = group.acknowledged();
    CPPUNIT_ASSERT(group.Report(leader, report));
    CPPUNIT_ASSERT_EQUAL(before + 1, group.acknowledged());
  }

  void MessagesForOthersAreNotHandled() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    CPPUNIT_ASSERT(!group.Deliver(leader, wire::RunReportAck{1}));
    CPPUNIT_ASSERT(!group.Deliver(leader, wire::PartialCancel{1, true}));
    CPPUNIT_ASSERT(!group.Deliver(leader, wire::GatewayPresence{}));
    CPPUNIT_ASSERT(group.Deliver(leader, wire::RunReport{}));
  }

  /// Guards against bytes that are not UTF-8, which no entry of the log can hold, ending the
  /// machine that gets them.
  void CommandsThatAreNoTextAreRefusedAtOnce() {
    const std::string bytes = "\xff\xfe";
    Group group;
    const MemberId leader = group.WaitForLeader();
    config::Change document;
    document.kind = config::ChangeKind::kPutDocument;
    document.document = {1, bytes};
    config::Change zone;
    zone.kind = config::ChangeKind::kEvacuateZone;
    zone.zone = bytes;
    TicketId ticket = 0;
    for (const config::Change& change : {document, zone}) {
      group.Submit(leader, ++ticket, change);
      CPPUNIT_ASSERT(group.WaitFor(ticket) <= kStep);
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(ResultCode::kMalformedRequest), group.CodeOf(ticket));
    }
    // A node of an older version may send such a key: it must not wait for an answer.
    wire::LedgerRequest claim;
    claim.key = bytes;
    claim.request = 7;
    group.Deliver(leader, claim);
    group.Deliver();
    const std::vector<wire::LedgerReply> replies = group.TakeLedgerReplies();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, replies.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, replies[0].request);
    CPPUNIT_ASSERT(replies[0].verdict == wire::LedgerVerdict::kFingerprintMismatch);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ControlGroupTest);

}  // namespace pumicedyke::control
