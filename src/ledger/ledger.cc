#include "ledger/ledger.h"

#include <algorithm>
#include <utility>

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
    // An attempt releases its claim only if it knows that none of its work ran.
    if (!it->second.completed) {
      it->second.released.insert(std::exchange(it->second.owner, ""));
    }
    return {LedgerVerdict::kRecorded, ""};
  }
  it->second.completed = true;
  it->second.outcome = operation.outcome;
  return {LedgerVerdict::kRecorded, ""};
}

Result Ledger::Claim(const Operation& operation) {
  Entry& entry = entries_[operation.key];
  if (entry.released.contains(operation.owner)) {
    return {LedgerVerdict::kHeldByOther, ""};
  }
  if (entry.owner.empty()) {
    entry.owner = operation.owner;
    entry.fingerprint = operation.fingerprint;
    entry.claimed_ms = newest_ms_;
    order_.emplace_back(newest_ms_, operation.key);
    return {LedgerVerdict::kGranted, ""};
  }
  if (entry.fingerprint != operation.fingerprint) {
    return {LedgerVerdict::kFingerprintMismatch, ""};
  }
  if (entry.completed) {
    return {LedgerVerdict::kCompleted, entry.outcome};
  }
  // A repeated claim of the same attempt means that the first reply was lost; the attempt has not
  // dispatched anything yet.
  const bool same_attempt = entry.owner == operation.owner;
  return {same_attempt ? LedgerVerdict::kGranted : LedgerVerdict::kHeldByOther, ""};
}

void Ledger::Expire() {
  while (!order_.empty() && newest_ms_ - order_.front().first >= kRetentionMilliseconds) {
    const auto it = entries_.find(order_.front().second);
    if (it != entries_.end() && it->second.claimed_ms == order_.front().first) {
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
