// Typed messages between the system's processes, and the records of the data folder.
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

/// One replica of the control log. Non-voters receive the log but do not count towards a quorum.
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
  /// Echoed by the reply: the send time of an append by the sender's clock, or the ticket of a
  /// read.
  uint64_t context = 0;
  SnapshotData snapshot;
  /// Reply to an append: a stamp of the member's clock. Append or snapshot: the newest stamp that
  /// the leader has from the receiver; zero if there is none or the leader has no proof.
  uint64_t stamp = 0;
  /// With a leader's `stamp`: how long before the arrival of that stamp a majority was last known
  /// to follow the leader. Not negative.
  Duration proof_lag{};
};

struct NodeHello {
  std::string node;
  uint64_t incarnation = 0;
  uint64_t version = 0;
  /// Set until the node has its first configuration. The receiver must then query a quorum.
  bool starting = false;
  /// The node's own clock in microseconds, echoed by the feed that answers this hello.
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
  /// `sent` of the hello that this feed answers; 0 if it answers none.
  uint64_t echo = 0;
  /// How long before writing this feed the sender was last proved by a quorum to have every
  /// acknowledged change. Reduces the freshness that `echo` proves.
  Duration proof_age{};
};

enum class LedgerOperation : uint32_t { kClaim = 1, kComplete = 2, kRelease = 3 };

struct LedgerRequest {
  LedgerOperation operation = LedgerOperation::kClaim;
  std::string key;
  /// The attempt that sends the request: node, incarnation and number. Never used again.
  std::string owner;
  /// Hash of the request that the key stands for, to detect a key that is used for two requests.
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
  /// Forwarded to the leader by a follower; not forwarded again.
  bool relayed = false;
};

/// Reports the leader's address to a joining machine, which does not know any members yet.
struct JoinReply {
  MemberId leader = 0;
  std::string address;
};

/// A command that a follower forwards to the leader.
struct Forwarded {
  MemberId origin = 0;
  uint64_t ticket = 0;
  std::string command;
};

struct ForwardedReply {
  uint64_t ticket = 0;
  std::string result;
};

/// A leaf as one control machine knows it from its heartbeats.
struct LeafRecord {
  std::string leaf;
  std::string service;
  /// IP number and port.
  std::string address;
  std::string zone;
  uint32_t slots = 1;
  bool draining = false;
  /// For how much longer the leaf is slow after its start, as of its first heartbeat.
  uint64_t cold_milliseconds = 0;
  /// Start time of this incarnation of the leaf, by its own clock in milliseconds since the epoch.
  /// Zero: not reported. A leaf may restart with the same id.
  uint64_t born_ms = 0;
  bool operator==(const LeafRecord&) const = default;
};

/// A gateway's heartbeat to a control machine.
struct GatewayPresence {
  std::string node;
  uint64_t incarnation = 0;
  /// Address for clients.
  std::string address;
  std::string zone;
  /// False: clients must not, or no longer, be sent to this gateway.
  bool serving = false;
  /// Version of this control machine's list of leafs that the gateway has.
  uint64_t leaf_version = 0;
  /// Address for other gateways. Empty: none.
  std::string peer_address = {};
  /// Requests the list of other gateways from this control machine. The gateway has version
  /// `peers_version` of it.
  bool wants_peers = false;
  uint64_t peers_version = 0;
  /// Whether the gateway has sent any request to a leaf since it started.
  bool used = false;
};

/// A serving gateway as other gateways know it.
struct GatewayRecord {
  std::string node;
  std::string zone;
  std::string peer_address;
  /// Address for clients.
  std::string address = {};
  bool operator==(const GatewayRecord&) const = default;
};

/// Changes among the gateways that send heartbeats to one control machine.
struct GatewayFeed {
  /// Zero: `peers` is the full list. Otherwise it lists the changes since that version.
  uint64_t from_version = 0;
  uint64_t version = 0;
  std::vector<GatewayRecord> peers;
  /// Gateways that are removed or no longer serving.
  std::vector<std::string> removed;
};

/// Requests that another gateway gathers a group of shards, each a service, and merges their
/// results. The sender's document names the shards, so that the results of all groups are based on
/// the same document.
struct PartialQuery {
  /// Unique among the sender's partial queries.
  uint64_t id = 0;
  std::string route;
  /// The client's own name for its attempt.
  std::string request_id;
  /// Identifies the content and the caller of the request.
  RequestIdentity identity;
  std::string method;
  /// Method, target and headers as sent to every leaf.
  std::string head;
  std::string payload;
  /// Time left for the whole request when this message was written.
  Duration budget{};
  /// The results available after this time are reported together; later ones as they arrive.
  Duration report_after{};
  Duration objective{};
  uint32_t top_records = 0;
  /// Maximum number of leafs that the sub-request of a shard may be sent to.
  uint32_t max_attempts = 1;
  /// Another gateway got this group before and may have sent sub-requests, so every sub-request
  /// counts as extra load.
  bool reassigned = false;
  /// No sub-request may be sent before the query is confirmed (PartialConfirm).
  bool await_confirmation = false;
  /// Number of groups that the sender divided all shards into.
  uint32_t groups = 1;
  std::vector<std::string> shards;
  /// Allowed regions: only their leafs may get sub-requests. Empty: any.
  std::vector<std::string> allowed_regions;
  /// The caller's tenant. Empty: none, or the document has no tenants.
  std::string tenant;
  /// Zero is the most urgent.
  uint32_t priority = 0;
};

struct PartialCancel {
  uint64_t id = 0;
  /// No caller waits for the result any more, so running sub-requests must be stopped.
  bool stop_work = false;
};

/// Confirms that the sender of a partial query knows it was accepted and will not send it to
/// another gateway. From then on each shard may get up to `max_attempts` sub-requests; before that
/// only one, or none with `await_confirmation`.
struct PartialConfirm {
  uint64_t id = 0;
};

enum class PartialStage : uint32_t {
  /// The query was accepted. Repeated as a keep-alive.
  kAccepted = 1,
  /// Further shard results.
  kShardResults = 2,
  /// The final message.
  kDone = 3,
  /// The query was refused: no sub-request was or will be sent.
  kRefused = 4,
};

/// The result of one shard, given by its index in the partial query.
struct ShardResult {
  uint32_t shard = 0;
  std::string signature;
};

/// A shard without a result, with a query::MissingReason.
struct MissingShard {
  uint32_t shard = 0;
  uint32_t reason = 0;
};

/// Response of the gateway that merges a group. Each shard result is sent once.
struct PartialAnswer {
  uint64_t id = 0;
  PartialStage stage = PartialStage::kAccepted;
  std::vector<ShardResult> parts;
  /// The top records of these shard results.
  std::string records;
  /// Shards that will have no result. The final message lists all missing shards.
  std::vector<MissingShard> gaps;
  /// A query::RunState, in the final message only.
  uint32_t run = 0;
  /// Sub-requests beyond the first of each shard.
  uint32_t extra = 0;
};

/// A sub-request whose connection ended without a response.
struct LostRun {
  RequestIdentity identity;
  /// Distinguishes the client's attempts at the same request.
  uint64_t attempt = 0;
  std::string leaf;
  std::string service;
  /// Number of the trial that the run was part of; zero: none.
  uint32_t trial = 0;
};

/// Reports to the control machines which runs of a gateway or node were lost with their leaf, and
/// which requests and leafs were cleared since. The control machine that receives a report forwards
/// it to the others.
struct RunReport {
  std::vector<LostRun> lost;
  /// Requests that lost runs before and have succeeded since.
  std::vector<RequestIdentity> succeeded;
  /// Leafs that lost runs before and are still alive.
  std::vector<std::string> alive_leafs;
  /// Already forwarded, or sent to every control machine by its reporter; not forwarded again.
  bool relayed = false;
  /// Identifies the reporting process and its incarnation.
  uint64_t reporter = 0;
  /// Sequence number of the report; a repeated one counts once. Zero: reports are not numbered.
  uint64_t number = 0;
  /// Age of the observation when the report was sent.
  Duration age{};
  /// Forwarded by a control machine, which awaits no acknowledgement.
  bool from_control = false;
};

/// Acknowledges the report of this number. Sent by control machines in contact with a quorum.
struct RunReportAck {
  uint64_t number = 0;
};

/// Warns of suspect requests: they were running at several leafs when these ended, and have not
/// succeeded since. The receiver tries such a request at a single leaf first.
struct SuspectNotice {
  std::vector<RequestIdentity> requests;
};

/// Asks a control machine for permission to try a suspect request, or returns a permission that was
/// not used. Permissions are counted for the whole fleet. Repeating the message changes nothing.
struct TrialRequest {
  RequestIdentity identity;
  /// The client's attempt, as in LostRun.
  uint64_t attempt = 0;
  /// Number of the trial that is returned; zero: permission is requested.
  uint32_t returned = 0;
};

enum class TrialVerdict : uint8_t {
  kGranted = 0,
  /// Another trial has just begun, or too many have failed.
  kDenied = 1,
  /// The request has succeeded since it became a suspect.
  kNotNeeded = 2,
};

/// Returns the name of a verdict in logs and metrics.
constexpr const char* TrialVerdictName(TrialVerdict verdict) {
  switch (verdict) {
    case TrialVerdict::kGranted:
      return "granted";
    case TrialVerdict::kNotNeeded:
      return "not_needed";
    default:
      return "denied";
  }
}

/// The answer to a request for permission.
struct TrialReply {
  RequestIdentity identity;
  uint64_t attempt = 0;
  TrialVerdict verdict = TrialVerdict::kDenied;
  /// Number of the granted trial, counted from 1.
  uint32_t number = 0;
  /// When to ask again after a denial.
  Duration retry_after{};
};

/// Changes among the leafs that report to one control machine.
struct LeafFeed {
  /// Zero: `records` is the full list. Otherwise it lists the changes since that version.
  uint64_t from_version = 0;
  uint64_t version = 0;
  std::vector<LeafRecord> records;
  /// Leafs that were removed or whose heartbeats timed out.
  std::vector<std::string> removed;
  /// Frame addresses of the control machines known to the sender. Set if the receiver's connection
  /// is new or the addresses have changed.
  std::vector<std::string> control;
  /// Number of gateways known to the sender.
  uint32_t gateways = 0;
  /// The sender's zone.
  std::string zone = {};
  /// Whether the sender is in contact with a quorum, as far as it can know.
  bool current = false;
  /// Whether any gateway has told the sender that it has sent a request to a leaf.
  bool gateways_used = false;
};

/// A limit request. Asks the gateway that is the lender of a tenant's account for the right to send
/// requests of the tenant, returns unused tokens, or claims the account for the sender.
struct LimitRequest {
  /// Unique among the sender's limit requests.
  uint64_t id = 0;
  std::string tenant;
  /// Index of the account among the tenant's accounts.
  uint32_t part = 0;
  uint32_t wanted = 0;
  /// The sender becomes the lender of the account.
  bool claim = false;
  /// Unused tokens of the grant for the limit request `returned_of`.
  uint32_t returned = 0;
  uint64_t returned_of = 0;
};

enum class LimitStage : uint32_t {
  kGranted = 1,
  /// No tokens are left for now.
  kExhausted = 2,
  /// The receiver is not the lender of the account, or cannot yet rule out that another gateway is.
  kNotLender = 3,
};

/// Answers a LimitRequest.
struct LimitGrant {
  uint64_t id = 0;
  std::string tenant;
  LimitStage stage = LimitStage::kNotLender;
  /// Tokens lent. If a claim is granted: the balance of the account, transferred to the sender of
  /// the claim.
  uint32_t granted = 0;
  /// Granted tokens may be used for this long after the limit request was sent.
  Duration lifetime{};
  /// If exhausted: time until tokens are available.
  Duration retry_after{};
};

using Body =
    std::variant<RaftMessage, NodeHello, ConfigFeed, LedgerRequest, LedgerReply, JoinRequest,
                 Forwarded, ForwardedReply, GatewayPresence, LeafFeed, JoinReply, GatewayFeed,
                 PartialQuery, PartialCancel, PartialAnswer, PartialConfirm, RunReport,
                 SuspectNotice, LimitRequest, LimitGrant, RunReportAck, TrialRequest, TrialReply>;

struct Envelope {
  std::string cluster;
  /// The sender's configuration version, by which a peer with a stale one detects it at once.
  uint64_t version = 0;
  Body body;
};

struct HardState {
  uint64_t term = 0;
  MemberId vote = 0;
  bool operator==(const HardState&) const = default;
};

/// Identifies the cluster, the machine and the incarnation that a data folder belongs to.
struct Identity {
  MemberId member = 0;
  std::string cluster;
  std::string machine;
};

using StorageRecord = std::variant<LogEntry, HardState, SnapshotData, Identity>;

}  // namespace pumicedyke::wire
