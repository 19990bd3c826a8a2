// A control machine: a replica of the log with its state machine, the feed to nodes, submissions of
// operators, and the replacement of lost replicas. No socket, clock or thread; the owner passes
// events in and delivers the output.
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
#include "control/quarantine_manager.h"
#include "storage/log_storage.h"
#include "wire/messages.h"

namespace pumicedyke::control {

struct ControlOptions {
  std::string cluster;
  /// Address at which peers reach this machine.
  std::string address;
  /// Addresses of control machines to send join requests to when the disk of this machine is new.
  std::vector<std::string> seeds;
  consensus::RaftOptions raft;
  ControlStateOptions state;
  /// Number of voters that the group grows to and keeps; zero: the number of seeds.
  size_t voters = 0;
  /// A voter that is silent for this long is replaced by a caught-up new replica on another
  /// machine, if there is one; zero: only by a new replica on its own machine.
  Duration replace_silent_after{};
  /// Log size beyond which it is compacted into a snapshot.
  size_t snapshot_log_bytes = 4 << 20;
  /// A submission that no quorum has decided within this time is answered kNoQuorum.
  Duration submission_timeout = Seconds(3);
  /// A command that was forwarded to the leader and not answered for this long is forwarded again,
  /// to the current leader. Applying it twice does no harm.
  Duration forward_timeout = Milliseconds(300);
  Duration join_interval = Milliseconds(300);
  /// A member that no leader has contacted for this long asks to join, since the group may not list
  /// it.
  Duration rejoin_after = Milliseconds(1000);
  /// Sessions without a hello for this long are removed.
  Duration session_timeout = Seconds(5);
  /// Minimum time before a starting node that repeats its hello is sent the full state again.
  Duration full_feed_interval = Seconds(2);
  /// A hello that arrived without a quorum is answered only within this time; later its sender has
  /// switched to another machine.
  Duration hello_timeout = Milliseconds(300);
  /// Off only in simulations that show what the check prevents.
  bool catch_up_before_vote = true;
  /// A machine that is not the leader relays join requests to the leader; off only in simulations.
  bool relay_joins = true;
  QuarantineOptions quarantine;
  /// Off only in simulations that show what this prevents.
  bool stop_fatal_requests = true;
};

/// Identifies a connection of a node to this machine.
using SessionId = uint64_t;
/// Identifies a pending call of an operator.
using TicketId = uint64_t;

struct PeerMessage {
  std::string address;
  wire::Envelope envelope;
};
struct SessionMessage {
  SessionId session;
  wire::Envelope envelope;
  /// Further connections that receive the same message, which is encoded only once.
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
  /// Quarantine changes proposed by this machine, for the log.
  std::vector<QuarantineProposal> quarantine;
  /// Suspects that gateways and nodes were warned of, and evidence that is not sufficient yet, for
  /// the log.
  std::vector<RequestIdentity> suspects;
  std::vector<quarantine::CrashFinding> insufficient;
  /// Decisions on trials, for the log.
  std::vector<wire::TrialReply> trials;
};

/// Status of one replica, as reported to operators.
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
  /// Handles a message of another control machine, a node or a gateway.
  /// @param session the connection it arrived on; replies to nodes and gateways are sent there.
  /// @return whether the message is meant for a control machine of this cluster.
  bool OnMessage(Timestamp now, SessionId session, const wire::Envelope& envelope);
  void OnSessionClosed(SessionId session);

  /// Submits a change of an operator. It is always answered by an OperatorReply with this ticket.
  void Submit(Timestamp now, TicketId ticket, const config::Change& change);
  /// Starts a linearizable read of the whole configuration; answered like Submit().
  void ReadConfig(Timestamp now, TicketId ticket);
  /// Starts a linearizable read of the route document alone.
  void ReadDocument(Timestamp now, TicketId ticket);
  /// Returns whether a majority recently confirmed that this machine is up to date.
  bool IsCurrent(Timestamp now) const;

  /// Answers all pending calls with kNoQuorum; for a replica whose disk failed.
  void AbandonPending();
  /// Transfers leadership, disconnects the nodes and rejects new submissions; see Drained().
  void StartShutdown(Timestamp now);
  /// Returns true when no admitted call is pending.
  bool Drained() const;

  ControlOutput TakeOutput();

  /// @param wall_ms milliseconds since the epoch; recorded in later ledger operations, for the
  /// retention of entries only.
  void SetWallClock(int64_t wall_ms) { wall_ms_ = wall_ms; }

  /// Reads the status of this machine and, on the leader, of the group; answered like Submit(), and
  /// within kStatusTimeout. "fully_redundant" is true only if every voter of the full set responded
  /// after the call and holds all committed entries, so that any one of them may be lost.
  void ReadStatus(Timestamp now, TicketId ticket);
  std::vector<ReplicaStatus> Replicas(Timestamp now) const;

  /// Adds machines to send join requests to and to search for unknown members.
  void AddSeeds(const std::vector<std::string>& addresses);

  const ControlState& state() const { return state_; }
  const consensus::Raft& raft() const { return raft_; }
  const quarantine::CrashEvidence& evidence() const { return quarantine_.evidence(); }
  uint64_t applied_index() const { return applied_index_; }
  /// Whether this machine asks to join the group.
  bool asks_to_join() const { return asks_to_join_; }
  size_t session_count() const { return sessions_.size(); }

 private:
  struct Session {
    std::string node;
    uint64_t incarnation = 0;
    uint64_t reported_version = 0;
    uint64_t sent_version = 0;
    Timestamp last_contact{};
    /// A starting node is sent the configuration only after a quorum read, since this machine may
    /// be behind.
    bool admitted = false;
    Timestamp full_sent{};
    /// The quorum read is pending.
    bool awaiting_read = false;
    Timestamp read_requested{};
    /// `sent` of the hello that started the read.
    uint64_t read_hello_sent = 0;
    /// A hello that arrived while this machine had no quorum.
    std::optional<wire::NodeHello> pending_hello;
  };
  /// Where the result of a proposed command goes.
  struct Origin {
    enum class Kind {
      kOperator,
      kLedger,
      kPeer,
      kQuarantine,
      /// The list of suspects, proposed by this machine.
      kSuspects,
      /// A gateway or node that asks for a trial.
      kTrial,
      kNobody,
    } kind = Kind::kOperator;
    TicketId ticket = 0;
    SessionId session = 0;
    MemberId peer = 0;
    /// The request of the ledger's client, or the attempt that asks for a trial.
    uint64_t request = 0;
    RequestIdentity identity;
    Timestamp deadline{};
  };
  /// A command proposed by this leader; valid only while the term is unchanged.
  struct Proposal {
    uint64_t term = 0;
    Origin origin;
    /// Set for changes of operators, which are forwarded if this machine is deposed.
    std::string command;
  };
  /// A command that was forwarded to the leader, which is another machine.
  struct ForwardedCommand {
    Origin origin;
    std::string command;
    /// Leader that it was sent to; zero: there was none.
    MemberId leader = 0;
    Timestamp sent{};
  };
  struct PendingConfigRead {
    TicketId ticket;
    Timestamp deadline;
    bool document_only = false;
    Timestamp asked{};
  };

  // Pending commands.
  void Route(Timestamp now, const absl::StatusOr<std::string>& command, Origin origin);
  void ProposeHere(Timestamp now, const std::string& command, Origin origin);
  void Answer(const Origin& origin, const std::string& result);
  /// Answers that the outcome of the command is unknown on this machine.
  void AnswerNoQuorum(const Origin& origin);
  void ExpirePending(Timestamp now);
  /// Handles a proposal whose entry may have been truncated: repeatable commands are forwarded to
  /// the current leader.
  void AbandonProposal(Timestamp now, Proposal proposal);
  /// Abandons the proposals of terms in which this machine no longer leads.
  void AbandonDeposed(Timestamp now);
  /// Forwards commands again that the leader has not answered in time.
  void RetryForwarded(Timestamp now);
  /// Repeats reads that the leader has not answered in time.
  void RetryReads(Timestamp now);
  void SendForwarded(Timestamp now, uint64_t ticket, ForwardedCommand* forwarded);
  void OnForwarded(Timestamp now, const wire::Forwarded& forwarded);
  void OnForwardedReply(const wire::ForwardedReply& reply);

  // The feed.
  void OnHello(Timestamp now, SessionId id, const wire::NodeHello& hello);
  void AnswerHello(Timestamp now, SessionId id, const wire::NodeHello& hello);
  /// Admits a session to the feed. It learns of the suspects first: with the first feed a gateway
  /// starts to send requests.
  void Admit(SessionId id, Session* session);
  /// Answers the hellos that waited for a quorum.
  void AnswerPendingHellos(Timestamp now);
  void OnLedgerRequest(Timestamp now, SessionId id, const wire::LedgerRequest& request);
  /// @param hello_sent `sent` of the hello that this answers, or 0.
  void Feed(Timestamp now, SessionId id, Session* session, bool full, uint64_t hello_sent);
  void FeedAll(Timestamp now);
  /// Returns the whole configuration as sent to starting nodes; packed once for all of them.
  const std::string& PackedConfig();
  void StartConfigRead(Timestamp now, TicketId ticket, bool document_only);
  OperatorReply ReadReply(const PendingConfigRead& read) const;

  // Requests that crash the leafs that run them.
  /// Records a report and relays it to the other machines unless its sender did. Acknowledges it to
  /// a gateway or node, which repeats it until then.
  void OnRunReport(Timestamp now, SessionId session, const wire::RunReport& report);
  void RelayRunReport(wire::RunReport report);
  /// Proposes to stop or release requests, and notifies the nodes of suspects.
  void UpdateQuarantine(Timestamp now);
  void NotifySuspects();
  /// Tells a new session of all suspects.
  void NotifySession(SessionId id);
  /// On the leader: keeps the replicated list of suspects up to date.
  void ProposeSuspects(Timestamp now);
  void OnTrialRequest(Timestamp now, SessionId session, const wire::TrialRequest& request);
  void AnswerTrial(const Origin& origin, const std::string& result);
  void ReplyToTrial(const Origin& origin, wire::TrialReply reply);

  // Replicas.
  void OnJoin(Timestamp now, const wire::JoinRequest& join);
  /// Relays a join request to the leader, since the new replica knows only a few machines.
  void RelayJoin(const wire::JoinRequest& join);
  /// Sends the address of the leader to the new replica; see wire::JoinReply.
  void ReplyToJoin(const wire::JoinRequest& join);
  /// Decides whether this machine asks to join.
  void UpdateJoining(Timestamp now);
  void SendJoin(Timestamp now);
  void ReplaceLostReplicas(Timestamp now);
  size_t WantedVoters() const;
  bool IsSilentTooLong(const wire::Member& member, Timestamp now) const;
  void UpdateLastContact(Timestamp now);
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
  QuarantineManager quarantine_;
  consensus::Raft raft_;
  uint64_t applied_index_ = 0;
  std::string packed_config_;
  uint64_t packed_version_ = 0;
  int64_t wall_ms_ = 0;
  /// Whether and since when a change of the list of suspects is being decided.
  bool suspects_pending_ = false;
  Timestamp suspects_proposed_{};

  std::map<SessionId, Session> sessions_;
  /// By log index.
  std::map<uint64_t, Proposal> proposals_;
  /// Commands forwarded to the leader, by ticket.
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
  /// Starts at a random number, so that late replies to an earlier incarnation match nothing.
  uint64_t next_ticket_;
  /// Known addresses of machines that sent join requests, and of the leader that replied.
  std::map<MemberId, std::string> join_addresses_;
  /// On the leader: when each member was last known to answer; reset in each term.
  std::map<MemberId, Timestamp> member_last_contact_;
  uint64_t member_last_contact_term_ = 0;
  /// When this machine last led or was contacted by a leader; its start if it never was.
  Timestamp last_led_;
  bool asks_to_join_ = false;
  Timestamp next_join_{};
  bool shutting_down_ = false;
  ControlOutput output_;
};

}  // namespace pumicedyke::control
