// Tests that a group of control machines grants the trials of suspect requests, and that what it
// knows of them outlives its processes.
#include <cppunit/extensions/HelperMacros.h>

#include "control/control_group.h"

namespace pumicedyke::control {
namespace {

const RequestIdentity kSuspect = IdentityOf({"suspect"});

/// Reports three lost runs of kSuspect in one attempt to all machines.
void ReportCrash(Group* group) {
  wire::RunReport report;
  report.relayed = true;
  for (const char* leaf : {"a", "b", "c"}) {
    report.lost.push_back({kSuspect, 1, leaf, "s"});
  }
  for (MemberId id = 1; id <= kMachines; ++id) {
    group->Deliver(id, report);
  }
}

void ReportSuccess(Group* group) {
  wire::RunReport report;
  report.relayed = true;
  report.succeeded = {kSuspect};
  for (MemberId id = 1; id <= kMachines; ++id) {
    group->Deliver(id, report);
  }
}

}  // namespace

class TrialTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TrialTest);
  CPPUNIT_TEST(AllMachinesTogetherGrantAFewTrials);
  CPPUNIT_TEST(SuspectsAndTrialsOutliveRestarts);
  CPPUNIT_TEST(NoTrialIsGrantedWithoutQuorum);
  CPPUNIT_TEST(SuccessMakesTrialsUnnecessary);
  CPPUNIT_TEST(LostTrialsStopTheRequest);
  CPPUNIT_TEST(NewSessionLearnsOfSuspects);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against trials that gateways count for themselves.
  void AllMachinesTogetherGrantAFewTrials() {
    Group group;
    group.WaitForLeader();
    uint32_t granted = 0;
    uint64_t attempt = 0;
    for (int round = 0; round < 20; ++round) {
      for (MemberId id = 1; id <= kMachines; ++id) {
        group.Deliver(id, wire::TrialRequest{kSuspect, ++attempt, 0});
      }
      group.RunFor(Milliseconds(100));
      for (const wire::TrialReply& reply : group.TakeTrialReplies()) {
        granted += reply.verdict == wire::TrialVerdict::kGranted ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT_EQUAL(quarantine::kMaxTrials, granted);
  }

  void SuspectsAndTrialsOutliveRestarts() {
    Group group;
    group.WaitForLeader();
    ReportCrash(&group);
    group.RunFor(Milliseconds(500));
    for (uint32_t trial = 1; trial <= quarantine::kMaxTrials; ++trial) {
      group.RestartAll();
      const MemberId leader = group.WaitForLeader();
      CPPUNIT_ASSERT(group.at(leader).state().suspects().Contains(kSuspect));
      group.Deliver(leader, wire::TrialRequest{kSuspect, trial, 0});
      group.RunFor(Milliseconds(600));
      const std::vector<wire::TrialReply> replies = group.TakeTrialReplies();
      CPPUNIT_ASSERT_EQUAL(size_t{1}, replies.size());
      CPPUNIT_ASSERT_EQUAL(trial, replies.front().number);
    }
  }

  void NoTrialIsGrantedWithoutQuorum() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    group.Split({leader, group.Other(leader)});
    group.RunFor(Seconds(3));
    group.Deliver(leader, wire::TrialRequest{kSuspect, 1, 0});
    group.RunFor(Seconds(1));
    CPPUNIT_ASSERT(group.TakeTrialReplies().empty());
  }

  void SuccessMakesTrialsUnnecessary() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    ReportCrash(&group);
    group.RunFor(Milliseconds(500));
    CPPUNIT_ASSERT(group.at(leader).state().suspects().Contains(kSuspect));
    ReportSuccess(&group);
    group.Deliver(leader, wire::TrialRequest{kSuspect, 1, 0});
    group.RunFor(Milliseconds(500));
    CPPUNIT_ASSERT(group.TakeTrialReplies().front().verdict == wire::TrialVerdict::kNotNeeded);
    CPPUNIT_ASSERT(!group.at(leader).state().suspects().Contains(kSuspect));
  }

  /// Also if the control machines remember nothing else of the request.
  void LostTrialsStopTheRequest() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    wire::RunReport report;
    report.relayed = true;
    report.lost = {{kSuspect, 9, "z", "s", quarantine::kMaxTrials}};
    group.Deliver(leader, report);
    group.RunFor(Milliseconds(500));
    for (MemberId id = 1; id <= kMachines; ++id) {
      CPPUNIT_ASSERT(group.at(id).state().config().IsQuarantined(kSuspect));
    }
  }

  /// Guards against warnings that are sent only once: a gateway that was restarted, or whose
  /// connection was down at that moment, knew nothing.
  void NewSessionLearnsOfSuspects() {
    Group group;
    group.WaitForLeader();
    ReportCrash(&group);
    group.RunFor(Milliseconds(500));
    group.TakeNotices();
    wire::NodeHello hello;
    hello.node = "late";
    for (MemberId id = 1; id <= kMachines; ++id) {
      group.Deliver(id, hello);
      group.Deliver();
      const std::vector<wire::SuspectNotice> notices = group.TakeNotices();
      CPPUNIT_ASSERT_EQUAL(size_t{1}, notices.size());
      CPPUNIT_ASSERT(notices.front().requests == std::vector{kSuspect});
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TrialTest);

}  // namespace pumicedyke::control
