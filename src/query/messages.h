// Messages between nodes and leafs, and the answers to callers.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/json.h"
#include "common/request_identity.h"
#include "common/result_code.h"
#include "common/types.h"
#include "query/leaf_payload.h"

namespace pumicedyke::query {

/// One item of a result, ordered by score (highest first), then id.
struct ResultItem {
  std::string id;
  double score = 0;
  std::string text;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ResultItem, id, score, text)

/// One sub-request: one shard of one snapshot, at one leaf.
struct LeafRequest {
  /// Incarnation of the sending node; `id` is unique within it.
  std::string origin;
  SubRequestId id;
  std::string leaf;
  std::string service;
  ShardId shard;
  SnapshotId snapshot;
  std::string query;
  /// Remaining time for the leaf; the network hop is subtracted.
  Duration budget{};
  /// Set for work that must not run twice; such a request is sent on a fresh connection.
  std::string idempotency_key;
  bool repeatable = true;
  /// Tenant of the request; empty: none, or no API keys are required.
  std::string tenant = {};
};

enum class LeafStatus {
  kOk = 0,
  /// Refused before start, as reported by the leaf.
  kSnapshotNotHeld = 1,
  kNotOwner = 2,
  kShed = 3,
  kDraining = 4,
  kCancelledBeforeStart = 5,
  kDeadlineBeforeStart = 6,
  /// Nothing reached the leaf: the connection was refused before any byte was sent.
  kNotSent = 7,
  /// May have run: it failed, or the connection broke after bytes were sent.
  kFailed = 8,
};

/// Whether the status proves that the work never started.
bool ProvesNotRun(LeafStatus status);

struct LeafReply {
  std::string origin;
  SubRequestId id;
  std::string leaf;
  ShardId shard;
  /// The snapshot the reply was computed on.
  SnapshotId snapshot;
  LeafStatus status = LeafStatus::kFailed;
  std::vector<ResultItem> results;
  /// The connection closed without a byte of the response after the request had been sent: the leaf
  /// may have crashed while running it.
  bool connection_lost = false;
  /// The leaf stopped early: the shard is not covered.
  bool truncated = false;
  /// The leaf is draining; set in every reply.
  bool draining = false;
  /// Requests running and queued at the leaf when it replied.
  uint32_t load = 0;
  /// The complete response, for requests that are passed on unparsed; null if there was none.
  std::shared_ptr<const LeafPayload> payload = nullptr;
  /// For the log: what was received in place of a success, such as a status or how the connection
  /// ended.
  std::string failure = {};
};

enum class MissingReason {
  kNone = 0,
  kTimeout,
  kShed,
  kSnapshotNotHeld,
  kUnreachable,
  kTruncated,
  kLeaving,
  kNotSent
};
const char* ReasonName(MissingReason reason);

struct MissingShard {
  ShardId shard;
  MissingReason reason = MissingReason::kNone;
};

/// Shards of the pinned snapshot that an answer includes, and why others are missing.
struct Coverage {
  std::vector<ShardId> included;
  std::vector<MissingShard> missing;
  size_t total() const { return included.size() + missing.size(); }
  double share() const {
    return total() == 0 ? 0.0 : static_cast<double>(included.size()) / static_cast<double>(total());
  }
};

/// The complete response for one shard.
struct ShardPayload {
  ShardId shard;
  std::shared_ptr<const LeafPayload> payload;
};

/// Outcome of one sub-request, for logs and diagnostics.
struct AttemptRecord {
  ShardId shard;
  std::string leaf;
  /// Since the arrival of the request.
  Duration sent{};
  /// "running", "refused", "failed", "lost" (the connection closed without a response) or "done".
  const char* state = "";
  /// Since the arrival of the request; unset while it runs.
  std::optional<Duration> ended = std::nullopt;
  /// As LeafReply::failure.
  std::string failure = {};
};

/// What is known about the execution of a request that gets no complete answer.
enum class RunState { kRan = 0, kNotRun = 1, kUnknown = 2 };
const char* RunStateName(RunState state);

/// A caller's request after validation of its syntax.
struct CallerRequest {
  std::string service;
  std::string query;
  std::string request_class;
  /// Identity of the request and its caller; the same for each attempt.
  RequestIdentity identity;
  /// Zero: the policy's deadline.
  Duration deadline{};
  std::string idempotency_key;
  /// Only these shards; empty means all.
  std::vector<ShardId> shards;
  /// From a continuation token: the snapshot to stay on.
  std::optional<SnapshotId> snapshot;
  size_t limit = 0;
  /// The caller's API key; empty if none was sent.
  std::string api_key;
  /// Tenant of the request as determined by the node; empty: none.
  std::string tenant;
};

struct Answer {
  ResultCode code = ResultCode::kInternal;
  std::string message;
  RunState run = RunState::kNotRun;
  SnapshotId snapshot;
  Coverage coverage;
  std::vector<ResultItem> results;
  ConfigVersion config_version;
  /// Time since the node last received the configuration from a current control machine.
  Duration config_age{};
  std::string continuation;
  Duration retry_after{};
  /// For unrepeatable work: false if the ledger had not recorded the outcome when the answer was
  /// sent, so that a repeated request may not get it yet.
  bool recorded = true;
  /// Sub-requests sent for this answer; extra ones are hedges and retries.
  uint32_t sub_requests = 0;
  uint32_t extra_sub_requests = 0;
  /// Shards abandoned because the budget denied another sub-request.
  uint32_t budget_denied_shards = 0;
  /// For requests that are passed on unparsed: one for each included shard.
  std::vector<ShardPayload> payloads = {};
  /// The latest failure response of a leaf, if a shard is missing because of it.
  std::shared_ptr<const LeafPayload> failure = nullptr;
};

/// Reads a caller's JSON body. @return a numbered error naming the field.
absl::StatusOr<CallerRequest> ParseCallerRequest(const std::string& body,
                                                 const std::string& idempotency_key);
std::string AnswerToJson(const Answer& answer);
absl::StatusOr<Answer> AnswerFromJson(const std::string& text);

Json LeafRequestToJson(const LeafRequest& request);
absl::StatusOr<LeafRequest> LeafRequestFromJson(const std::string& text);
Json LeafReplyToJson(const LeafReply& reply);
absl::StatusOr<LeafReply> LeafReplyFromJson(const std::string& text);

/// A token with which a caller fetches the missing shards of the same snapshot.
std::string EncodeContinuation(const std::string& service, SnapshotId snapshot,
                               const std::vector<MissingShard>& missing);
struct Continuation {
  std::string service;
  SnapshotId snapshot;
  std::vector<ShardId> shards;
};
absl::StatusOr<Continuation> DecodeContinuation(const std::string& token);

}  // namespace pumicedyke::query
