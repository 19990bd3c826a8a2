// The at-most-once ledger records which attempt may run the work of an idempotency key, and its
// outcome. A deterministic state machine over the control log.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "common/json.h"
#include "wire/messages.h"

namespace pumicedyke::ledger {

/// A key is retained this long after its claim. A later request with the same key counts as new.
constexpr int64_t kRetentionMilliseconds = int64_t{7} * 24 * 60 * 60 * 1000;

struct Operation {
  wire::LedgerOperation kind = wire::LedgerOperation::kClaim;
  std::string key;
  std::string owner;
  uint64_t fingerprint = 0;
  std::string outcome;
  /// Wall clock of the leader that proposed the operation; only retention depends on it.
  int64_t time_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Operation, kind, key, owner, fingerprint, outcome, time_ms)

struct Result {
  wire::LedgerVerdict verdict = wire::LedgerVerdict::kHeldByOther;
  std::string outcome;
};

struct Entry {
  /// Empty while the key is free.
  std::string owner;
  /// Attempts that released the key. A late duplicate of their claim must not take it again, as no
  /// process waits for the verdict any more.
  std::set<std::string> released;
  uint64_t fingerprint = 0;
  bool completed = false;
  std::string outcome;
  int64_t claimed_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Entry, owner, released, fingerprint, completed, outcome,
                                   claimed_ms)

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
  /// Claims by time, oldest first. A key that was claimed again appears twice.
  std::deque<std::pair<int64_t, std::string>> order_;
  int64_t newest_ms_ = 0;
};

}  // namespace pumicedyke::ledger
