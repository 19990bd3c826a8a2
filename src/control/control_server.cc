#include "control/control_server.h"

#include <algorithm>
#include <random>
#include <utility>

#include "wire/destinations.h"
#include "wire/packing.h"

namespace pumicedyke::control {

ControlServer::ControlServer(ControlOptions options, wire::Identity identity,
                             storage::LogStorage* storage, storage::RecoveredState recovered,
                             uint64_t seed, Timestamp now)
    : options_(std::move(options)),
      identity_(std::move(identity)),
      storage_(storage),
      state_(options_.state),
      quarantine_(options_.quarantine),
      raft_(identity_.member, options_.raft, storage, std::move(recovered), seed, now),
      next_ticket_(std::mt19937_64(seed)()),
      last_led_(now) {
  DrainRaft(now);
}

wire::Envelope ControlServer::Wrap(wire::Body body) const {
  return {options_.cluster, state_.config().version().value, std::move(body)};
}

const wire::Member* ControlServer::FindMember(MemberId id) const {
  for (const wire::Member& member : raft_.members()) {
    if (member.id == id) {
      return &member;
    }
  }
  return nullptr;
}

void ControlServer::SendToMember(MemberId id, wire::Body body) {
  const wire::Member* member = FindMember(id);
  const auto joined = join_addresses_.find(id);
  if (member != nullptr) {
    output_.peers.push_back({member->address, Wrap(std::move(body))});
  } else if (joined != join_addresses_.end()) {
    output_.peers.push_back({joined->second, Wrap(std::move(body))});
  } else {
    // A joining replica does not know the members yet. The message names its receiver, so that the
    // other machines drop it.
    const wire::Envelope envelope = Wrap(std::move(body));
    for (const std::string& seed : options_.seeds) {
      if (seed != options_.address) {
        output_.peers.push_back({seed, envelope});
      }
    }
  }
}

ControlOutput ControlServer::TakeOutput() { return std::exchange(output_, {}); }

void ControlServer::Tick(Timestamp now) {
  raft_.Tick(now);
  DrainRaft(now);
  ExpirePending(now);
  AbandonDeposed(now);
  RetryForwarded(now);
  RetryReads(now);
  std::erase_if(sessions_, [&](const auto& item) {
    return now - item.second.last_contact > options_.session_timeout;
  });
  UpdateQuarantine(now);
  UpdateJoining(now);
  SendJoin(now);
  ReplaceLostReplicas(now);
  DrainRaft(now);
}

bool ControlServer::OnMessage(Timestamp now, SessionId session, const wire::Envelope& envelope) {
  if (envelope.cluster != options_.cluster) {
    return false;
  }
  using wire::Destination;
  const bool handled = wire::DispatchTo<Destination::kControlPeer, Destination::kControlSession>(
      envelope.body,
      wire::MessageHandler{
          [&](const wire::RaftMessage& raft) { raft_.Receive(now, raft); },
          [&](const wire::JoinRequest& join) { OnJoin(now, join); },
          [&](const wire::JoinReply& reply) { join_addresses_[reply.leader] = reply.address; },
          [&](const wire::Forwarded& forwarded) { OnForwarded(now, forwarded); },
          [&](const wire::ForwardedReply& reply) { OnForwardedReply(reply); },
          [&](const wire::NodeHello& hello) { OnHello(now, session, hello); },
          [&](const wire::LedgerRequest& request) { OnLedgerRequest(now, session, request); },
          [&](const wire::RunReport& report) { OnRunReport(now, session, report); },
          [&](const wire::TrialRequest& request) { OnTrialRequest(now, session, request); }});
  DrainRaft(now);
  return handled;
}

void ControlServer::OnSessionClosed(SessionId session) { sessions_.erase(session); }

// ---- The log ------------------------------------------------------------------------------------

void ControlServer::DrainRaft(Timestamp now) {
  consensus::RaftOutput raft_output = raft_.TakeOutput();
  if (raft_output.restored.has_value()) {
    if (!raft_output.restored->state.empty()) {
      state_.Restore(raft_output.restored->state).IgnoreError();
    }
    applied_index_ = raft_output.restored->index;
  }
  for (const consensus::Applied& applied : raft_output.applied) {
    const std::string result = state_.Apply(applied.command);
    applied_index_ = applied.index;
    const auto it = proposals_.find(applied.index);
    if (it != proposals_.end()) {
      Proposal proposal = std::move(it->second);
      proposals_.erase(it);
      // An entry of another term at this index means that the proposal was replaced.
      if (proposal.term == applied.term) {
        Answer(proposal.origin, result);
      } else {
        AbandonProposal(now, std::move(proposal));
      }
    }
  }
  applied_index_ = std::max(applied_index_, raft_.commit_index());
  if (!raft_output.applied.empty() || raft_output.restored.has_value()) {
    FeedAll(now);
  }
  for (wire::RaftMessage& message : raft_output.messages) {
    const MemberId to = message.to;
    SendToMember(to, std::move(message));
  }
  AnswerPendingHellos(now);
  AnswerReads(now);
  AnswerStatusReads(now);
  MaybeCompact();
}

void ControlServer::MaybeCompact() {
  const bool log_too_long = storage_->log_bytes() >= options_.snapshot_log_bytes &&
                            applied_index_ > raft_.snapshot_index();
  if (!log_too_long || !raft_.failure().ok()) {
    return;
  }
  raft_.Compact(applied_index_, state_.Serialize()).IgnoreError();
}

// ---- Reads and the feed -------------------------------------------------------------------------

void ControlServer::ReadConfig(Timestamp now, TicketId ticket) {
  StartConfigRead(now, ticket, /*document_only=*/false);
}

void ControlServer::ReadDocument(Timestamp now, TicketId ticket) {
  StartConfigRead(now, ticket, /*document_only=*/true);
}

OperatorReply ControlServer::ReadReply(const PendingConfigRead& read) const {
  if (read.document_only) {
    return {read.ticket, "", state_.config().document()};
  }
  return {read.ticket, state_.config().Serialize()};
}

void ControlServer::StartConfigRead(Timestamp now, TicketId ticket, bool document_only) {
  if (shutting_down_) {
    output_.operators.push_back({ticket, ShuttingDownJson()});
    return;
  }
  const uint64_t read = next_ticket_++;
  config_reads_[read] = {ticket, now + options_.submission_timeout, document_only, now};
  raft_.RequestRead(now, read);
  DrainRaft(now);
}

void ControlServer::AnswerReads(Timestamp now) {
  for (const consensus::Raft::CompletedRead& ready : raft_.TakeCompletedReads()) {
    reads_at_index_.emplace(ready.index, ready.ticket);
  }
  while (!reads_at_index_.empty() && reads_at_index_.begin()->first <= applied_index_) {
    const uint64_t read = reads_at_index_.begin()->second;
    reads_at_index_.erase(reads_at_index_.begin());
    if (const auto it = session_reads_.find(read); it != session_reads_.end()) {
      const auto session = sessions_.find(it->second);
      if (session != sessions_.end()) {
        session->second.awaiting_read = false;
        Admit(session->first, &session->second);
        session->second.full_sent = now;
        Feed(now, session->first, &session->second, /*full=*/true, session->second.read_hello_sent);
      }
      session_reads_.erase(it);
    }
    if (const auto it = config_reads_.find(read); it != config_reads_.end()) {
      const bool leads = raft_.role() == consensus::Role::kLeader;
      // A leader that was paused between the read and this reply has lost its lease.
      if (!leads || raft_.HasLease(now)) {
        output_.operators.push_back(ReadReply(it->second));
        config_reads_.erase(it);
      }
    }
  }
}

bool ControlServer::IsCurrent(Timestamp now) const {
  if (!raft_.failure().ok()) {
    return false;
  }
  if (raft_.role() == consensus::Role::kLeader) {
    return raft_.HasLease(now);
  }
  const std::optional<Timestamp> proven = raft_.ProvenCurrentAt(now);
  return raft_.leader() != 0 && proven.has_value() &&
         now - *proven < 2 * options_.raft.election_timeout;
}

void ControlServer::OnHello(Timestamp now, SessionId id, const wire::NodeHello& hello) {
  if (shutting_down_) {
    // Closes once for each hello, not for each request, since the node repeats its requests after a
    // close.
    output_.closed_sessions.push_back(id);
    return;
  }
  AnswerHello(now, id, hello);
}

void ControlServer::AnswerHello(Timestamp now, SessionId id, const wire::NodeHello& hello) {
  Session& session = sessions_[id];
  session.node = hello.node;
  session.incarnation = hello.incarnation;
  session.last_contact = now;
  session.reported_version = hello.version;
  session.pending_hello.reset();
  // A machine without a quorum does not answer, so that the node switches to another one.
  if (!IsCurrent(now)) {
    session.pending_hello = hello;
    return;
  }
  if (hello.starting) {
    // The full state is still being sent; it may be large.
    if (session.admitted && now - session.full_sent < options_.full_feed_interval) {
      return;
    }
    const bool repeat = now - session.read_requested > options_.raft.election_timeout;
    if (!session.awaiting_read || repeat) {
      session.awaiting_read = true;
      session.read_requested = now;
      session.read_hello_sent = hello.sent;
      std::erase_if(session_reads_, [id](const auto& item) { return item.second == id; });
      const uint64_t read = next_ticket_++;
      session_reads_[read] = id;
      raft_.RequestRead(now, read);
    }
    return;
  }
  Admit(id, &session);
  session.sent_version = hello.version;
  Feed(now, id, &session, /*full=*/false, hello.sent);
}

void ControlServer::Admit(SessionId id, Session* session) {
  if (!session->admitted) {
    session->admitted = true;
    NotifySession(id);
  }
}

void ControlServer::AnswerPendingHellos(Timestamp now) {
  if (!IsCurrent(now)) {
    return;
  }
  for (auto& [id, session] : sessions_) {
    const std::optional<wire::NodeHello> hello = std::exchange(session.pending_hello, std::nullopt);
    if (hello.has_value() && now - session.last_contact < options_.hello_timeout) {
      AnswerHello(now, id, *hello);
    }
  }
}

const std::string& ControlServer::PackedConfig() {
  const uint64_t version = state_.config().version().value;
  if (packed_config_.empty() || packed_version_ != version) {
    packed_config_ = wire::Pack(state_.config().Serialize());
    packed_version_ = version;
  }
  return packed_config_;
}

void ControlServer::Feed(Timestamp now, SessionId id, Session* session, bool full,
                         uint64_t hello_sent) {
  const uint64_t version = state_.config().version().value;
  wire::ConfigFeed feed;
  feed.version = version;
  if (const std::optional<Timestamp> proven = raft_.ProvenCurrentAt(now); proven.has_value()) {
    feed.echo = hello_sent;
    feed.proof_age = now - *proven;
  }
  const auto& changes = state_.changes();
  const bool has_history =
      session->sent_version >= version ||
      (!changes.empty() && changes.front().version <= session->sent_version + 1);
  if (full || !has_history) {
    feed.full = true;
    feed.state = PackedConfig();
  } else if (session->sent_version < version) {
    const size_t skip = session->sent_version + 1 - changes.front().version;
    feed.changes.assign(changes.begin() + static_cast<long>(skip), changes.end());
  }
  session->sent_version = version;
  output_.sessions.push_back({id, Wrap(std::move(feed))});
}

void ControlServer::FeedAll(Timestamp now) {
  const uint64_t version = state_.config().version().value;
  // Nodes with the same version receive the same message.
  std::map<uint64_t, size_t> message_of;
  for (auto& [id, session] : sessions_) {
    if (!session.admitted || session.sent_version >= version) {
      continue;
    }
    const auto [it, first] = message_of.try_emplace(session.sent_version, output_.sessions.size());
    if (first) {
      // Carries no proof of freshness, since a machine that is catching up sends feeds, too.
      Feed(now, id, &session, /*full=*/false, /*hello_sent=*/0);
    } else {
      output_.sessions[it->second].others.push_back(id);
      session.sent_version = version;
    }
  }
}

void ControlServer::OnLedgerRequest(Timestamp now, SessionId id,
                                    const wire::LedgerRequest& request) {
  if (shutting_down_) {
    return;
  }
  ledger::Operation operation{request.operation,   request.key,     request.owner,
                              request.fingerprint, request.outcome, wall_ms_};
  Origin origin;
  origin.kind = Origin::Kind::kLedger;
  origin.session = id;
  origin.request = request.request;
  const absl::StatusOr<std::string> command = EncodeCommand(operation);
  if (!command.ok()) {
    // Such a key was never claimed, so the request has not run. Nodes refuse it themselves, but for
    // those of an older version.
    output_.sessions.push_back(
        {id, Wrap(wire::LedgerReply{request.request, wire::LedgerVerdict::kFingerprintMismatch})});
    return;
  }
  Route(now, command, origin);
}

// ---- Stopping -----------------------------------------------------------------------------------

void ControlServer::StartShutdown(Timestamp now) {
  shutting_down_ = true;
  // The nodes immediately repeat their pending requests at another machine.
  for (const auto& [id, session] : sessions_) {
    output_.closed_sessions.push_back(id);
  }
  sessions_.clear();
  raft_.TransferLeadership(now);
  DrainRaft(now);
}

bool ControlServer::Drained() const {
  return proposals_.empty() && forwarded_.empty() && config_reads_.empty() && status_reads_.empty();
}

}  // namespace pumicedyke::control
