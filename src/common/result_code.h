// Numbered results reported to callers and operators. The table in docs/RESULT_CODES.md lists each
// one; a test compares the two.
#pragma once

#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace pumicedyke {

enum class ResultCode : int {
  kOk = 0,
  kPartial = 1,
  // Requests that callers must correct.
  kMalformedRequest = 100,
  kUnknownService = 101,
  kBadDeadline = 102,
  kBodyTooLarge = 103,
  kMissingIdempotencyKey = 104,
  kBadContinuation = 105,
  kUnknownRequestClass = 106,
  kUnknownPath = 107,
  kIdempotencyKeyReused = 108,
  kHeadersTooLarge = 109,
  kRequestTimeout = 110,
  kUnknownKey = 111,
  // Requests that could not be served.
  kOverloaded = 200,
  kDeadlineExceeded = 201,
  kCoverageNotReached = 202,
  kNoSnapshot = 203,
  kNotReady = 204,
  kShuttingDown = 205,
  kLedgerUnavailable = 206,
  kAlreadyRunning = 207,
  kOutcomeUnknown = 208,
  kSnapshotGone = 209,
  kStaleConfiguration = 210,
  kQuarantined = 211,
  kTenantLimit = 212,
  kKeysUnproven = 213,
  kOnTrial = 214,
  // Operators' requests.
  kRevisionConflict = 300,
  kInvalidConfig = 301,
  kPolicyRejected = 302,
  kNotLeader = 303,
  kNoQuorum = 304,
  kUnauthorized = 305,
  kUnknownObject = 306,
  // The system's own faults.
  kInternal = 900,
  kStorageFailed = 901,
  kCorruptState = 902,
  kWrongCluster = 903,
};

struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  /// HTTP status of responses with this code.
  int http_status;
  std::string_view meaning;
};

/// Every code, in ascending order.
const std::vector<ResultCodeInfo>& AllResultCodes();

/// @return the entry of `code`, or that of kInternal if the number is not listed.
const ResultCodeInfo& InfoOf(ResultCode code);

/// Makes a status that carries `code`, to be read with CodeOf().
absl::Status MakeStatus(ResultCode code, std::string_view message);

/// @return the code that the status was made with; kOk for OK, kInternal if it carries none.
ResultCode CodeOf(const absl::Status& status);

}  // namespace pumicedyke
