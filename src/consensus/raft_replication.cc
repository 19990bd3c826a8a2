// Raft: log replication, commits and snapshots.
#include <algorithm>
#include <utility>

#include "common/result_code.h"
#include "consensus/raft.h"

namespace pumicedyke::consensus {

using wire::EntryKind;
using wire::LogEntry;
using wire::Member;
using wire::RaftMessage;
using wire::RaftMessageType;

absl::StatusOr<uint64_t> Raft::AppendAsLeader(Timestamp now, EntryKind kind, std::string data) {
  LogEntry entry{last_index() + 1, hard_state_.term, kind, std::move(data)};
  const uint64_t index = entry.index;
  if (!Persist(storage_->Append({entry})) || !Persist(storage_->Sync())) {
    return failure_;
  }
  if (kind == EntryKind::kMembership) {
    members_ = DecodeMembers(entry.data);
    members_index_ = index;
    for (MemberId id : OtherMembers(false)) {
      auto [it, inserted] = progress_.try_emplace(id);
      if (inserted) {
        it->second.next = last_index() + 1;
        it->second.last_contact = now;
      }
    }
  }
  entries_.push_back(std::move(entry));
  ReplicateToAll(now, false);
  AdvanceCommit(now);
  return index;
}

absl::StatusOr<uint64_t> Raft::Propose(Timestamp now, std::string command) {
  if (role_ != Role::kLeader || !failure_.ok()) {
    return MakeStatus(ResultCode::kNotLeader, "this replica does not lead");
  }
  return AppendAsLeader(now, EntryKind::kCommand, std::move(command));
}

absl::StatusOr<uint64_t> Raft::ProposeMembers(Timestamp now, const std::vector<Member>& members) {
  if (role_ != Role::kLeader || !failure_.ok()) {
    return MakeStatus(ResultCode::kNotLeader, "this replica does not lead");
  }
  // One change at a time, and none before this term has committed an entry: two uncommitted
  // changes could have quorums that do not overlap (Ongaro's correction of 2015).
  if (!MembersCommitted() || TermAt(commit_index_) != hard_state_.term) {
    return MakeStatus(ResultCode::kRevisionConflict, "an earlier membership change is under way");
  }
  return AppendAsLeader(now, EntryKind::kMembership, EncodeMembers(members));
}

void Raft::ReplicateToAll(Timestamp now, bool heartbeat) {
  for (MemberId id : OtherMembers(false)) {
    ReplicateTo(now, id, heartbeat);
  }
}

void Raft::SendSnapshot(Timestamp now, MemberId id, Progress* progress) {
  RaftMessage message = MakeMessage(RaftMessageType::kSnapshot, id);
  message.context = static_cast<uint64_t>(now.time_since_epoch().count());
  message.commit = commit_index_;
  message.snapshot = snapshot_;
  FillProof(now, *progress, &message);
  progress->snapshot_retry = now + 4 * options_.election_timeout;
  Send(std::move(message));
}

void Raft::ReplicateTo(Timestamp now, MemberId id, bool heartbeat) {
  const auto it = progress_.find(id);
  if (it == progress_.end()) {
    return;
  }
  Progress& progress = it->second;
  if (progress.next < FirstIndex()) {
    if (now >= progress.snapshot_retry) {
      SendSnapshot(now, id, &progress);
      return;
    }
    // A heartbeat without entries keeps the member from starting an election meanwhile.
    progress.next = FirstIndex();
  }
  RaftMessage message = MakeMessage(RaftMessageType::kAppend, id);
  message.log_index = progress.next - 1;
  message.log_term = TermAt(progress.next - 1).value_or(0);
  message.commit = commit_index_;
  message.context = static_cast<uint64_t>(now.time_since_epoch().count());
  FillProof(now, progress, &message);
  // A member that does not reply gets heartbeats without entries; its first reply starts the
  // replication. Otherwise entries to a partitioned member would queue up and arrive all at once
  // when the partition heals.
  const bool may_carry_entries = !progress.probing || (heartbeat && RecentlyContacted(id, now));
  size_t bytes = 0;
  for (uint64_t index = progress.next; may_carry_entries && index <= last_index(); ++index) {
    const LogEntry& entry = EntryAt(index);
    bytes += entry.data.size();
    const bool full = message.entries.size() >= options_.max_entries_per_message ||
                      bytes > options_.max_bytes_per_message;
    if (full && !message.entries.empty()) {
      break;
    }
    message.entries.push_back(entry);
  }
  if (message.entries.empty() && !heartbeat) {
    return;
  }
  if (!progress.probing) {
    // Optimistic: a lost message causes a reject, which sets the member back to probing.
    progress.next += message.entries.size();
  }
  Send(std::move(message));
}

void Raft::HandleAppend(Timestamp now, const RaftMessage& message) {
  if (role_ == Role::kLeader) {
    return;
  }
  BecomeFollower(now, message.term, message.from);
  last_leader_contact_ = now;
  ReceiveProof(now, message);
  RaftMessage reply = MakeMessage(RaftMessageType::kAppendReply, message.from);
  reply.context = message.context;
  reply.stamp = StampOf(now);
  const std::optional<uint64_t> local_term = TermAt(message.log_index);
  const bool covered = message.log_index < snapshot_.index;
  if (!covered && local_term != message.log_term) {
    reply.reject = true;
    reply.log_index = std::min(last_index(), message.log_index > 0 ? message.log_index - 1 : 0);
    Send(std::move(reply));
    return;
  }
  std::vector<LogEntry> new_entries;
  for (const LogEntry& entry : message.entries) {
    if (entry.index <= snapshot_.index) {
      continue;
    }
    if (new_entries.empty() && TermAt(entry.index) == entry.term) {
      continue;
    }
    if (new_entries.empty()) {
      TruncateFrom(entry.index);
    }
    new_entries.push_back(entry);
  }
  if (!new_entries.empty()) {
    if (!Persist(storage_->Append(new_entries)) || !Persist(storage_->Sync())) {
      return;
    }
    for (LogEntry& entry : new_entries) {
      if (entry.kind == EntryKind::kMembership) {
        members_ = DecodeMembers(entry.data);
        members_index_ = entry.index;
      }
      entries_.push_back(std::move(entry));
    }
  }
  // Only the log up to the end of this message is known to equal the leader's log; a suffix beyond
  // it may be left over from another term.
  const uint64_t verified = message.log_index + message.entries.size();
  reply.log_index = std::max(verified, snapshot_.index);
  SetCommit(std::min(message.commit, reply.log_index));
  CompletePendingProof();
  Send(std::move(reply));
}

void Raft::HandleAppendReply(Timestamp now, const RaftMessage& message) {
  if (role_ != Role::kLeader) {
    return;
  }
  const auto it = progress_.find(message.from);
  if (it == progress_.end()) {
    return;
  }
  Progress& progress = it->second;
  progress.last_contact = now;
  const Timestamp sent{Duration(static_cast<int64_t>(message.context))};
  progress.acknowledged = std::max(progress.acknowledged, sent);
  RecordStamp(now, message, &progress);
  if (message.reject) {
    progress.probing = true;
    progress.next = std::max(progress.match + 1, std::min(progress.next, message.log_index + 1));
    if (message.log_index + 1 < progress.next) {
      // Either the member lost entries that it had acknowledged (a new incarnation would have a new
      // id), or the reply is old. The snapshot or the log restores the member in both cases.
      progress.next = message.log_index + 1;
    }
    const bool snapshot_under_way = progress.next < FirstIndex() && now < progress.snapshot_retry;
    if (!snapshot_under_way) {
      ReplicateTo(now, message.from, true);
    }
    return;
  }
  progress.match = std::max(progress.match, message.log_index);
  const bool was_probing = std::exchange(progress.probing, false);
  progress.next = was_probing ? progress.match + 1 : std::max(progress.next, progress.match + 1);
  AdvanceCommit(now);
  CompleteReads(now);
  if (progress.next <= last_index()) {
    ReplicateTo(now, message.from, false);
  }
}

void Raft::HandleSnapshot(Timestamp now, const RaftMessage& message) {
  if (role_ == Role::kLeader) {
    return;
  }
  BecomeFollower(now, message.term, message.from);
  last_leader_contact_ = now;
  ReceiveProof(now, message);
  RaftMessage reply = MakeMessage(RaftMessageType::kAppendReply, message.from);
  reply.context = message.context;
  reply.stamp = StampOf(now);
  if (message.snapshot.index > commit_index_) {
    const bool keeps_suffix = TermAt(message.snapshot.index) == message.snapshot.term;
    if (keeps_suffix) {
      while (!entries_.empty() && entries_.front().index <= message.snapshot.index) {
        entries_.pop_front();
      }
    } else {
      entries_.clear();
    }
    snapshot_ = message.snapshot;
    if (!Persist(
            storage_->SaveSnapshot(snapshot_, hard_state_, {entries_.begin(), entries_.end()}))) {
      return;
    }
    commit_index_ = snapshot_.index;
    RecomputeMembers();
    output_.applied.clear();
    output_.restored = RestoredSnapshot{snapshot_.index, snapshot_.state};
    CompletePendingProof();
  }
  reply.log_index = std::max(message.snapshot.index, snapshot_.index);
  Send(std::move(reply));
}

void Raft::AdvanceCommit(Timestamp now) {
  std::vector<uint64_t> matches;
  for (const Member& member : members_) {
    if (member.voter) {
      matches.push_back(MatchIndex(member.id));
    }
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const uint64_t quorum_index = matches[matches.size() / 2];
  if (quorum_index <= commit_index_ || TermAt(quorum_index) != hard_state_.term) {
    return;
  }
  SetCommit(quorum_index);
  // Sends the new commit index to the followers now rather than with the next heartbeat.
  ReplicateToAll(now, true);
  next_heartbeat_ = now + options_.heartbeat_interval;
}

void Raft::SetCommit(uint64_t index) {
  while (commit_index_ < index && commit_index_ < last_index()) {
    ++commit_index_;
    const LogEntry& entry = EntryAt(commit_index_);
    if (entry.kind == EntryKind::kCommand) {
      output_.applied.push_back({entry.index, entry.term, entry.data});
    }
  }
}

absl::Status Raft::Compact(uint64_t index, std::string state) {
  if (index <= snapshot_.index || index > commit_index_) {
    return absl::OkStatus();
  }
  wire::SnapshotData snapshot;
  snapshot.index = index;
  snapshot.term = TermAt(index).value_or(0);
  snapshot.members = snapshot_.members;
  snapshot.state = std::move(state);
  while (!entries_.empty() && entries_.front().index <= index) {
    if (entries_.front().kind == EntryKind::kMembership) {
      snapshot.members = DecodeMembers(entries_.front().data);
    }
    entries_.pop_front();
  }
  snapshot_ = std::move(snapshot);
  Persist(storage_->SaveSnapshot(snapshot_, hard_state_, {entries_.begin(), entries_.end()}));
  return failure_;
}

}  // namespace pumicedyke::consensus
