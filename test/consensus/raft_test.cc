// The replicated log, three replicas in one process on simulated disks.
#include "consensus/raft.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sim/sim_file_system.h"

namespace pumicedyke::consensus {
namespace {

constexpr Duration kStep = Milliseconds(10);

/// Replicas 1 to 3 and a network that delivers at once, except from and to cut-off ones.
class Group {
 public:
  Group() {
    for (MemberId id = 1; id <= 3; ++id) {
      wire::SnapshotData initial;
      for (MemberId member = 1; member <= 3; ++member) {
        initial.members.push_back({member, "m" + std::to_string(member), "", /*voter=*/true});
      }
      Replica& replica = replicas_[id];
      replica.files = std::make_unique<sim::SimFileSystem>(id);
      replica.storage =
          std::make_unique<storage::LogStorage>(replica.files.get(), storage::LogStorageOptions{});
      CPPUNIT_ASSERT(replica.storage->Format({id, "test", ""}, initial).ok());
      Start(id);
    }
  }

  void Start(MemberId id) { Start(id, id * 7, now_); }
  void Start(MemberId id, uint64_t seed, Timestamp started) {
    Replica& replica = replicas_[id];
    replica.applied.clear();
    replica.storage =
        std::make_unique<storage::LogStorage>(replica.files.get(), storage::LogStorageOptions{});
    replica.raft = std::make_unique<Raft>(id, RaftOptions{}, replica.storage.get(),
                                          *replica.storage->Recover(), seed, started);
  }

  void RunFor(Duration time) {
    for (const Timestamp end = now_ + time; now_ < end; now_ += kStep) {
      for (auto& [id, replica] : replicas_) {
        replica.raft->Tick(now_);
      }
      Deliver();
    }
  }

  void Deliver() {
    for (bool moved = true; moved;) {
      moved = false;
      std::deque<wire::RaftMessage> messages;
      for (auto& [id, replica] : replicas_) {
        RaftOutput output = replica.raft->TakeOutput();
        if (output.restored.has_value()) {
          replica.applied = {output.restored->state};
        }
        for (const Applied& applied : output.applied) {
          replica.applied.push_back(applied.command);
        }
        messages.insert(messages.end(), output.messages.begin(), output.messages.end());
      }
      for (const wire::RaftMessage& message : messages) {
        moved = true;
        if (cut_.contains(message.to)) {
          entries_into_the_cut_ += message.entries.size();
        }
        const bool delivered = replicas_.contains(message.to) && !cut_.contains(message.from) &&
                               !cut_.contains(message.to) && !mute_.contains(message.from);
        if (delivered && held_for_ == message.to) {
          held_.push_back(message);
        } else if (delivered) {
          replicas_.at(message.to).raft->Receive(now_, message);
        }
      }
    }
  }

  MemberId Leader() const {
    for (const auto& [id, replica] : replicas_) {
      if (replica.raft->role() == Role::kLeader && !cut_.contains(id)) {
        return id;
      }
    }
    return 0;
  }
  MemberId WaitForLeader() {
    for (int i = 0; i < 500 && Leader() == 0; ++i) {
      RunFor(kStep);
    }
    CPPUNIT_ASSERT(Leader() != 0);
    return Leader();
  }
  void Propose(const std::string& command) {
    CPPUNIT_ASSERT(at(WaitForLeader()).Propose(now_, command).ok());
    Deliver();
    RunFor(Milliseconds(100));
  }

  Raft& at(MemberId id) { return *replicas_.at(id).raft; }
  std::vector<std::string> applied(MemberId id) { return replicas_.at(id).applied; }
  void Cut(MemberId id) { cut_.insert(id); }
  void Heal() { cut_.clear(); }
  /// Nothing that it says arrives; it hears the others.
  void Mute(MemberId id) { mute_.insert(id); }
  /// What is sent to it stays under way until Release().
  void HoldFor(MemberId id) { held_for_ = id; }
  void Release() {
    held_for_ = 0;
    for (const wire::RaftMessage& message : std::exchange(held_, {})) {
      at(message.to).Receive(now_, message);
    }
  }
  const std::vector<wire::RaftMessage>& held() const { return held_; }
  /// Log entries that were sent to members behind a cut.
  size_t entries_into_the_cut() const { return entries_into_the_cut_; }
  Timestamp now() const { return now_; }
  MemberId Other(MemberId id) const { return id % 3 + 1; }

 private:
  struct Replica {
    std::unique_ptr<sim::SimFileSystem> files;
    std::unique_ptr<storage::LogStorage> storage;
    std::unique_ptr<Raft> raft;
    std::vector<std::string> applied;
  };
  std::map<MemberId, Replica> replicas_;
  std::set<MemberId> cut_;
  std::set<MemberId> mute_;
  MemberId held_for_ = 0;
  std::vector<wire::RaftMessage> held_;
  size_t entries_into_the_cut_ = 0;
  Timestamp now_{Seconds(100)};
};

bool Proves(Group& group, MemberId id, Timestamp moment) {
  const std::optional<Timestamp> proven = group.at(id).ProvenAt(group.now());
  return proven.has_value() && *proven > moment;
}

}  // namespace

class RaftTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RaftTest);
  CPPUNIT_TEST(CommandsReachEveryReplicaInOrder);
  CPPUNIT_TEST(CutOffLeaderLosesItsLeaseBeforeAnotherLeads);
  CPPUNIT_TEST(TransferNeedsNoElectionTimeout);
  CPPUNIT_TEST(LaggingReplicaGetsASnapshot);
  CPPUNIT_TEST(RestartKeepsWhatWasCommitted);
  CPPUNIT_TEST(MembershipChangesOneByOne);
  CPPUNIT_TEST(SilentMemberIsSentNoEntriesAgainAndAgain);
  CPPUNIT_TEST(RestartedMajorityWithItsLeaderElectsAtOnce);
  CPPUNIT_TEST(RestartedMajorityWithoutTheLeaderWaitsItsLeaseOut);
  CPPUNIT_TEST(EveryReplicaProvesThatItIsCurrentAllTheTime);
  CPPUNIT_TEST(FollowerOfALeaderThatHearsNobodyProvesNothing);
  CPPUNIT_TEST(WordThatWasLongUnderWayProvesOnlyWhenItWasAskedFor);
  CPPUNIT_TEST(ReplicaThatIsBehindProvesNothingUntilItHasCaughtUp);
  CPPUNIT_TEST(EchoOfAnEarlierLifeProvesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryReplicaProvesThatItIsCurrentAllTheTime() {
    Group group;
    group.Propose("a");
    for (int i = 0; i < 100; ++i) {
      group.RunFor(kStep);
      for (MemberId id = 1; id <= 3; ++id) {
        CPPUNIT_ASSERT(group.at(id).ProvenAt(group.now()).has_value());
        const Duration age = group.now() - *group.at(id).ProvenAt(group.now());
        CPPUNIT_ASSERT(age <= 3 * RaftOptions{}.heartbeat_interval);
      }
    }
  }

  /// Others may lead by now: the leader's word alone says nothing.
  void FollowerOfALeaderThatHearsNobodyProvesNothing() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    group.Propose("a");
    const Timestamp silent = group.now();
    group.Mute(group.Other(leader));
    group.Mute(group.Other(group.Other(leader)));
    for (int i = 0; i < 50; ++i) {
      group.RunFor(kStep);
      for (MemberId id = 1; id <= 3; ++id) {
        CPPUNIT_ASSERT(!Proves(group, id, silent));
      }
    }
    CPPUNIT_ASSERT_EQUAL(leader, group.at(group.Other(leader)).leader());
  }

  /// As for a replica that stood still while the others went on.
  void WordThatWasLongUnderWayProvesOnlyWhenItWasAskedFor() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    const MemberId late = group.Other(leader);
    group.Propose("a");
    const Timestamp held = group.now();
    group.HoldFor(late);
    group.RunFor(Milliseconds(250));
    group.Release();
    CPPUNIT_ASSERT(group.at(late).ProvenAt(group.now()).has_value());
    CPPUNIT_ASSERT(!Proves(group, late, held));
  }

  void ReplicaThatIsBehindProvesNothingUntilItHasCaughtUp() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    const MemberId behind = group.Other(leader);
    group.Propose("a");
    group.Cut(behind);
    constexpr size_t kChanges = 600;
    static_assert(kChanges > 2 * RaftOptions{}.max_entries_per_message);
    for (size_t i = 0; i < kChanges; ++i) {
      CPPUNIT_ASSERT(group.at(leader).Propose(group.now(), "b").ok());
    }
    group.RunFor(kStep);
    const uint64_t committed = group.at(leader).commit_index();
    const Timestamp acknowledged = group.now();
    group.Heal();
    size_t steps_behind = 0;
    for (int i = 0; i < 100; ++i) {
      group.HoldFor(behind);
      group.RunFor(kStep);
      group.Release();
      const bool has_all = group.at(behind).commit_index() >= committed;
      steps_behind += has_all ? 0 : 1;
      CPPUNIT_ASSERT(has_all || !Proves(group, behind, acknowledged));
    }
    CPPUNIT_ASSERT(steps_behind > 1);
    CPPUNIT_ASSERT(Proves(group, behind, acknowledged));
  }

  /// The machine was started again, and with it its clock.
  void EchoOfAnEarlierLifeProvesNothing() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    const MemberId restarted = group.Other(leader);
    group.Propose("a");
    group.HoldFor(restarted);
    group.RunFor(Milliseconds(200));
    CPPUNIT_ASSERT(!group.held().empty());
    for (const wire::RaftMessage& message : group.held()) {
      CPPUNIT_ASSERT(message.stamp != 0);
    }
    group.Start(restarted, /*seed=*/77, group.now() - Seconds(5));
    group.Release();
    CPPUNIT_ASSERT(!group.at(restarted).ProvenAt(group.now()).has_value());
    group.RunFor(Milliseconds(200));
    CPPUNIT_ASSERT(group.at(restarted).ProvenAt(group.now()).has_value());
  }

  /// Well before an election timeout is over: nobody can hold the old lease any more.
  void RestartedMajorityWithItsLeaderElectsAtOnce() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    const MemberId other = group.Other(leader);
    group.Propose("a");
    group.Cut(group.Other(other));
    group.Start(leader);
    group.Start(other);
    const Timestamp start = group.now();
    group.WaitForLeader();
    CPPUNIT_ASSERT(group.now() - start < RaftOptions{}.election_timeout);
  }

  /// The others restarted, the leader did not: behind a cut it may still rely on its lease.
  void RestartedMajorityWithoutTheLeaderWaitsItsLeaseOut() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    group.Propose("a");
    const Timestamp start = group.now();
    group.Cut(leader);
    group.Start(group.Other(leader));
    // Not at the same moment: votes that they split would hide an election that is too early.
    group.RunFor(2 * kStep);
    group.Start(group.Other(group.Other(leader)));
    while (group.at(leader).HasLease(group.now())) {
      CPPUNIT_ASSERT_EQUAL(MemberId{0}, group.Leader());
      group.RunFor(kStep);
    }
    CPPUNIT_ASSERT(group.now() - start >= Milliseconds(100));
    CPPUNIT_ASSERT(group.WaitForLeader() != leader);
  }

  /// A new leader that has never heard of a member behind a cut must not fill the connection to it:
  /// what piles up there comes all at once when the cut heals.
  void SilentMemberIsSentNoEntriesAgainAndAgain() {
    Group group;
    const MemberId old_leader = group.WaitForLeader();
    group.Propose("a");
    group.Cut(old_leader);
    group.RunFor(Seconds(1));
    group.WaitForLeader();
    constexpr int kCommands = 20;
    for (int i = 0; i < kCommands; ++i) {
      group.Propose("b");
    }
    group.RunFor(Seconds(2));
    CPPUNIT_ASSERT(group.entries_into_the_cut() <= kCommands + 2);
    group.Heal();
    group.RunFor(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(size_t{kCommands + 1}, group.applied(old_leader).size());
  }

  void CommandsReachEveryReplicaInOrder() {
    Group group;
    group.Propose("a");
    group.Propose("b");
    for (MemberId id = 1; id <= 3; ++id) {
      CPPUNIT_ASSERT(group.applied(id) == (std::vector<std::string>{"a", "b"}));
    }
  }

  void CutOffLeaderLosesItsLeaseBeforeAnotherLeads() {
    Group group;
    const MemberId old_leader = group.WaitForLeader();
    group.RunFor(Milliseconds(200));
    CPPUNIT_ASSERT(group.at(old_leader).HasLease(group.now()));
    group.Cut(old_leader);
    while (group.Leader() == 0) {
      group.RunFor(kStep);
    }
    CPPUNIT_ASSERT(!group.at(old_leader).HasLease(group.now()));
    group.Heal();
    group.RunFor(Milliseconds(500));
    CPPUNIT_ASSERT(group.at(old_leader).role() == Role::kFollower);
  }

  void TransferNeedsNoElectionTimeout() {
    Group group;
    const MemberId old_leader = group.WaitForLeader();
    group.RunFor(Milliseconds(200));
    group.at(old_leader).TransferLeadership(group.now());
    group.Deliver();
    CPPUNIT_ASSERT(group.Leader() != 0 && group.Leader() != old_leader);
  }

  void LaggingReplicaGetsASnapshot() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    const MemberId behind = group.Other(leader);
    group.Cut(behind);
    group.Propose("a");
    CPPUNIT_ASSERT(group.at(leader).Compact(group.at(leader).commit_index(), "image").ok());
    group.Heal();
    group.RunFor(Seconds(2));
    CPPUNIT_ASSERT(group.applied(behind) == (std::vector<std::string>{"image"}));
    group.Propose("b");
    CPPUNIT_ASSERT(group.applied(behind) == (std::vector<std::string>{"image", "b"}));
  }

  void RestartKeepsWhatWasCommitted() {
    Group group;
    group.Propose("a");
    for (MemberId id = 1; id <= 3; ++id) {
      group.Start(id);
    }
    group.Propose("b");
    CPPUNIT_ASSERT(group.applied(1) == (std::vector<std::string>{"a", "b"}));
  }

  void MembershipChangesOneByOne() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    group.RunFor(Milliseconds(200));
    std::vector<wire::Member> members = group.at(leader).members();
    members.push_back({4, "m4", "", /*voter=*/false});
    CPPUNIT_ASSERT(group.at(leader).ProposeMembers(group.now(), members).ok());
    // The first change is not committed yet.
    CPPUNIT_ASSERT(!group.at(leader).ProposeMembers(group.now(), {members[0]}).ok());
    group.Deliver();
    CPPUNIT_ASSERT(group.at(leader).MembersCommitted());
    CPPUNIT_ASSERT(group.at(leader).IsMember(4));
    CPPUNIT_ASSERT(!group.at(leader).IsVoter(4));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RaftTest);

}  // namespace pumicedyke::consensus
