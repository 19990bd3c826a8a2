// The replicated log of the control machines: Raft (Ongaro 2014) with pre-vote, a leader lease,
// leases checked again after a read, log truncation by snapshots, non-voting members,
// single-server membership change and leadership transfer.
//
// Has no clock, socket or thread. The owner passes the time in and takes messages and committed
// entries out. Durable state goes to LogStorage, and is synced before any message that depends on
// it is sent.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "common/types.h"
#include "consensus/restart_guard.h"
#include "storage/log_storage.h"
#include "wire/messages.h"

namespace pumicedyke::consensus {

struct RaftOptions {
  Duration heartbeat_interval = Milliseconds(50);
  /// Minimum time without a leader before a follower starts an election; the maximum is twice that.
  Duration election_timeout = Milliseconds(300);
  /// Duration of a lease as a fraction of the election timeout. Leaves room for clocks that differ
  /// in rate by up to 10%.
  double lease_fraction = 0.75;
  size_t max_entries_per_message = 256;
  size_t max_bytes_per_message = 1 << 20;
  /// False only in simulations that show what the check prevents.
  bool lease_check = true;
  /// False only in such simulations: a follower then accepts any message of a leader as a proof of
  /// being current, without the confirmation of a majority.
  bool proof_check = true;
};

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

struct Applied {
  uint64_t index = 0;
  uint64_t term = 0;
  std::string command;
};

/// A state machine image that replaces everything applied so far.
struct RestoredSnapshot {
  uint64_t index = 0;
  std::string state;
};

/// Results of the calls since the last TakeOutput(). The owner restores first, then applies.
struct RaftOutput {
  std::vector<wire::RaftMessage> messages;
  std::optional<RestoredSnapshot> restored;
  std::vector<Applied> applied;
};

class Raft {
 public:
  /// @param storage must already hold `recovered` and must outlive this object.
  Raft(MemberId self, RaftOptions options, storage::LogStorage* storage,
       storage::RecoveredState recovered, uint64_t seed, Timestamp now);

  void Tick(Timestamp now);
  void Receive(Timestamp now, const wire::RaftMessage& message);

  /// Appends a command. @return its log index, or kNotLeader.
  absl::StatusOr<uint64_t> Propose(Timestamp now, std::string command);
  /// Replaces the membership by one that differs in at most one member.
  /// @return kNotLeader, or kRevisionConflict while an earlier change is not committed.
  absl::StatusOr<uint64_t> ProposeMembers(Timestamp now, const std::vector<wire::Member>& members);
  /// Transfers leadership to the reachable voter with the longest log.
  void TransferLeadership(Timestamp now);

  /// Starts a linearizable read, which TakeCompletedReads() returns once it is ready. A read is
  /// dropped if the leader is lost, so the caller must retry.
  void RequestRead(Timestamp now, uint64_t ticket);
  struct CompletedRead {
    uint64_t ticket;
    /// The state machine must have applied this index before the read is answered.
    uint64_t index;
  };
  std::vector<CompletedRead> TakeCompletedReads();

  /// True while no other leader can have been elected; check again after a read, before replying.
  bool HasLease(Timestamp now) const;

  /// Returns the latest time, on this machine's clock, up to which this replica is proved current:
  /// every entry that could have been reported as committed by then is committed here. A majority
  /// proves it, not a leader's lease, so it holds regardless of message delays, partitions and
  /// paused processes. @return nullopt before the first proof.
  std::optional<Timestamp> ProvenCurrentAt(Timestamp now) const;

  /// Replaces the log up to `index` by `state`, the state machine's image at that index.
  absl::Status Compact(uint64_t index, std::string state);

  RaftOutput TakeOutput();

  /// Set once a write to the data folder has failed. The replica then ignores all calls and must be
  /// stopped.
  const absl::Status& failure() const { return failure_; }

  MemberId self() const { return self_; }
  Role role() const { return role_; }
  uint64_t term() const { return hard_state_.term; }
  MemberId leader() const { return leader_; }
  /// Returns when a message of a leader last arrived; unset: not since this replica started.
  std::optional<Timestamp> last_leader_contact() const { return last_leader_contact_; }
  uint64_t commit_index() const { return commit_index_; }
  uint64_t last_index() const;
  uint64_t snapshot_index() const { return snapshot_.index; }
  const std::vector<wire::Member>& members() const { return members_; }
  bool IsMember(MemberId id) const;
  bool IsVoter(MemberId id) const;
  bool MembersCommitted() const { return members_index_ <= commit_index_; }
  /// Leader: last index known to be synced at a member.
  uint64_t MatchIndex(MemberId id) const;
  /// Leader: whether the member has acknowledged a message that was sent at `since` or later.
  bool AcknowledgedSince(MemberId id, Timestamp since) const;
  /// Leader: whether the member has replied within the last election timeout.
  bool RecentlyContacted(MemberId id, Timestamp now) const;

 private:
  struct Progress {
    uint64_t match = 0;
    uint64_t next = 1;
    /// Send time of the newest append the member has acknowledged in this term.
    Timestamp acknowledged{};
    Timestamp last_contact{};
    /// An unacknowledged snapshot is not sent again before this.
    Timestamp snapshot_retry{};
    bool probing = true;
    /// The member's newest clock stamp (raft_proof.cc), and when it arrived.
    uint64_t stamp = 0;
    Timestamp stamp_received{};
  };
  /// Becomes a proof of being current up to `cutoff` once this replica has committed `commit`.
  struct PendingProof {
    Timestamp cutoff;
    uint64_t commit = 0;
  };
  struct PendingRead {
    MemberId origin;
    uint64_t ticket;
    uint64_t index;
    Timestamp started;
  };

  // Elections.
  void BecomeFollower(Timestamp now, uint64_t term, MemberId leader);
  void StartPreVote(Timestamp now);
  /// Why a replica starts an election. Sent with its request for votes.
  enum class ElectionCause : uint64_t {
    /// No message of a leader arrived for an election timeout.
    kLeaderTimeout = 0,
    /// The old leader has released its lease, so voters need not wait for the lease to expire.
    kTransfer = 1,
    /// The old leader has restarted and holds no lease, so voters that restarted need not wait.
    kLeaderRestarted = 2,
  };
  void StartElection(Timestamp now, ElectionCause cause);
  /// Starts an election if the pre-votes so far show that it can be won. @return true if started.
  bool StartElectionIfWinnable(Timestamp now);
  /// Returns the voters at the time the leader of this term was elected; empty if the log does not
  /// show it.
  std::set<MemberId> Electorate() const;
  /// Whether this replica has just started and has had no contact with a leader yet.
  bool IsStarting(Timestamp now) const;
  /// Whether this replica restarted so recently that a lease it acknowledged before may still be
  /// valid.
  bool MustGuardLeaseAfterRestart(Timestamp now) const;
  void BecomeLeader(Timestamp now);
  void HandleVoteRequest(Timestamp now, const wire::RaftMessage& message);
  void HandleVoteReply(Timestamp now, const wire::RaftMessage& message);
  bool LogIsUpToDate(const wire::RaftMessage& message) const;
  void SetElectionTimer(Timestamp now, Duration min_timeout);
  void ResetElectionTimer(Timestamp now);
  /// Sets the time of the next pre-vote of a replica that has no leader.
  void ResetPreVoteTimer(Timestamp now);
  bool IsQuorum(const std::set<MemberId>& granted) const;

  // Replication.
  void HandleAppend(Timestamp now, const wire::RaftMessage& message);
  void HandleAppendReply(Timestamp now, const wire::RaftMessage& message);
  void HandleSnapshot(Timestamp now, const wire::RaftMessage& message);
  void ReplicateTo(Timestamp now, MemberId id, bool heartbeat);
  void ReplicateToAll(Timestamp now, bool heartbeat);
  void SendSnapshot(Timestamp now, MemberId id, Progress* progress);
  absl::StatusOr<uint64_t> AppendAsLeader(Timestamp now, wire::EntryKind kind, std::string data);
  void AdvanceCommit(Timestamp now);
  void SetCommit(uint64_t index);
  void StepDownWithoutQuorum(Timestamp now);

  // Reads.
  void HandleReadIndex(Timestamp now, const wire::RaftMessage& message);
  void CompleteReads(Timestamp now);
  Timestamp LeaseStart(Timestamp now) const;

  // Proofs.
  /// Leader: the latest time at which a majority confirmed its leadership.
  std::optional<Timestamp> QuorumConfirmedAt(Timestamp now) const;
  void RecordStamp(Timestamp now, const wire::RaftMessage& reply, Progress* progress);
  void FillProof(Timestamp now, const Progress& progress, wire::RaftMessage* message) const;
  void ReceiveProof(Timestamp now, const wire::RaftMessage& message);
  void CompletePendingProof();
  uint64_t StampOf(Timestamp now) const;

  // The log.
  uint64_t FirstIndex() const { return snapshot_.index + 1; }
  std::optional<uint64_t> TermAt(uint64_t index) const;
  const wire::LogEntry& EntryAt(uint64_t index) const { return entries_[index - FirstIndex()]; }
  void TruncateFrom(uint64_t index);
  void RecomputeMembers();
  bool Persist(absl::Status status);
  bool SaveHardState();
  wire::RaftMessage MakeMessage(wire::RaftMessageType type, MemberId to) const;
  void Send(wire::RaftMessage message) { output_.messages.push_back(std::move(message)); }
  std::vector<MemberId> OtherMembers(bool voters_only) const;

  MemberId self_;
  RaftOptions options_;
  storage::LogStorage* storage_;
  std::mt19937_64 random_;

  wire::HardState hard_state_;
  wire::SnapshotData snapshot_;
  std::deque<wire::LogEntry> entries_;
  std::vector<wire::Member> members_;
  /// Log index that set `members_`.
  uint64_t members_index_ = 0;
  uint64_t commit_index_ = 0;

  Role role_ = Role::kFollower;
  MemberId leader_ = 0;
  Timestamp election_deadline_;
  Timestamp next_heartbeat_;
  Timestamp started_;
  /// Last contact by a leader. Votes are refused for an election timeout after it.
  std::optional<Timestamp> last_leader_contact_;
  std::set<MemberId> votes_;
  /// Pre-votes that were refused only because the voter has restarted.
  RestartedVotes restarted_votes_;
  std::map<MemberId, Progress> progress_;
  /// Random offset of this incarnation's clock stamps. An echoed stamp of an earlier incarnation is
  /// recognized because it lies far outside this incarnation's range.
  uint64_t stamp_base_;
  std::optional<Timestamp> proven_at_;
  std::optional<PendingProof> pending_proof_;
  std::vector<PendingRead> pending_reads_;
  std::vector<CompletedRead> ready_reads_;
  RaftOutput output_;
  absl::Status failure_;
};

/// Encodes the data of a membership entry.
std::string EncodeMembers(const std::vector<wire::Member>& members);
std::vector<wire::Member> DecodeMembers(const std::string& bytes);

}  // namespace pumicedyke::consensus
