// The at-most-once ledger: which attempt may run the work of an idempotency key, and its outcome.
// A deterministic state machine over the control log.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "common/json.h"
#include "wire/messages.h"

namespace pumicedyke::ledger {

/// A key is remembered this long after its claim; a request that comes with it later counts as new.
constexpr int64_t kRetentionMilliseconds = int64_t{7} * 24 * 60 * 60 * 1000;

struct Operation {
  wire::LedgerOperation kind = wire::LedgerOperation::kClaim;
  std::string key;
  std::string owner;
  uint64_t fingerprint = 0;
  std::string outcome;
  /// Wall clock of the leader that proposed it; only retention depends on it.
  int64_t time_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Operation, kind, key, owner, fingerprint, outcome, time_ms)

struct Result {
  wire::LedgerVerdict verdict = wire::LedgerVerdict::kHeldByOther;
  std::string outcome;
};

struct Entry {
  std::string owner;
  uint64_t fingerprint = 0;
  bool completed = false;
  std::string outcome;
  int64_t claimed_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Entry, owner, fingerprint, completed, outcome, claimed_ms)

class Ledger {
 public:
  Result Apply(const Operation& operation);
  size_t size() const { return entries_.size(); }

  Json ToJson() const;
  void FromJson(const Json& json);

 private:
  Result Claim(const Operation& operation);
  void Expire();

  std::map<std::string, Entry> entries_;
  /// Keys in order of their claims.
  std::deque<std::string> order_;
  int64_t newest_ms_ = 0;
};

}  // namespace pumicedyke::ledger
