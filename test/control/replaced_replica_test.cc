// Tests of a group of control machines in which machines are replaced by others at other addresses
// while further ones are away.
#include <cppunit/extensions/HelperMacros.h>

#include "control/control_group.h"

namespace pumicedyke::control {
namespace {

constexpr Duration kReplaceSilentAfter = Seconds(3);
/// Within this time after the last change a machine counts as back.
constexpr Duration kCatchUpTime = Seconds(4);
constexpr MemberId kSuccessor = kMachines + 1;

/// Pauses a machine until a successor of another one has become a voter in its place.
void ReplaceWhileAway(Group* group, MemberId away) {
  group->Pause(away);
  group->RunFor(kReplaceSilentAfter);
  group->Add(kSuccessor);
  group->RunFor(Seconds(2));
  CPPUNIT_ASSERT(group->Voters().contains(kSuccessor));
  CPPUNIT_ASSERT(!group->Voters().contains(away));
}

}  // namespace

class ReplacedReplicaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplacedReplicaTest);
  CPPUNIT_TEST(MachineThatWasReplacedWhileCutOffJoinsAgain);
  CPPUNIT_TEST(MachineThatWasReplacedWhileDownJoinsAgain);
  CPPUNIT_TEST(MachineWhoseJoinWasTruncatedJoinsAgain);
  CPPUNIT_TEST(TwoLostDisksLoseNothingAfterAReplacementBesideACut);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a group that is left with one voter less for good, because a machine that came
  /// back never learned that it had lost its vote.
  void MachineThatWasReplacedWhileCutOffJoinsAgain() {
    // The leader itself is one of them.
    for (MemberId offset = 0; offset < kMachines; ++offset) {
      Group group(kReplaceSilentAfter);
      const MemberId leader = group.WaitForLeader();
      const MemberId away = group.Other(leader, offset);
      const MemberId replaced =
          group.Other(away) == leader ? group.Other(leader) : group.Other(away);
      ReplaceWhileAway(&group, away);
      group.Pause(replaced);
      group.Resume(away);
      group.RunFor(kCatchUpTime);
      CheckVoters(group, replaced, away);
    }
  }

  void MachineThatWasReplacedWhileDownJoinsAgain() {
    Group group(kReplaceSilentAfter);
    const MemberId leader = group.WaitForLeader();
    const MemberId away = group.Other(leader);
    const MemberId replaced = group.Other(leader, 2);
    ReplaceWhileAway(&group, away);
    group.Pause(replaced);
    group.Restart(away);
    group.RunFor(kCatchUpTime);
    CheckVoters(group, replaced, away);
  }

  /// Guards against a new machine that is never taken in because the leader that added it was
  /// deposed before the others had heard of it: its own log lists it, that of the group does not.
  void MachineWhoseJoinWasTruncatedJoinsAgain() {
    Group group(kReplaceSilentAfter);
    const MemberId leader = group.WaitForLeader();
    group.Split({leader, kSuccessor});
    group.Add(kSuccessor);
    group.RunFor(Seconds(1));
    CPPUNIT_ASSERT(group.at(kSuccessor).raft().IsMember(kSuccessor));
    CPPUNIT_ASSERT(group.Leader() != leader);
    CPPUNIT_ASSERT(!group.at(group.Leader()).raft().IsMember(kSuccessor));
    group.Split({});
    group.RunFor(kCatchUpTime);
    CPPUNIT_ASSERT(group.at(group.Leader()).raft().IsMember(kSuccessor));
    CPPUNIT_ASSERT_EQUAL(group.at(group.Leader()).raft().commit_index(),
                         group.at(kSuccessor).raft().commit_index());
  }

  /// What callers lose otherwise: the acknowledged configuration, and the group's leader.
  void TwoLostDisksLoseNothingAfterAReplacementBesideACut() {
    Group group(kReplaceSilentAfter);
    const MemberId leader = group.WaitForLeader();
    const MemberId away = group.Other(leader);
    const MemberId replaced = group.Other(leader, 2);
    ReplaceWhileAway(&group, away);
    group.Pause(replaced);
    group.Resume(away);
    group.RunFor(kCatchUpTime);
    constexpr TicketId kTicket = 1;
    constexpr uint64_t kVersion = 7;
    group.SubmitDocument(group.Leader(), kTicket, kVersion);
    CPPUNIT_ASSERT(group.WaitFor(kTicket).has_value());
    CPPUNIT_ASSERT_EQUAL(0, group.CodeOf(kTicket));
    const MemberId first_lost = group.Other(leader, 3);
    const MemberId second_lost = group.Other(leader, 4);
    group.RestartWithoutDisk(first_lost, first_lost + 100);
    group.RestartWithoutDisk(second_lost, second_lost + 100);
    for (const MemberId id : {leader, away, kSuccessor}) {
      group.Restart(id);
    }
    group.RunFor(kCatchUpTime);
    CPPUNIT_ASSERT(group.Leader() != 0);
    CPPUNIT_ASSERT_EQUAL(kVersion, group.at(group.Leader()).state().config().document().version);
  }

 private:
  static void CheckVoters(const Group& group, MemberId replaced, MemberId returned) {
    CPPUNIT_ASSERT(group.Leader() != 0);
    const std::set<MemberId> voters = group.Voters();
    CPPUNIT_ASSERT_EQUAL(static_cast<size_t>(kMachines), voters.size());
    CPPUNIT_ASSERT(!voters.contains(replaced));
    CPPUNIT_ASSERT(voters.contains(returned));
    CPPUNIT_ASSERT(voters.contains(kSuccessor));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReplacedReplicaTest);

}  // namespace pumicedyke::control
