#include "consensus/raft.h"

#include <algorithm>
#include <utility>

#include "common/result_code.h"
#include "wire/codec.h"

namespace pumicedyke::consensus {

using wire::EntryKind;
using wire::LogEntry;
using wire::Member;
using wire::RaftMessage;
using wire::RaftMessageType;

std::string EncodeMembers(const std::vector<Member>& members) {
  return wire::Encode(wire::StorageRecord(wire::SnapshotData{0, 0, members, {}}));
}

std::vector<Member> DecodeMembers(const std::string& bytes) {
  absl::StatusOr<wire::StorageRecord> record = wire::DecodeRecord(bytes);
  if (!record.ok() || !std::holds_alternative<wire::SnapshotData>(*record)) {
    return {};
  }
  return std::get<wire::SnapshotData>(*record).members;
}

Raft::Raft(MemberId self, RaftOptions options, storage::LogStorage* storage,
           storage::RecoveredState recovered, uint64_t seed, Timestamp now)
    : self_(self),
      options_(options),
      storage_(storage),
      random_(seed),
      hard_state_(recovered.hard_state),
      snapshot_(std::move(recovered.snapshot)),
      entries_(recovered.entries.begin(), recovered.entries.end()),
      next_heartbeat_(now),
      stamp_base_(0) {
  commit_index_ = snapshot_.index;
  RecomputeMembers();
  started_ = now;
  stamp_base_ = random_();
  ResetPreVoteTimer(now);
  if (snapshot_.index > 0 || !snapshot_.state.empty()) {
    output_.restored = RestoredSnapshot{snapshot_.index, snapshot_.state};
  }
}

uint64_t Raft::last_index() const {
  return entries_.empty() ? snapshot_.index : entries_.back().index;
}

std::optional<uint64_t> Raft::TermAt(uint64_t index) const {
  if (index == snapshot_.index) {
    return snapshot_.term;
  }
  if (index < snapshot_.index || index > last_index()) {
    return std::nullopt;
  }
  return EntryAt(index).term;
}

bool Raft::IsMember(MemberId id) const {
  return std::any_of(members_.begin(), members_.end(),
                     [id](const Member& member) { return member.id == id; });
}

bool Raft::IsVoter(MemberId id) const {
  return std::any_of(members_.begin(), members_.end(),
                     [id](const Member& member) { return member.id == id && member.voter; });
}

uint64_t Raft::MatchIndex(MemberId id) const {
  if (id == self_) {
    return last_index();
  }
  const auto it = progress_.find(id);
  return it == progress_.end() ? 0 : it->second.match;
}

bool Raft::RecentlyContacted(MemberId id, Timestamp now) const {
  if (id == self_) {
    return true;
  }
  const auto it = progress_.find(id);
  return it != progress_.end() && now - it->second.last_contact < options_.election_timeout;
}

bool Raft::AcknowledgedSince(MemberId id, Timestamp since) const {
  const auto it = progress_.find(id);
  return id == self_ || (it != progress_.end() && it->second.acknowledged >= since);
}

void Raft::RecomputeMembers() {
  members_ = snapshot_.members;
  members_index_ = snapshot_.index;
  for (const LogEntry& entry : entries_) {
    if (entry.kind == EntryKind::kMembership) {
      members_ = DecodeMembers(entry.data);
      members_index_ = entry.index;
    }
  }
}

void Raft::TruncateFrom(uint64_t index) {
  while (!entries_.empty() && entries_.back().index >= index) {
    entries_.pop_back();
  }
  if (members_index_ >= index) {
    RecomputeMembers();
  }
}

std::vector<MemberId> Raft::OtherMembers(bool voters_only) const {
  std::vector<MemberId> ids;
  for (const Member& member : members_) {
    if (member.id != self_ && (member.voter || !voters_only)) {
      ids.push_back(member.id);
    }
  }
  return ids;
}

bool Raft::Persist(absl::Status status) {
  if (failure_.ok() && !status.ok()) {
    failure_ = std::move(status);
  }
  return failure_.ok();
}

bool Raft::SaveHardState() {
  return Persist(storage_->SaveHardState(hard_state_)) && Persist(storage_->Sync());
}

RaftMessage Raft::MakeMessage(RaftMessageType type, MemberId to) const {
  RaftMessage message;
  message.type = type;
  message.from = self_;
  message.to = to;
  message.term = hard_state_.term;
  return message;
}

RaftOutput Raft::TakeOutput() {
  if (!failure_.ok()) {
    // Messages must not refer to state that was not synced.
    output_ = {};
  }
  return std::exchange(output_, {});
}

// ---- Time ---------------------------------------------------------------------------------------

void Raft::Tick(Timestamp now) {
  if (!failure_.ok()) {
    return;
  }
  if (role_ == Role::kLeader) {
    StepDownWithoutQuorum(now);
  }
  if (role_ == Role::kLeader) {
    if (now >= next_heartbeat_) {
      next_heartbeat_ = now + options_.heartbeat_interval;
      ReplicateToAll(now, true);
    }
    CompleteReads(now);
    return;
  }
  if (now >= election_deadline_ && IsVoter(self_)) {
    StartPreVote(now);
  }
}

void Raft::StepDownWithoutQuorum(Timestamp now) {
  std::set<MemberId> active_members = {self_};
  for (const auto& [id, progress] : progress_) {
    if (now - progress.last_contact < 2 * options_.election_timeout) {
      active_members.insert(id);
    }
  }
  const bool removed = !IsVoter(self_) && MembersCommitted();
  if (!IsQuorum(active_members) || removed) {
    BecomeFollower(now, hard_state_.term, 0);
  }
}

void Raft::Receive(Timestamp now, const RaftMessage& message) {
  if (!failure_.ok() || message.to != self_) {
    return;
  }
  const bool from_candidate =
      message.type == RaftMessageType::kPreVote || message.type == RaftMessageType::kVote;
  if (from_candidate) {
    HandleVoteRequest(now, message);
    return;
  }
  const bool vote_reply =
      message.type == RaftMessageType::kPreVoteReply || message.type == RaftMessageType::kVoteReply;
  if (vote_reply) {
    HandleVoteReply(now, message);
    return;
  }
  if (message.term < hard_state_.term) {
    if (message.type == RaftMessageType::kAppend || message.type == RaftMessageType::kSnapshot) {
      // Notifies a deposed leader of the newer term.
      RaftMessage reply = MakeMessage(RaftMessageType::kAppendReply, message.from);
      reply.reject = true;
      Send(std::move(reply));
    }
    return;
  }
  if (message.term > hard_state_.term) {
    BecomeFollower(now, message.term, 0);
  }
  switch (message.type) {
    case RaftMessageType::kAppend:
      HandleAppend(now, message);
      break;
    case RaftMessageType::kSnapshot:
      HandleSnapshot(now, message);
      break;
    case RaftMessageType::kAppendReply:
      HandleAppendReply(now, message);
      break;
    case RaftMessageType::kTimeoutNow:
      if (IsVoter(self_)) {
        StartElection(now, ElectionCause::kTransfer);
      }
      break;
    case RaftMessageType::kReadIndex:
      HandleReadIndex(now, message);
      break;
    case RaftMessageType::kReadIndexReply:
      ready_reads_.push_back({message.context, message.log_index});
      break;
    default:
      break;
  }
}

// ---- Reads --------------------------------------------------------------------------------------

Timestamp Raft::LeaseStart(Timestamp now) const {
  std::vector<Timestamp> times;
  for (const Member& member : members_) {
    if (!member.voter) {
      continue;
    }
    const auto it = progress_.find(member.id);
    const Timestamp acknowledged = it == progress_.end() ? Timestamp{} : it->second.acknowledged;
    times.push_back(member.id == self_ ? now : acknowledged);
  }
  if (times.empty()) {
    return Timestamp{};
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[times.size() / 2];
}

bool Raft::HasLease(Timestamp now) const {
  if (role_ != Role::kLeader) {
    return false;
  }
  if (!options_.lease_check) {
    return true;
  }
  // The lease starts when the acknowledged message was sent; its receivers refuse to vote for an
  // election timeout from its arrival, which is later. A leader serves reads only after it has
  // committed an entry of its own term.
  const auto length =
      std::chrono::duration_cast<Duration>(options_.election_timeout * options_.lease_fraction);
  return TermAt(commit_index_) == hard_state_.term && now < LeaseStart(now) + length;
}

void Raft::RequestRead(Timestamp now, uint64_t ticket) {
  if (role_ == Role::kLeader) {
    pending_reads_.push_back({self_, ticket, commit_index_, now});
    CompleteReads(now);
  } else if (leader_ != 0) {
    RaftMessage message = MakeMessage(RaftMessageType::kReadIndex, leader_);
    message.context = ticket;
    Send(std::move(message));
  }
}

void Raft::HandleReadIndex(Timestamp now, const RaftMessage& message) {
  if (role_ == Role::kLeader) {
    pending_reads_.push_back({message.from, message.context, commit_index_, now});
    CompleteReads(now);
  }
}

void Raft::CompleteReads(Timestamp now) {
  if (pending_reads_.empty() || TermAt(commit_index_) != hard_state_.term) {
    return;
  }
  const Timestamp confirmed = LeaseStart(now);
  const bool lease = HasLease(now);
  std::vector<PendingRead> still_pending;
  for (const PendingRead& read : pending_reads_) {
    // Either the lease is valid now, or a quorum has acknowledged a message sent after the read
    // began. Both prove that no newer leader had committed anything by then.
    const bool proven = lease || confirmed >= read.started;
    const uint64_t index = std::max(read.index, snapshot_.index);
    if (!proven) {
      if (now - read.started < 4 * options_.election_timeout) {
        still_pending.push_back(read);
      }
    } else if (read.origin == self_) {
      ready_reads_.push_back({read.ticket, commit_index_});
    } else {
      RaftMessage reply = MakeMessage(RaftMessageType::kReadIndexReply, read.origin);
      reply.context = read.ticket;
      reply.log_index = std::max(index, commit_index_);
      Send(std::move(reply));
    }
  }
  pending_reads_ = std::move(still_pending);
}

std::vector<Raft::CompletedRead> Raft::TakeCompletedReads() {
  return std::exchange(ready_reads_, {});
}

}  // namespace pumicedyke::consensus
