#include "node/ledger_client.h"

#include <utility>

namespace pumicedyke::node {
namespace {

constexpr Duration kRepeatInterval = Milliseconds(200);

}  // namespace

void LedgerClient::Start(Timestamp now, wire::LedgerRequest request) {
  request.request = ids_->Next();
  pending_[request.request] = {request, now, false};
}

std::string LedgerClient::Claim(Timestamp now, const std::string& key, uint64_t fingerprint) {
  std::string owner = origin_ + "." + std::to_string(ids_->Next());
  Start(now, {wire::LedgerOperation::kClaim, key, owner, fingerprint, "", 0});
  return owner;
}

void LedgerClient::AbandonClaim(const std::string& owner) {
  for (auto& [id, pending] : pending_) {
    const bool is_claim = pending.request.operation == wire::LedgerOperation::kClaim;
    if (is_claim && pending.request.owner == owner) {
      pending.abandoned = true;
    }
  }
}

void LedgerClient::Complete(Timestamp now, const std::string& owner, const std::string& key,
                            std::string outcome) {
  Start(now, {wire::LedgerOperation::kComplete, key, owner, 0, std::move(outcome), 0});
}

void LedgerClient::Release(Timestamp now, const std::string& owner, const std::string& key) {
  Start(now, {wire::LedgerOperation::kRelease, key, owner, 0, "", 0});
}

std::optional<LedgerClient::Verdict> LedgerClient::OnReply(Timestamp now,
                                                           const wire::LedgerReply& reply) {
  const auto it = pending_.find(reply.request);
  if (it == pending_.end()) {
    return std::nullopt;
  }
  const Pending pending = it->second;
  pending_.erase(it);
  if (pending.abandoned) {
    if (reply.verdict == wire::LedgerVerdict::kGranted) {
      Release(now, pending.request.owner, pending.request.key);
    }
    return std::nullopt;
  }
  return Verdict{pending.request.operation, pending.request.owner, reply.verdict, reply.outcome};
}

void LedgerClient::RepeatAll(Timestamp now) {
  for (auto& [id, pending] : pending_) {
    pending.next_send = now;
  }
}

std::vector<wire::Envelope> LedgerClient::Tick(Timestamp now) {
  std::vector<wire::Envelope> due;
  for (auto& [id, pending] : pending_) {
    if (now >= pending.next_send) {
      pending.next_send = now + kRepeatInterval;
      due.push_back({cluster_, 0, pending.request});
    }
  }
  return due;
}

}  // namespace pumicedyke::node
