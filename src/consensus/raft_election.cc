// Elections: the part of Raft that decides who leads.
#include <algorithm>
#include <utility>

#include "consensus/raft.h"

namespace pumicedyke::consensus {

using wire::EntryKind;
using wire::Member;
using wire::RaftMessage;
using wire::RaftMessageType;

namespace {

/// A replica that starts and hears no leader stands for election this many times sooner, for this
/// many election timeouts.
constexpr int kStartingHaste = 8;
constexpr int kStartingTimeouts = 15;
/// `context` of a rejected pre-vote: the voter restarted and has heard no leader since; `log_index`
/// is the vote that it gave in `term`.
constexpr uint64_t kRestarted = 1;

}  // namespace

bool Raft::IsQuorum(const std::set<MemberId>& granted) const {
  size_t voters = 0;
  size_t yes = 0;
  for (const Member& member : members_) {
    voters += member.voter ? 1 : 0;
    yes += member.voter && granted.contains(member.id) ? 1 : 0;
  }
  return voters > 0 && yes > voters / 2;
}

bool Raft::Starting(Timestamp now) const {
  return !leader_heard_.has_value() && role_ != Role::kLeader &&
         now - started_ < kStartingTimeouts * options_.election_timeout;
}

void Raft::SetElectionTimer(Timestamp now, Duration shortest) {
  std::uniform_int_distribution<int64_t> spread(0, shortest.count());
  election_deadline_ = now + shortest + Duration(spread(random_));
}

void Raft::ResetElectionTimer(Timestamp now) { SetElectionTimer(now, options_.election_timeout); }

void Raft::ResetPreVoteTimer(Timestamp now) {
  // All may have restarted together: whoever asks for pre-votes soon shortens the pause, and
  // pre-votes disturb no leader that is there.
  const Duration hasty = options_.election_timeout / kStartingHaste;
  SetElectionTimer(now, Starting(now) ? hasty : options_.election_timeout);
}

bool Raft::RestartGuards(Timestamp now) const {
  // Term 0 has had no leader.
  return hard_state_.term > 0 && !leader_heard_.has_value() &&
         now - started_ < options_.election_timeout;
}

void Raft::BecomeFollower(Timestamp now, uint64_t term, MemberId leader) {
  const bool was_leader = role_ == Role::kLeader;
  role_ = Role::kFollower;
  leader_ = leader;
  votes_.clear();
  pending_reads_.clear();
  if (term > hard_state_.term) {
    hard_state_ = {term, 0};
    SaveHardState();
  }
  if (was_leader || leader != 0) {
    ResetElectionTimer(now);
  }
}

void Raft::StartPreVote(Timestamp now) {
  role_ = Role::kPreCandidate;
  leader_ = 0;
  votes_.clear();
  restarted_.clear();
  if (RestartGuards(now)) {
    restarted_[self_] = hard_state_.vote;
  } else {
    votes_.insert(self_);
  }
  ResetPreVoteTimer(now);
  if (StandIfPromised(now)) {
    return;
  }
  for (MemberId id : OtherMembers(true)) {
    RaftMessage message = MakeMessage(RaftMessageType::kPreVote, id);
    message.term = hard_state_.term + 1;
    message.log_index = last_index();
    message.log_term = TermAt(last_index()).value_or(0);
    Send(std::move(message));
  }
}

std::set<MemberId> Raft::Electorate() const {
  // A log that ends in this term began it as its leader's log did, members included.
  const bool from_leader = TermAt(last_index()) == hard_state_.term;
  if (!from_leader || snapshot_.term >= hard_state_.term) {
    return {};
  }
  std::vector<Member> members = snapshot_.members;
  for (const wire::LogEntry& entry : entries_) {
    if (entry.kind == EntryKind::kMembership && entry.term < hard_state_.term) {
      members = DecodeMembers(entry.data);
    }
  }
  std::set<MemberId> voters;
  for (const Member& member : members) {
    if (member.voter) {
      voters.insert(member.id);
    }
  }
  return voters;
}

bool Raft::StandIfPromised(Timestamp now) {
  if (IsQuorum(votes_)) {
    StartElection(now, ElectionCause::kSilence);
    return true;
  }
  std::set<MemberId> all = votes_;
  for (const auto& [id, vote] : restarted_) {
    all.insert(id);
  }
  if (IsQuorum(all) && LeaseIsVoid(restarted_, Electorate())) {
    StartElection(now, ElectionCause::kLeaderRestarted);
    return true;
  }
  return false;
}

void Raft::StartElection(Timestamp now, ElectionCause cause) {
  role_ = Role::kCandidate;
  leader_ = 0;
  votes_ = {self_};
  hard_state_ = {hard_state_.term + 1, self_};
  ResetElectionTimer(now);
  if (!SaveHardState()) {
    return;
  }
  if (IsQuorum(votes_)) {
    BecomeLeader(now);
    return;
  }
  for (MemberId id : OtherMembers(true)) {
    RaftMessage message = MakeMessage(RaftMessageType::kVote, id);
    message.log_index = last_index();
    message.log_term = TermAt(last_index()).value_or(0);
    message.context = static_cast<uint64_t>(cause);
    Send(std::move(message));
  }
}

bool Raft::LogIsAsRecent(const RaftMessage& message) const {
  const uint64_t last_term = TermAt(last_index()).value_or(0);
  return message.log_term > last_term ||
         (message.log_term == last_term && message.log_index >= last_index());
}

void Raft::HandleVoteRequest(Timestamp now, const RaftMessage& message) {
  const bool pre_vote = message.type == RaftMessageType::kPreVote;
  const auto cause = pre_vote ? ElectionCause::kSilence : ElectionCause{message.context};
  // A voter that heard a leader within the election timeout stands by that leader's lease.
  const bool leader_alive =
      role_ == Role::kLeader
          ? HasLease(now)
          : leader_heard_.has_value() && now - *leader_heard_ < options_.election_timeout;
  const auto reply_type = pre_vote ? RaftMessageType::kPreVoteReply : RaftMessageType::kVoteReply;
  const bool stands_by_leader = leader_alive && cause != ElectionCause::kTransfer;
  const bool guards = RestartGuards(now) && cause == ElectionCause::kSilence;
  const bool protects_lease = (stands_by_leader || guards) && options_.lease_check;
  if (message.term < hard_state_.term || protects_lease) {
    const bool tells_vote = pre_vote && guards && !stands_by_leader && LogIsAsRecent(message);
    if (tells_vote) {
      RaftMessage reply = MakeMessage(reply_type, message.from);
      reply.reject = true;
      reply.context = kRestarted;
      reply.log_index = hard_state_.vote;
      Send(std::move(reply));
      return;
    }
    RaftMessage reply = MakeMessage(reply_type, message.from);
    reply.reject = true;
    Send(std::move(reply));
    return;
  }
  if (pre_vote) {
    RaftMessage reply = MakeMessage(reply_type, message.from);
    reply.reject = !LogIsAsRecent(message);
    reply.term = reply.reject ? hard_state_.term : message.term;
    Send(std::move(reply));
    return;
  }
  if (message.term > hard_state_.term) {
    BecomeFollower(now, message.term, 0);
  }
  const bool free_to_vote = hard_state_.vote == 0 || hard_state_.vote == message.from;
  const bool grant = free_to_vote && role_ == Role::kFollower && LogIsAsRecent(message);
  if (grant) {
    hard_state_.vote = message.from;
    ResetElectionTimer(now);
    if (!SaveHardState()) {
      return;
    }
  }
  RaftMessage reply = MakeMessage(reply_type, message.from);
  reply.reject = !grant;
  Send(std::move(reply));
}

void Raft::HandleVoteReply(Timestamp now, const RaftMessage& message) {
  const bool pre_vote = message.type == RaftMessageType::kPreVoteReply;
  const Role expected_role = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  const uint64_t expected_term = pre_vote ? hard_state_.term + 1 : hard_state_.term;
  if (message.reject) {
    if (message.term > hard_state_.term) {
      BecomeFollower(now, message.term, 0);
    } else if (pre_vote && role_ == Role::kPreCandidate && message.context == kRestarted &&
               message.term == hard_state_.term) {
      restarted_[message.from] = message.log_index;
      StandIfPromised(now);
    }
    return;
  }
  if (role_ != expected_role || message.term != expected_term) {
    return;
  }
  votes_.insert(message.from);
  if (pre_vote) {
    StandIfPromised(now);
  } else if (IsQuorum(votes_)) {
    BecomeLeader(now);
  }
}

void Raft::BecomeLeader(Timestamp now) {
  role_ = Role::kLeader;
  leader_ = self_;
  progress_.clear();
  for (MemberId id : OtherMembers(false)) {
    Progress& progress = progress_[id];
    progress.next = last_index() + 1;
    progress.last_heard = now;
  }
  next_heartbeat_ = now;
  // Entries of earlier terms commit only below one of this term (Raft section 5.4.2).
  AppendAsLeader(now, EntryKind::kNoOp, "").IgnoreError();
}

void Raft::TransferLeadership(Timestamp now) {
  if (role_ != Role::kLeader) {
    return;
  }
  MemberId best = 0;
  for (MemberId id : OtherMembers(true)) {
    if (RecentlyHeard(id, now) && (best == 0 || MatchIndex(id) > MatchIndex(best))) {
      best = id;
    }
  }
  if (best == 0) {
    return;
  }
  ReplicateTo(now, best, false);
  Send(MakeMessage(RaftMessageType::kTimeoutNow, best));
  // The lease is given up together with the office: the successor's voters do not wait for it.
  BecomeFollower(now, hard_state_.term, 0);
}

}  // namespace pumicedyke::consensus
