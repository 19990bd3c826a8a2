// Raft: leader election.
#include <algorithm>
#include <utility>

#include "consensus/raft.h"

namespace pumicedyke::consensus {

using wire::EntryKind;
using wire::Member;
using wire::RaftMessage;
using wire::RaftMessageType;

namespace {

/// A replica that has just started and has no leader divides its election timeout by
/// kStartupTimeoutDivisor, for the first kStartupTimeouts election timeouts.
constexpr int kStartupTimeoutDivisor = 8;
constexpr int kStartupTimeouts = 15;
/// `context` of a rejected pre-vote: the voter has restarted and has had no contact with a leader
/// since. `log_index` is then the vote that it cast in `term`.
constexpr uint64_t kVoterRestarted = 1;

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

bool Raft::IsStarting(Timestamp now) const {
  return !last_leader_contact_.has_value() && role_ != Role::kLeader &&
         now - started_ < kStartupTimeouts * options_.election_timeout;
}

void Raft::SetElectionTimer(Timestamp now, Duration min_timeout) {
  std::uniform_int_distribution<int64_t> spread(0, min_timeout.count());
  election_deadline_ = now + min_timeout + Duration(spread(random_));
}

void Raft::ResetElectionTimer(Timestamp now) { SetElectionTimer(now, options_.election_timeout); }

void Raft::ResetPreVoteTimer(Timestamp now) {
  // All replicas may have restarted together. Early pre-votes shorten the time without a leader,
  // and they do not disturb an existing one.
  const Duration startup_timeout = options_.election_timeout / kStartupTimeoutDivisor;
  SetElectionTimer(now, IsStarting(now) ? startup_timeout : options_.election_timeout);
}

bool Raft::MustGuardLeaseAfterRestart(Timestamp now) const {
  // Term 0 never has a leader.
  return hard_state_.term > 0 && !last_leader_contact_.has_value() &&
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
  restarted_votes_.clear();
  if (MustGuardLeaseAfterRestart(now)) {
    restarted_votes_[self_] = hard_state_.vote;
  } else {
    votes_.insert(self_);
  }
  ResetPreVoteTimer(now);
  if (StartElectionIfWinnable(now)) {
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
  // A log whose last entry is of this term equals the leader's log up to the start of the term,
  // including the membership.
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

bool Raft::StartElectionIfWinnable(Timestamp now) {
  if (IsQuorum(votes_)) {
    StartElection(now, ElectionCause::kLeaderTimeout);
    return true;
  }
  std::set<MemberId> all = votes_;
  for (const auto& [id, vote] : restarted_votes_) {
    all.insert(id);
  }
  if (IsQuorum(all) && LeaseIsVoid(restarted_votes_, Electorate())) {
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

bool Raft::LogIsUpToDate(const RaftMessage& message) const {
  const uint64_t last_term = TermAt(last_index()).value_or(0);
  return message.log_term > last_term ||
         (message.log_term == last_term && message.log_index >= last_index());
}

void Raft::HandleVoteRequest(Timestamp now, const RaftMessage& message) {
  const bool pre_vote = message.type == RaftMessageType::kPreVote;
  const auto cause = pre_vote ? ElectionCause::kLeaderTimeout : ElectionCause{message.context};
  // A voter protects the lease of a leader that contacted it within the last election timeout.
  const bool leader_alive = role_ == Role::kLeader
                                ? HasLease(now)
                                : last_leader_contact_.has_value() &&
                                      now - *last_leader_contact_ < options_.election_timeout;
  const auto reply_type = pre_vote ? RaftMessageType::kPreVoteReply : RaftMessageType::kVoteReply;
  const bool protects_leader = leader_alive && cause != ElectionCause::kTransfer;
  const bool guards = MustGuardLeaseAfterRestart(now) && cause == ElectionCause::kLeaderTimeout;
  const bool protects_lease = (protects_leader || guards) && options_.lease_check;
  if (message.term < hard_state_.term || protects_lease) {
    const bool reports_vote = pre_vote && guards && !protects_leader && LogIsUpToDate(message);
    if (reports_vote) {
      RaftMessage reply = MakeMessage(reply_type, message.from);
      reply.reject = true;
      reply.context = kVoterRestarted;
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
    reply.reject = !LogIsUpToDate(message);
    reply.term = reply.reject ? hard_state_.term : message.term;
    Send(std::move(reply));
    return;
  }
  if (message.term > hard_state_.term) {
    BecomeFollower(now, message.term, 0);
  }
  const bool free_to_vote = hard_state_.vote == 0 || hard_state_.vote == message.from;
  const bool grant = free_to_vote && role_ == Role::kFollower && LogIsUpToDate(message);
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
    } else if (pre_vote && role_ == Role::kPreCandidate && message.context == kVoterRestarted &&
               message.term == hard_state_.term) {
      restarted_votes_[message.from] = message.log_index;
      StartElectionIfWinnable(now);
    }
    return;
  }
  if (role_ != expected_role || message.term != expected_term) {
    return;
  }
  votes_.insert(message.from);
  if (pre_vote) {
    StartElectionIfWinnable(now);
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
    progress.last_contact = now;
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
    if (RecentlyContacted(id, now) && (best == 0 || MatchIndex(id) > MatchIndex(best))) {
      best = id;
    }
  }
  if (best == 0) {
    return;
  }
  ReplicateTo(now, best, false);
  Send(MakeMessage(RaftMessageType::kTimeoutNow, best));
  // Stepping down also releases the lease: the voters for the successor do not wait for it.
  BecomeFollower(now, hard_state_.term, 0);
}

}  // namespace pumicedyke::consensus
