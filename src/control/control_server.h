// One control machine: a replica of the log, the state machine on it, the feed to nodes, operators'
// submissions, and the replacement of lost replicas. No socket, clock or thread; the owner passes
// events in and carries the output out.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "common/types.h"
#include "consensus/raft.h"
#include "control/control_state.h"
#include "control/quarantine_keeper.h"
#include "storage/log_storage.h"
#include "wire/messages.h"

namespace pumicedyke::control {

struct ControlOptions {
  std::string cluster;
  /// Address that peers reach this machine at.
  std::string address;
  /// Addresses of the control machines to ask for admission when this one's disk is new.
  std::vector<std::string> seeds;
  consensus::RaftOptions raft;
  ControlStateOptions state;
  /// Voters that the group grows to and keeps; zero: as many as there are seeds.
  size_t voters = 0;
  /// A voter that stays silent this long is replaced by a newcomer of another machine that has
  /// caught up, if there is one; zero: only by a newcomer of its own machine.
  Duration replace_silent_after{};
  /// The log is replaced by a snapshot beyond this.
  size_t snapshot_log_bytes = 4 << 20;
  /// A submission without a quorum's answer by then is answered kNoQuorum.
  Duration submission_timeout = Seconds(3);
  /// A command that was passed to the leader and not answered for this long is passed on again, to
  /// whoever leads by then: applying it twice does no harm.
  Duration forward_patience = Milliseconds(300);
  Duration join_interval = Milliseconds(300);
  /// Sessions that greeted nothing for this long count as gone.
  Duration session_timeout = Seconds(5);
  /// A starting node that greets again gets its first state again only after this.
  Duration full_feed_patience = Seconds(2);
  /// A greeting that came before there was a quorum is answered no later than this; its sender has
  /// turned to another machine by then.
  Duration greeting_patience = Milliseconds(300);
  /// Off only in simulations that show what the check is for.
  bool catch_up_before_vote = true;
  /// A machine that does not lead passes requests to join on to the leader; off only in
  /// simulations.
  bool relay_joins = true;
  QuarantineOptions quarantine;
  /// Off only in simulations that show what it is for.
  bool stop_fatal_requests = true;
};

/// Names one connection of a node to this machine.
using SessionId = uint64_t;
/// Names one operator's call that waits for its answer.
using TicketId = uint64_t;

struct PeerMessage {
  std::string address;
  wire::Envelope envelope;
};
struct SessionMessage {
  SessionId session;
  wire::Envelope envelope;
  /// Further connections that get the same: it is encoded once for all of them.
  std::vector<SessionId> others = {};
};
struct OperatorReply {
  TicketId ticket;
  /// JSON of a config::ChangeResult or of a status document.
  std::string body;
  /// The answer to ReadDocument(), if the read succeeded.
  std::optional<config::RouteDocument> document = std::nullopt;
};

struct ControlOutput {
  std::vector<PeerMessage> peers;
  std::vector<SessionMessage> sessions;
  std::vector<OperatorReply> operators;
  /// Connections of nodes to close.
  std::vector<SessionId> closed_sessions;
  /// What this leader has proposed to stop or release, for the log.
  std::vector<QuarantineProposal> quarantine;
};

/// What an operator is told about one replica.
struct ReplicaStatus {
  wire::Member member;
  uint64_t match_index = 0;
  bool alive = false;
};

class ControlServer {
 public:
  /// @param storage holds `recovered`; outlives this object.
  ControlServer(ControlOptions options, wire::Identity identity, storage::LogStorage* storage,
                storage::RecoveredState recovered, uint64_t seed, Timestamp now);

  void Tick(Timestamp now);
  void OnPeerMessage(Timestamp now, const wire::Envelope& envelope);
  void OnNodeMessage(Timestamp now, SessionId session, const wire::Envelope& envelope);
  void OnSessionClosed(SessionId session);

  /// An operator's change. The answer comes as an OperatorReply with this ticket, always.
  /// @param wall_ms wall clock, for the ledger's retention only.
  void Submit(Timestamp now, TicketId ticket, const config::Change& change);
  /// A linearizable read of the whole configuration; answered like Submit().
  void ReadConfig(Timestamp now, TicketId ticket);
  /// A linearizable read of the document of routes alone.
  void ReadDocument(Timestamp now, TicketId ticket);
  /// Whether this machine was proved, by word of a majority, to miss nothing a moment ago.
  bool IsCurrent(Timestamp now) const;

  /// Answers whatever waits with kNoQuorum; for a replica whose disk failed.
  void AbandonPending();
  /// Hands leadership over, sends the nodes away and refuses new submissions; see Drained().
  void StartShutdown(Timestamp now);
  /// True when nothing that was admitted waits for an answer any more.
  bool Drained() const;

  ControlOutput TakeOutput();

  /// @param wall_ms milliseconds since the epoch; kept for ledger claims proposed later.
  void SetWallClock(int64_t wall_ms) { wall_ms_ = wall_ms; }

  /// Status of this machine and, on the leader, of the group; answered like Submit(), and within
  /// kStatusPatience. "fully_redundant" is true only if every voter of the full set was heard after
  /// the question and holds everything committed, so that any one of them may be lost.
  void ReadStatus(Timestamp now, TicketId ticket);
  std::vector<ReplicaStatus> Replicas(Timestamp now) const;

  /// Further machines to ask for admission and to look for unknown members at.
  void LearnSeeds(const std::vector<std::string>& addresses);

  const ControlState& state() const { return state_; }
  const consensus::Raft& raft() const { return raft_; }
  const quarantine::CrashEvidence& evidence() const { return quarantine_.evidence(); }
  uint64_t applied_index() const { return applied_index_; }
  size_t session_count() const { return sessions_.size(); }

 private:
  struct Session {
    std::string node;
    uint64_t incarnation = 0;
    uint64_t reported_version = 0;
    uint64_t sent_version = 0;
    Timestamp last_heard{};
    /// A node that starts is fed only after a quorum's read: this machine may be behind.
    bool admitted = false;
    Timestamp full_sent{};
    /// Waiting for that read.
    bool awaiting_read = false;
    Timestamp read_requested{};
    /// `sent` of the greeting that asked for it.
    uint64_t read_greeting = 0;
    /// A greeting that came while this machine was in touch with no quorum.
    std::optional<wire::NodeHello> unanswered;
  };
  /// Where the result of a proposed command goes.
  struct Origin {
    enum class Kind { kOperator, kLedger, kPeer, kQuarantine } kind = Kind::kOperator;
    TicketId ticket = 0;
    SessionId session = 0;
    MemberId peer = 0;
    uint64_t request = 0;
    Timestamp deadline{};
  };
  /// A command that this leader proposed; the term tells whether it is still ours.
  struct Proposal {
    uint64_t term = 0;
    Origin origin;
    /// Kept for operators' changes, to be passed on if this machine is deposed.
    std::string command;
  };
  /// A command that another machine, the leader, has to propose.
  struct ForwardedCommand {
    Origin origin;
    std::string command;
    /// Whom it was passed to; zero: there was no leader.
    MemberId leader = 0;
    Timestamp sent{};
  };
  struct PendingConfigRead {
    TicketId ticket;
    Timestamp deadline;
    bool document_only = false;
    Timestamp asked{};
  };

  // Commands on their way.
  void Route(Timestamp now, const std::string& command, Origin origin);
  void ProposeHere(Timestamp now, const std::string& command, Origin origin);
  void Answer(const Origin& origin, const std::string& result);
  /// The command's fate is unknown here.
  void AnswerNoQuorum(const Origin& origin);
  void ExpirePending(Timestamp now);
  /// The entry of a proposal may have been cut off: what repeats is passed on to whoever leads now.
  void GiveUp(Timestamp now, Proposal proposal);
  /// Gives up what this machine proposed in terms in which it leads no more.
  void GiveUpDeposed(Timestamp now);
  /// Passes commands on again that the leader of that time does not answer.
  void ForwardAgain(Timestamp now);
  /// Asks again for reads that the leader of that time does not answer.
  void ReadAgain(Timestamp now);
  void SendForwarded(Timestamp now, uint64_t ticket, ForwardedCommand* forwarded);
  void OnForwarded(Timestamp now, const wire::Forwarded& forwarded);
  void OnForwardedReply(const wire::ForwardedReply& reply);

  // The feed.
  void OnHello(Timestamp now, SessionId id, const wire::NodeHello& hello);
  /// Answers the greetings that waited for a quorum.
  void AnswerGreetings(Timestamp now);
  void OnLedgerRequest(Timestamp now, SessionId id, const wire::LedgerRequest& request);
  /// @param greeting `sent` of the greeting that this answers, or 0.
  void Feed(Timestamp now, SessionId id, Session* session, bool full, uint64_t greeting);
  void FeedAll(Timestamp now);
  /// The whole configuration as nodes get it that start; made once for all of them.
  const std::string& PackedConfig();
  void StartConfigRead(Timestamp now, TicketId ticket, bool document_only);
  OperatorReply ReadReply(const PendingConfigRead& read) const;

  // Requests that end the leafs that run them.
  /// Notes what a gateway or node saw, and passes it on to the others if nobody else does.
  void OnRunReport(Timestamp now, wire::RunReport report);
  /// The same of a gateway or node, which tells again until it hears that the report was taken.
  void OnRunReportOf(Timestamp now, SessionId session, const wire::RunReport& report);
  /// Proposes to stop requests, or to let them go again, and warns of suspects.
  void KeepQuarantine(Timestamp now);
  void WarnOfSuspects();

  // Replicas.
  void OnJoin(Timestamp now, const wire::JoinRequest& join);
  /// Passes a request on to the leader: the newcomer knows a few machines only.
  void RelayJoin(const wire::JoinRequest& join);
  /// Tells the newcomer where the leader is reached; see wire::JoinReply.
  void ReplyToJoin(const wire::JoinRequest& join);
  void SendJoin(Timestamp now);
  void ReplaceLostReplicas(Timestamp now);
  size_t WantedVoters() const;
  bool SilentForLong(const wire::Member& member, Timestamp now) const;
  void NoteHeard(Timestamp now);
  bool CaughtUp(MemberId id, Timestamp now) const;
  bool FullyRedundantSince(Timestamp asked, Timestamp now) const;
  std::string StatusJson(Timestamp now, bool fully_redundant) const;
  void AnswerStatusReads(Timestamp now);

  std::string ShuttingDownJson() const;
  void DrainRaft(Timestamp now);
  void AnswerReads(Timestamp now);
  void MaybeCompact();
  wire::Envelope Wrap(wire::Body body) const;
  void SendToMember(MemberId id, wire::Body body);
  const wire::Member* FindMember(MemberId id) const;

  ControlOptions options_;
  wire::Identity identity_;
  storage::LogStorage* storage_;
  ControlState state_;
  QuarantineKeeper quarantine_;
  consensus::Raft raft_;
  uint64_t applied_index_ = 0;
  std::string packed_config_;
  uint64_t packed_version_ = 0;
  int64_t wall_ms_ = 0;

  std::map<SessionId, Session> sessions_;
  /// By log index.
  std::map<uint64_t, Proposal> proposals_;
  /// Commands passed to the leader, by ticket.
  std::map<uint64_t, ForwardedCommand> forwarded_;
  std::map<uint64_t, SessionId> session_reads_;
  std::map<uint64_t, PendingConfigRead> config_reads_;
  struct StatusRead {
    TicketId ticket;
    Timestamp asked;
  };
  std::vector<StatusRead> status_reads_;
  /// Reads whose index is known but not applied yet: index to read tickets.
  std::multimap<uint64_t, uint64_t> reads_at_index_;
  /// Starts at a random number: a late reply to an earlier life must match nothing here.
  uint64_t next_ticket_;
  /// Known addresses of machines that asked to join, and of the leader that answered.
  std::map<MemberId, std::string> join_addresses_;
  /// Leader: when each member was last known to answer; starts anew with each term.
  std::map<MemberId, Timestamp> member_heard_;
  uint64_t member_heard_term_ = 0;
  Timestamp next_join_{};
  bool shutting_down_ = false;
  ControlOutput output_;
};

}  // namespace pumicedyke::control
