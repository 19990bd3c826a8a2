// Typed messages between the system's own processes, and the records of the data folder.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/request_identity.h"
#include "common/types.h"

namespace pumicedyke::wire {

enum class EntryKind : uint32_t { kNoOp = 0, kCommand = 1, kMembership = 2 };

struct LogEntry {
  uint64_t index = 0;
  uint64_t term = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string data;
  bool operator==(const LogEntry&) const = default;
};

/// One replica of the control log. Non-voters receive the log and count in no quorum.
struct Member {
  MemberId id = 0;
  std::string machine;
  std::string address;
  bool voter = false;
  bool operator==(const Member&) const = default;
};

struct SnapshotData {
  uint64_t index = 0;
  uint64_t term = 0;
  std::vector<Member> members;
  std::string state;
};

enum class RaftMessageType : uint32_t {
  kPreVote = 1,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,
  kAppendReply,
  kSnapshot,
  kTimeoutNow,
  kReadIndex,
  kReadIndexReply,
};

/// A message of the replicated log (Ongaro, "Consensus: Bridging Theory and Practice", 2014).
struct RaftMessage {
  RaftMessageType type = RaftMessageType::kAppend;
  MemberId from = 0;
  MemberId to = 0;
  uint64_t term = 0;
  uint64_t log_index = 0;
  uint64_t log_term = 0;
  uint64_t commit = 0;
  std::vector<LogEntry> entries;
  bool reject = false;
  /// Echoed by the reply: the send time of an append in the sender's clock, or a read's ticket.
  uint64_t context = 0;
  SnapshotData snapshot;
  /// Reply to an append: a mark of the member's clock. Append or snapshot: the newest mark that the
  /// leader has from its receiver, zero if there is none or the leader has no proof.
  uint64_t stamp = 0;
  /// With a leader's `stamp`: how long before that mark came in a majority was last known to follow
  /// the leader, at most zero.
  Duration proof_lag{};
};

struct NodeHello {
  std::string node;
  uint64_t incarnation = 0;
  uint64_t version = 0;
  /// Set until the node has learned a first configuration: the receiver must then ask a quorum.
  bool starting = false;
  /// The node's own clock in microseconds; the feed that answers this greeting echoes it.
  uint64_t sent = 0;
};

struct ConfigChange {
  uint64_t version = 0;
  /// Packed (wire/packing.h).
  std::string command;
};

struct ConfigFeed {
  uint64_t version = 0;
  bool full = false;
  /// Packed (wire/packing.h).
  std::string state;
  std::vector<ConfigChange> changes;
  /// `sent` of the greeting this answers; 0 if it answers none.
  uint64_t echo = 0;
  /// How long before this was written the sender was last proved, by word of a quorum, to miss no
  /// acknowledged change. Counts against the freshness that `echo` proves.
  Duration proof_age{};
};

enum class LedgerOperation : uint32_t { kClaim = 1, kComplete = 2, kRelease = 3 };

struct LedgerRequest {
  LedgerOperation operation = LedgerOperation::kClaim;
  std::string key;
  /// The attempt that asks: node, incarnation and number; unique for ever.
  std::string owner;
  /// Hash of what the key stands for, so that a key used for two requests is noticed.
  uint64_t fingerprint = 0;
  std::string outcome;
  uint64_t request = 0;
};

enum class LedgerVerdict : uint32_t {
  kGranted = 1,
  kHeldByOther = 2,
  kCompleted = 3,
  kFingerprintMismatch = 4,
  kRecorded = 5,
};

struct LedgerReply {
  uint64_t request = 0;
  LedgerVerdict verdict = LedgerVerdict::kHeldByOther;
  std::string outcome;
};

struct JoinRequest {
  MemberId member = 0;
  std::string machine;
  std::string address;
  /// Passed on to the leader by a machine that does not lead; goes no further.
  bool relayed = false;
};

/// The leader tells a newcomer, which knows no members yet, where it is reached.
struct JoinReply {
  MemberId leader = 0;
  std::string address;
};

/// A command that a follower passes to the leader.
struct Forwarded {
  MemberId origin = 0;
  uint64_t ticket = 0;
  std::string command;
};

struct ForwardedReply {
  uint64_t ticket = 0;
  std::string result;
};

/// A leaf as one control machine knows it from the leaf's heartbeats.
struct LeafRecord {
  std::string leaf;
  std::string service;
  /// IP number and port.
  std::string address;
  std::string zone;
  uint32_t slots = 1;
  bool draining = false;
  /// How much longer the leaf is slow from its start, when it was first heard of.
  uint64_t cold_milliseconds = 0;
  /// When this life of the leaf began, by its own clock in milliseconds since the epoch; zero: it
  /// did not say. A leaf may start again under the same id.
  uint64_t born_ms = 0;
  bool operator==(const LeafRecord&) const = default;
};

/// A gateway's word to a control machine that it is there; its heartbeat.
struct GatewayPresence {
  std::string node;
  uint64_t incarnation = 0;
  /// Where clients reach it.
  std::string address;
  std::string zone;
  /// False: clients must not be sent there (any more).
  bool serving = false;
  /// Version of this control machine's leafs that the gateway holds.
  uint64_t leaf_version = 0;
  /// Where other gateways reach it; empty: nowhere.
  std::string peer_address = {};
  /// The gateway wants to hear of other gateways from this control machine, of which it holds the
  /// list of version `peers_version`.
  bool wants_peers = false;
  uint64_t peers_version = 0;
};

/// A gateway that serves, as other gateways know it.
struct GatewayRecord {
  std::string node;
  std::string zone;
  std::string peer_address;
  /// Where clients reach it.
  std::string address = {};
  bool operator==(const GatewayRecord&) const = default;
};

/// What changed among the gateways that one control machine hears of.
struct GatewayFeed {
  /// Zero: `peers` is everything; else what changed since that version.
  uint64_t from_version = 0;
  uint64_t version = 0;
  std::vector<GatewayRecord> peers;
  /// Gateways that are gone or no longer serve.
  std::vector<std::string> gone;
};

/// One gateway asks another to gather a group of shards, each a service, and to merge their parts.
/// The shards are named by the sender's document, so that the parts of all groups come from one.
struct PartialQuery {
  /// Unique among the sender's questions.
  uint64_t id = 0;
  std::string route;
  /// The client's own name for its attempt.
  std::string request_id;
  /// What is asked for and for whom.
  RequestIdentity identity;
  std::string method;
  /// Method, target and headers as they go to every leaf.
  std::string head;
  std::string payload;
  /// Time left for the whole request when this was written.
  Duration budget{};
  /// What is in by then is reported; later parts as they come.
  Duration report_after{};
  Duration objective{};
  uint32_t top_records = 0;
  /// Leafs that each shard may be sent to.
  uint32_t max_attempts = 1;
  /// Another gateway was asked before and may have sent: every sub-request counts as extra load.
  bool again = false;
  /// Nothing may be sent to a leaf before this is confirmed (PartialConfirm).
  bool stand_by = false;
  /// Groups that the sender cut all shards into.
  uint32_t groups = 1;
  std::vector<std::string> shards;
  /// Regions whose leafs alone may be asked; empty: any.
  std::vector<std::string> homes;
  /// Whose request it is; empty: nobody's, or the document has no tenants.
  std::string tenant;
  /// Zero is the most urgent.
  uint32_t priority = 0;
};

struct PartialCancel {
  uint64_t id = 0;
  /// Nobody waits any more: work at leafs must end.
  bool stop_work = false;
};

/// The gateway that asked has heard that its question was taken: it asks nobody else from now on,
/// and each shard may be sent to as often as the question says. Until then: once, or never if the
/// question said so.
struct PartialConfirm {
  uint64_t id = 0;
};

enum class PartialStage : uint32_t {
  /// The question was taken; also repeated as a sign of life.
  kAccepted = 1,
  /// Some more parts.
  kParts = 2,
  /// The last word.
  kDone = 3,
  /// Nothing was sent to any leaf, and nothing will be.
  kRefused = 4,
};

/// The part of one shard, by its place in the question.
struct PartialPart {
  uint32_t shard = 0;
  std::string signature;
};

/// A shard that gives no part, with a query::MissingReason.
struct PartialGap {
  uint32_t shard = 0;
  uint32_t reason = 0;
};

/// Word of the gateway that merges a group; parts are told once.
struct PartialAnswer {
  uint64_t id = 0;
  PartialStage stage = PartialStage::kAccepted;
  std::vector<PartialPart> parts;
  /// The greatest records of these parts.
  std::string records;
  /// Shards of which no part will come. The last word names all that are missing.
  std::vector<PartialGap> gaps;
  /// A query::RunState, with the last word only.
  uint32_t run = 0;
  /// Sub-requests beyond the first of each shard.
  uint32_t extra = 0;
};

/// One sub-request whose connection ended without an answer.
struct LostRun {
  RequestIdentity identity;
  /// Tells the client's attempts at the same request apart.
  uint64_t attempt = 0;
  std::string leaf;
  std::string service;
};

/// A gateway or node tells control of runs that were lost with their leaf, and what has proved
/// harmless since. Control machines that don't lead pass a node's report on.
struct RunReport {
  std::vector<LostRun> lost;
  /// Requests that lost runs before and have now succeeded.
  std::vector<RequestIdentity> succeeded;
  /// Leafs at which runs were lost before and which live all the same.
  std::vector<std::string> answering;
  /// Passed on already, or sent to every control machine.
  bool relayed = false;
  /// Names this life of the process that reports.
  uint64_t reporter = 0;
  /// Counts its reports: one that comes again counts once. Zero: reports are not counted.
  uint64_t number = 0;
  /// How long ago this was seen, when it was told.
  Duration age{};
};

/// A control machine that is in touch with a quorum has taken the report of this number.
struct RunReportTaken {
  uint64_t number = 0;
};

/// Control warns of requests that were at several leafs as these ended, and succeeded nowhere
/// since: whoever gets one tries it at one leaf first.
struct SuspectNotice {
  std::vector<RequestIdentity> requests;
};

/// What changed among the leafs that report to one control machine.
struct LeafFeed {
  /// Zero: `records` is everything; else what changed since that version.
  uint64_t from_version = 0;
  uint64_t version = 0;
  std::vector<LeafRecord> records;
  /// Leafs that are gone or silent.
  std::vector<std::string> gone;
  /// Frame addresses of the control machines known to the sender, when the receiver's connection is
  /// new or they have changed.
  std::vector<std::string> control;
  /// Gateways known to the sender.
  uint32_t gateways = 0;
  /// Where the sender is.
  std::string zone = {};
  /// The sender is in touch with a quorum, as far as it can know.
  bool current = false;
};

/// A gateway asks one that keeps an account of a tenant for the right to send requests of it, gives
/// back what it did not use, or claims the account itself.
struct LimitAsk {
  /// Unique among the sender's questions.
  uint64_t id = 0;
  std::string tenant;
  /// Which of the tenant's accounts.
  uint32_t part = 0;
  uint32_t wanted = 0;
  /// The sender keeps the account from now on.
  bool claim = false;
  /// Lent by the answer to the question `returned_of` and not used.
  uint32_t returned = 0;
  uint64_t returned_of = 0;
};

enum class LimitStage : uint32_t {
  kGranted = 1,
  /// Nothing is left for now.
  kExhausted = 2,
  /// Does not keep the account, or cannot tell yet that nobody else does.
  kNotKeeper = 3,
};

/// Answers a LimitAsk.
struct LimitGrant {
  uint64_t id = 0;
  std::string tenant;
  LimitStage stage = LimitStage::kNotKeeper;
  /// Lent; to a claim that is granted: what the account holds, which goes over to the claimer.
  uint32_t granted = 0;
  /// What is granted may be used for this long after the question was sent.
  Duration lifetime{};
  /// If exhausted: when tokens will be there.
  Duration retry_after{};
};

using Body =
    std::variant<RaftMessage, NodeHello, ConfigFeed, LedgerRequest, LedgerReply, JoinRequest,
                 Forwarded, ForwardedReply, GatewayPresence, LeafFeed, JoinReply, GatewayFeed,
                 PartialQuery, PartialCancel, PartialAnswer, PartialConfirm, RunReport,
                 SuspectNotice, LimitAsk, LimitGrant, RunReportTaken>;

struct Envelope {
  std::string cluster;
  /// The sender's configuration version, so that a stale peer notices at once.
  uint64_t version = 0;
  Body body;
};

struct HardState {
  uint64_t term = 0;
  MemberId vote = 0;
  bool operator==(const HardState&) const = default;
};

/// What a data folder is: whose, and which incarnation of it.
struct Identity {
  MemberId member = 0;
  std::string cluster;
  std::string machine;
};

using StorageRecord = std::variant<LogEntry, HardState, SnapshotData, Identity>;

}  // namespace pumicedyke::wire
