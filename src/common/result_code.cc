#include "common/result_code.h"

#include <algorithm>
#include <string>

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"

namespace pumicedyke {
namespace {

constexpr std::string_view kPayloadUrl = "pumicedyke/result-code";

}  // namespace

const std::vector<ResultCodeInfo>& AllResultCodes() {
  using enum ResultCode;
  static const auto* const table = new std::vector<ResultCodeInfo>{
      {kOk, "ok", 200, "The answer covers every shard."},
      {kPartial, "partial", 200, "The answer covers what the policy asked for, not every shard."},
      {kMalformedRequest, "malformed_request", 400, "The body is not the JSON that was expected."},
      {kUnknownService, "unknown_service", 404, "No service of that name is configured."},
      {kBadDeadline, "bad_deadline", 400, "The deadline is not within the allowed range."},
      {kBodyTooLarge, "body_too_large", 413, "The body exceeds the limit."},
      {kMissingIdempotencyKey, "missing_idempotency_key", 400,
       "An unrepeatable request came without an Idempotency-Key header."},
      {kBadContinuation, "bad_continuation", 400, "The continuation token cannot be read."},
      {kUnknownRequestClass, "unknown_request_class", 400, "The policy rejected the request."},
      {kUnknownPath, "unknown_path", 404, "No such resource."},
      {kIdempotencyKeyReused, "idempotency_key_reused", 422,
       "The Idempotency-Key was used before with another request."},
      {kHeadersTooLarge, "headers_too_large", 431, "The headers exceed the limit."},
      {kRequestTimeout, "request_timeout", 408, "The request did not arrive whole in time."},
      {kUnknownKey, "unknown_key", 401, "The API key is missing or belongs to no tenant."},
      {kOverloaded, "overloaded", 429, "Refused before any work was sent; see Retry-After."},
      {kDeadlineExceeded, "deadline_exceeded", 504, "The deadline passed."},
      {kCoverageNotReached, "coverage_not_reached", 504,
       "Less than the policy's coverage had been reached when the wait ended."},
      {kNoSnapshot, "no_snapshot", 503, "The service has no published snapshot."},
      {kNotReady, "not_ready", 503, "The node has not learned the configuration yet."},
      {kShuttingDown, "shutting_down", 503, "The process is stopping and admits nothing."},
      {kLedgerUnavailable, "ledger_unavailable", 503,
       "The at-most-once ledger could not be reached."},
      {kAlreadyRunning, "already_running", 409,
       "A request with the same Idempotency-Key is running or its outcome is unknown."},
      {kOutcomeUnknown, "outcome_unknown", 504, "The work may have run."},
      {kSnapshotGone, "snapshot_gone", 410, "The snapshot is no longer served."},
      {kStaleConfiguration, "stale_configuration", 503,
       "No control machine in touch with a quorum was reached for too long."},
      {kQuarantined, "quarantined", 503,
       "This very request ended the leafs that ran it; it is sent to none until it is released."},
      {kTenantLimit, "tenant_limit", 429, "The tenant's limit is used up; see Retry-After."},
      {kKeysUnproven, "keys_unproven", 503,
       "It cannot be proved that the API keys known here are still current."},
      {kOnTrial, "on_trial", 503,
       "Leafs ended under this very request, and it is being tried or may not be; see "
       "Retry-After."},
      {kRevisionConflict, "revision_conflict", 409, "The object has another revision by now."},
      {kInvalidConfig, "invalid_config", 400, "A field of the change is not allowed."},
      {kPolicyRejected, "policy_rejected", 400, "The policy program was refused; see the message."},
      {kNotLeader, "not_leader", 503, "This control machine does not lead; ask another."},
      {kNoQuorum, "no_quorum", 503,
       "No quorum answered; resend with the same submission id to learn the outcome."},
      {kUnauthorized, "unauthorized", 401, "The operator token is missing or wrong."},
      {kUnknownObject, "unknown_object", 404, "No object of that name."},
      {kInternal, "internal", 500, "A fault of the system."},
      {kStorageFailed, "storage_failed", 500, "The data folder could not be written or synced."},
      {kCorruptState, "corrupt_state", 500, "A file of the data folder is damaged."},
      {kWrongCluster, "wrong_cluster", 403, "The peer belongs to another cluster."},
  };
  return *table;
}

const ResultCodeInfo& InfoOf(ResultCode code) {
  const auto& rows = AllResultCodes();
  const auto find = [&rows](ResultCode wanted) {
    return std::find_if(rows.begin(), rows.end(),
                        [wanted](const ResultCodeInfo& info) { return info.code == wanted; });
  };
  const auto row = find(code);
  return row != rows.end() ? *row : *find(ResultCode::kInternal);
}

absl::Status MakeStatus(ResultCode code, std::string_view message) {
  absl::Status status(absl::StatusCode::kUnknown,
                      absl::string_view(message.data(), message.size()));
  status.SetPayload(absl::string_view(kPayloadUrl.data(), kPayloadUrl.size()),
                    absl::Cord(std::to_string(static_cast<int>(code))));
  return status;
}

ResultCode CodeOf(const absl::Status& status) {
  if (status.ok()) {
    return ResultCode::kOk;
  }
  const auto payload = status.GetPayload(absl::string_view(kPayloadUrl.data(), kPayloadUrl.size()));
  int number = 0;
  if (!payload.has_value() || !absl::SimpleAtoi(std::string(*payload), &number)) {
    return ResultCode::kInternal;
  }
  return static_cast<ResultCode>(number);
}

}  // namespace pumicedyke
