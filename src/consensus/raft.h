// The replicated log of the control machines: Raft (Ongaro 2014) with pre-vote, a leader lease,
// leases checked again after a read, log truncation by snapshots, non-voting members,
// single-server membership change and leadership transfer.
//
// No clock, socket or thread: the owner passes the time in and takes messages and committed
// entries out. Durable state goes to LogStorage; nothing is sent that is not synced first.
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
  /// Shortest time without a leader before a follower stands for election; the longest is twice it.
  Duration election_timeout = Milliseconds(300);
  /// Part of the election timeout a lease lasts: clocks may differ in rate by up to 10%.
  double lease_fraction = 0.75;
  size_t max_entries_per_message = 256;
  size_t max_bytes_per_message = 1 << 20;
  /// Off only in simulations that show what the check is for.
  bool lease_check = true;
  /// As above: off, a follower takes a leader's word for a majority's.
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

/// What one call made the replica do. Taken with TakeOutput(); order matters: restore, then apply.
struct RaftOutput {
  std::vector<wire::RaftMessage> messages;
  std::optional<RestoredSnapshot> restored;
  std::vector<Applied> applied;
};

class Raft {
 public:
  /// @param storage must already hold `recovered`; outlives this object.
  Raft(MemberId self, RaftOptions options, storage::LogStorage* storage,
       storage::RecoveredState recovered, uint64_t seed, Timestamp now);

  void Tick(Timestamp now);
  void Receive(Timestamp now, const wire::RaftMessage& message);

  /// Appends a command. @return its index, or kNotLeader.
  absl::StatusOr<uint64_t> Propose(Timestamp now, std::string command);
  /// Replaces the membership by one that differs in one member at most.
  /// @return kNotLeader, or kRevisionConflict while an earlier change is not committed.
  absl::StatusOr<uint64_t> ProposeMembers(Timestamp now, const std::vector<wire::Member>& members);
  /// Asks the most caught-up voter to take over.
  void TransferLeadership(Timestamp now);

  /// Starts a linearizable read. The answer comes by TakeReads(); nothing comes if the leader is
  /// lost, so the caller repeats it.
  void RequestRead(Timestamp now, uint64_t ticket);
  struct ReadReady {
    uint64_t ticket;
    /// The state machine must have applied this index before the read is answered.
    uint64_t index;
  };
  std::vector<ReadReady> TakeReads();

  /// True while no other leader can have been elected; check again after a read, before replying.
  bool HasLease(Timestamp now) const;

  /// Everything that anybody can have been told is committed by then is committed here, on this
  /// machine's clock. Proved by a majority, not by a leader's lease: it holds however long messages
  /// were under way, whoever was cut off or stood still. @return nothing before the first proof.
  std::optional<Timestamp> ProvenAt(Timestamp now) const;

  /// Replaces the log up to `index` by the state machine's image at that index.
  absl::Status Compact(uint64_t index, std::string state);

  RaftOutput TakeOutput();

  /// Set once a write to the data folder failed: the replica does nothing any more and must stop.
  const absl::Status& failure() const { return failure_; }

  MemberId self() const { return self_; }
  Role role() const { return role_; }
  uint64_t term() const { return hard_state_.term; }
  MemberId leader() const { return leader_; }
  uint64_t commit_index() const { return commit_index_; }
  uint64_t last_index() const;
  uint64_t snapshot_index() const { return snapshot_.index; }
  const std::vector<wire::Member>& members() const { return members_; }
  bool IsMember(MemberId id) const;
  bool IsVoter(MemberId id) const;
  bool MembersCommitted() const { return members_index_ <= commit_index_; }
  /// Last index known to be synced at a member; only a leader knows.
  uint64_t MatchIndex(MemberId id) const;
  /// Leader: whether the member has answered a message that was sent at `since` or later.
  bool HeardSince(MemberId id, Timestamp since) const;
  /// Leader: whether the member has answered within an election timeout.
  bool RecentlyHeard(MemberId id, Timestamp now) const;

 private:
  struct Progress {
    uint64_t match = 0;
    uint64_t next = 1;
    /// Send time of the newest append the member has acknowledged in this term.
    Timestamp acknowledged{};
    Timestamp last_heard{};
    /// An unacknowledged snapshot is not sent again before this.
    Timestamp snapshot_retry{};
    bool probing = true;
    /// The member's newest mark (raft_proof.cc), and when it came.
    uint64_t stamp = 0;
    Timestamp stamped{};
  };
  /// Becomes a proof once this replica has committed all that the leader had then.
  struct PendingProof {
    Timestamp moment;
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
  /// Why a replica stands for election; goes with its request for votes.
  enum class ElectionCause : uint64_t {
    /// No leader was heard for an election timeout.
    kSilence = 0,
    /// The old leader has given its lease up: voters need not wait it out.
    kTransfer = 1,
    /// The old leader has restarted: voters that restarted need not wait its lease out.
    kLeaderRestarted = 2,
  };
  void StartElection(Timestamp now, ElectionCause cause);
  /// Stands for election if the pre-votes so far promise that it can be won. @return whether.
  bool StandIfPromised(Timestamp now);
  /// The voters when the leader of this term was elected; empty if the log does not tell.
  std::set<MemberId> Electorate() const;
  /// Just started, and no leader was heard yet.
  bool Starting(Timestamp now) const;
  /// Restarted so recently that a lease which this replica helped may still last.
  bool RestartGuards(Timestamp now) const;
  void BecomeLeader(Timestamp now);
  void HandleVoteRequest(Timestamp now, const wire::RaftMessage& message);
  void HandleVoteReply(Timestamp now, const wire::RaftMessage& message);
  bool LogIsAsRecent(const wire::RaftMessage& message) const;
  void SetElectionTimer(Timestamp now, Duration shortest);
  void ResetElectionTimer(Timestamp now);
  /// Until the next pre-vote of a replica that hears no leader.
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
  void AnswerReads(Timestamp now);
  Timestamp LeaseStart(Timestamp now) const;

  // Proofs.
  /// Leader: when it was last known to lead by word of a majority.
  std::optional<Timestamp> Confirmed(Timestamp now) const;
  void NoteStamp(Timestamp now, const wire::RaftMessage& reply, Progress* progress);
  void FillProof(Timestamp now, const Progress& progress, wire::RaftMessage* message) const;
  void TakeProof(Timestamp now, const wire::RaftMessage& message);
  void SettleProof();
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
  /// Last time a leader was heard; votes are refused for an election timeout after it.
  std::optional<Timestamp> leader_heard_;
  std::set<MemberId> votes_;
  /// Pre-votes: those that would vote but for their own restart.
  RestartedVotes restarted_;
  std::map<MemberId, Progress> progress_;
  /// Marks of this life of the process begin at a random number: an echo of one of an earlier life
  /// is known by its place far off.
  uint64_t stamp_base_;
  std::optional<Timestamp> proven_at_;
  std::optional<PendingProof> pending_proof_;
  std::vector<PendingRead> pending_reads_;
  std::vector<ReadReady> ready_reads_;
  RaftOutput output_;
  absl::Status failure_;
};

/// Encoding of a membership entry.
std::string EncodeMembers(const std::vector<wire::Member>& members);
std::vector<wire::Member> DecodeMembers(const std::string& bytes);

}  // namespace pumicedyke::consensus
