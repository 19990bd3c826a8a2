// Tests of the replicated log: three replicas in one process on simulated disks.
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

/// Replicas 1 to 3 and a network that delivers at once, except from and to isolated replicas.
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
        if (isolated_.contains(message.to)) {
          entries_to_isolated_ += message.entries.size();
        }
        const bool delivered = replicas_.contains(message.to) &&
                               !isolated_.contains(message.from) &&
                               !isolated_.contains(message.to) && !mute_.contains(message.from);
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
      if (replica.raft->role() == Role::kLeader && !isolated_.contains(id)) {
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
  void Isolate(MemberId id) { isolated_.insert(id); }
  void Heal() { isolated_.clear(); }
  /// Drops all messages from the replica; it still receives those of the others.
  void Mute(MemberId id) { mute_.insert(id); }
  /// Holds back all messages to the replica until Release().
  void HoldFor(MemberId id) { held_for_ = id; }
  void Release() {
    held_for_ = 0;
    for (const wire::RaftMessage& message : std::exchange(held_, {})) {
      at(message.to).Receive(now_, message);
    }
  }
  const std::vector<wire::RaftMessage>& held() const { return held_; }
  /// Number of log entries that were sent to isolated members.
  size_t entries_to_isolated() const { return entries_to_isolated_; }
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
  std::set<MemberId> isolated_;
  std::set<MemberId> mute_;
  MemberId held_for_ = 0;
  std::vector<wire::RaftMessage> held_;
  size_t entries_to_isolated_ = 0;
  Timestamp now_{Seconds(100)};
};

bool Proves(Group& group, MemberId id, Timestamp cutoff) {
  const std::optional<Timestamp> proven = group.at(id).ProvenCurrentAt(group.now());
  return proven.has_value() && *proven > cutoff;
}

}  // namespace

class RaftTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RaftTest);
  CPPUNIT_TEST(CommandsReachEveryReplicaInOrder);
  CPPUNIT_TEST(IsolatedLeaderLosesItsLeaseBeforeAnotherLeads);
  CPPUNIT_TEST(TransferNeedsNoElectionTimeout);
  CPPUNIT_TEST(LaggingReplicaGetsASnapshot);
  CPPUNIT_TEST(RestartKeepsCommittedEntries);
  CPPUNIT_TEST(MembershipChangesOneByOne);
  CPPUNIT_TEST(UnresponsiveMemberIsNotSentEntriesRepeatedly);
  CPPUNIT_TEST(RestartedMajorityWithItsLeaderElectsAtOnce);
  CPPUNIT_TEST(RestartedMajorityWithoutTheLeaderWaitsForItsLease);
  CPPUNIT_TEST(EveryReplicaContinuouslyProvesThatItIsCurrent);
  CPPUNIT_TEST(FollowerOfALeaderWithoutQuorumProvesNothing);
  CPPUNIT_TEST(DelayedMessageProvesOnlyTheTimeOfItsStamp);
  CPPUNIT_TEST(LaggingReplicaProvesNothingUntilItHasCaughtUp);
  CPPUNIT_TEST(EchoOfAnEarlierIncarnationProvesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryReplicaContinuouslyProvesThatItIsCurrent() {
    Group group;
    group.Propose("a");
    for (int i = 0; i < 100; ++i) {
      group.RunFor(kStep);
      for (MemberId id = 1; id <= 3; ++id) {
        CPPUNIT_ASSERT(group.at(id).ProvenCurrentAt(group.now()).has_value());
        const Duration age = group.now() - *group.at(id).ProvenCurrentAt(group.now());
        CPPUNIT_ASSERT(age <= 3 * RaftOptions{}.heartbeat_interval);
      }
    }
  }

  /// Another replica may lead by then, so messages of the leader alone prove nothing.
  void FollowerOfALeaderWithoutQuorumProvesNothing() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    group.Propose("a");
    const Timestamp cutoff = group.now();
    group.Mute(group.Other(leader));
    group.Mute(group.Other(group.Other(leader)));
    for (int i = 0; i < 50; ++i) {
      group.RunFor(kStep);
      for (MemberId id = 1; id <= 3; ++id) {
        CPPUNIT_ASSERT(!Proves(group, id, cutoff));
      }
    }
    CPPUNIT_ASSERT_EQUAL(leader, group.at(group.Other(leader)).leader());
  }

  /// Same as for a replica that was paused while the others went on.
  void DelayedMessageProvesOnlyTheTimeOfItsStamp() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    const MemberId delayed = group.Other(leader);
    group.Propose("a");
    const Timestamp cutoff = group.now();
    group.HoldFor(delayed);
    group.RunFor(Milliseconds(250));
    group.Release();
    CPPUNIT_ASSERT(group.at(delayed).ProvenCurrentAt(group.now()).has_value());
    CPPUNIT_ASSERT(!Proves(group, delayed, cutoff));
  }

  void LaggingReplicaProvesNothingUntilItHasCaughtUp() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    const MemberId behind = group.Other(leader);
    group.Propose("a");
    group.Isolate(behind);
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

  /// The machine has restarted, and with it its clock.
  void EchoOfAnEarlierIncarnationProvesNothing() {
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
    CPPUNIT_ASSERT(!group.at(restarted).ProvenCurrentAt(group.now()).has_value());
    group.RunFor(Milliseconds(200));
    CPPUNIT_ASSERT(group.at(restarted).ProvenCurrentAt(group.now()).has_value());
  }

  /// No replica can hold the old lease any more, so the election need not wait for an election
  /// timeout.
  void RestartedMajorityWithItsLeaderElectsAtOnce() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    const MemberId other = group.Other(leader);
    group.Propose("a");
    group.Isolate(group.Other(other));
    group.Start(leader);
    group.Start(other);
    const Timestamp start = group.now();
    group.WaitForLeader();
    CPPUNIT_ASSERT(group.now() - start < RaftOptions{}.election_timeout);
  }

  /// The other replicas restarted, the isolated leader did not: it may still rely on its lease.
  void RestartedMajorityWithoutTheLeaderWaitsForItsLease() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    group.Propose("a");
    const Timestamp start = group.now();
    group.Isolate(leader);
    group.Start(group.Other(leader));
    // Not at the same time: a split vote would hide an election that is too early.
    group.RunFor(2 * kStep);
    group.Start(group.Other(group.Other(leader)));
    while (group.at(leader).HasLease(group.now())) {
      CPPUNIT_ASSERT_EQUAL(MemberId{0}, group.Leader());
      group.RunFor(kStep);
    }
    CPPUNIT_ASSERT(group.now() - start >= Milliseconds(100));
    CPPUNIT_ASSERT(group.WaitForLeader() != leader);
  }

  /// A new leader that has had no contact with an isolated member must not send entries to it over
  /// and over: they would all arrive at once when the partition heals.
  void UnresponsiveMemberIsNotSentEntriesRepeatedly() {
    Group group;
    const MemberId old_leader = group.WaitForLeader();
    group.Propose("a");
    group.Isolate(old_leader);
    group.RunFor(Seconds(1));
    group.WaitForLeader();
    constexpr int kCommands = 20;
    for (int i = 0; i < kCommands; ++i) {
      group.Propose("b");
    }
    group.RunFor(Seconds(2));
    CPPUNIT_ASSERT(group.entries_to_isolated() <= kCommands + 2);
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

  void IsolatedLeaderLosesItsLeaseBeforeAnotherLeads() {
    Group group;
    const MemberId old_leader = group.WaitForLeader();
    group.RunFor(Milliseconds(200));
    CPPUNIT_ASSERT(group.at(old_leader).HasLease(group.now()));
    group.Isolate(old_leader);
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
    group.Isolate(behind);
    group.Propose("a");
    CPPUNIT_ASSERT(group.at(leader).Compact(group.at(leader).commit_index(), "image").ok());
    group.Heal();
    group.RunFor(Seconds(2));
    CPPUNIT_ASSERT(group.applied(behind) == (std::vector<std::string>{"image"}));
    group.Propose("b");
    CPPUNIT_ASSERT(group.applied(behind) == (std::vector<std::string>{"image", "b"}));
  }

  void RestartKeepsCommittedEntries() {
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
