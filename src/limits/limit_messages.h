// Results and outgoing messages of the tenant limits. Plain data.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/types.h"
#include "wire/messages.h"

namespace pumicedyke::limits {

enum class LimitStatus {
  /// A token was taken; the request may start.
  kGranted,
  /// A limit request was sent to a lender; a LimitDecision with the request's id follows.
  kWaiting,
  /// The request exceeds the limit, or no lender could confirm that it does not.
  kRefused,
};

struct LimitResult {
  LimitStatus status = LimitStatus::kGranted;
  /// If refused: the time until tokens are available.
  Duration retry_after{};
};

/// The decision on a waiting request.
struct LimitDecision {
  RequestId id;
  bool granted = false;
  Duration retry_after{};
};

/// A limit request to the lender of an account.
struct OutgoingLimitRequest {
  std::string address;
  wire::LimitRequest ask;
};

/// A reply to a limit request; `session` identifies the requesting gateway's connection.
struct OutgoingLimitGrant {
  uint64_t session = 0;
  wire::LimitGrant grant;
};

struct LimitOutput {
  std::vector<LimitDecision> decisions;
  std::vector<OutgoingLimitRequest> requests;
  std::vector<OutgoingLimitGrant> grants;
};

}  // namespace pumicedyke::limits
