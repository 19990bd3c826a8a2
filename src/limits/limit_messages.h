// What the limits of tenants answer and send. Plain data.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/types.h"
#include "wire/messages.h"

namespace pumicedyke::limits {

enum class LimitVerdict {
  /// Paid for: it may begin.
  kGranted,
  /// Its keeper is being asked: a LimitDecision with its id will come.
  kWaiting,
  /// Beyond the limit, or nobody can say that it is not.
  kRefused,
};

struct LimitAnswer {
  LimitVerdict verdict = LimitVerdict::kGranted;
  /// If refused: when tokens will be there.
  Duration retry_after{};
};

/// The end of a wait.
struct LimitDecision {
  RequestId id;
  bool granted = false;
  Duration retry_after{};
};

/// A question to the gateway that keeps an account.
struct LimitQuestion {
  std::string address;
  wire::LimitAsk ask;
};

/// Word to a gateway that asked; `session` names its connection.
struct LimitWord {
  uint64_t session = 0;
  wire::LimitGrant grant;
};

struct LimitOutput {
  std::vector<LimitDecision> decisions;
  std::vector<LimitQuestion> questions;
  std::vector<LimitWord> words;
};

}  // namespace pumicedyke::limits
