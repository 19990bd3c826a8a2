#include "ledger/ledger.h"

#include <algorithm>

namespace pumicedyke::ledger {

using wire::LedgerOperation;
using wire::LedgerVerdict;

Result Ledger::Apply(const Operation& operation) {
  // A leader with a slow wall clock must not make time go backward.
  newest_ms_ = std::max(newest_ms_, operation.time_ms);
  Expire();
  if (operation.kind == LedgerOperation::kClaim) {
    return Claim(operation);
  }
  const auto it = entries_.find(operation.key);
  if (it == entries_.end() || it->second.owner != operation.owner) {
    return {LedgerVerdict::kHeldByOther, ""};
  }
  if (operation.kind == LedgerOperation::kRelease) {
    // Only an attempt that knows that nothing of it ran gives its claim back.
    if (!it->second.completed) {
      entries_.erase(it);
    }
    return {LedgerVerdict::kRecorded, ""};
  }
  it->second.completed = true;
  it->second.outcome = operation.outcome;
  return {LedgerVerdict::kRecorded, ""};
}

Result Ledger::Claim(const Operation& operation) {
  const auto it = entries_.find(operation.key);
  if (it == entries_.end()) {
    entries_[operation.key] = {operation.owner, operation.fingerprint, false, "", newest_ms_};
    order_.push_back(operation.key);
    return {LedgerVerdict::kGranted, ""};
  }
  const Entry& entry = it->second;
  if (entry.fingerprint != operation.fingerprint) {
    return {LedgerVerdict::kFingerprintMismatch, ""};
  }
  if (entry.completed) {
    return {LedgerVerdict::kCompleted, entry.outcome};
  }
  // The same attempt asking again lost the first reply; it has not dispatched anything yet.
  const bool same_attempt = entry.owner == operation.owner;
  return {same_attempt ? LedgerVerdict::kGranted : LedgerVerdict::kHeldByOther, ""};
}

void Ledger::Expire() {
  while (!order_.empty()) {
    const auto it = entries_.find(order_.front());
    if (it != entries_.end() && newest_ms_ - it->second.claimed_ms < kRetentionMilliseconds) {
      return;
    }
    if (it != entries_.end()) {
      entries_.erase(it);
    }
    order_.pop_front();
  }
}

Json Ledger::ToJson() const {
  return Json{{"entries", entries_}, {"order", order_}, {"newest_ms", newest_ms_}};
}

void Ledger::FromJson(const Json& json) {
  json.at("entries").get_to(entries_);
  json.at("order").get_to(order_);
  json.at("newest_ms").get_to(newest_ms_);
}

}  // namespace pumicedyke::ledger
