#include "quarantine/trial_client.h"

#include <algorithm>

namespace pumicedyke::quarantine {
namespace {

/// Retry hint after a question that no control machine has answered.
constexpr Duration kRetryWithoutAnswer = Milliseconds(500);

}  // namespace

bool TrialClient::Ask(Timestamp now, RequestId request, const RequestIdentity& identity,
                      uint64_t attempt) {
  if (waiting_.size() >= options_.max_waiting) {
    return false;
  }
  return waiting_.try_emplace(attempt, Waiting{identity, request, now, now}).second;
}

void TrialClient::Withdraw(RequestId request) {
  std::erase_if(waiting_, [request](const auto& item) { return item.second.request == request; });
}

void TrialClient::Return(const RequestIdentity& identity, uint64_t attempt, uint32_t number) {
  returned_.push_back({identity, attempt, number});
}

std::optional<TrialOutcome> TrialClient::OnReply(Timestamp now, const wire::TrialReply& reply) {
  const auto found = waiting_.find(reply.attempt);
  if (found == waiting_.end() || found->second.identity != reply.identity) {
    return std::nullopt;
  }
  const Waiting waiting = found->second;
  waiting_.erase(found);
  return TrialOutcome{.request = waiting.request,
                      .verdict = reply.verdict,
                      .number = reply.number,
                      .retry_after = reply.retry_after,
                      .waited = now - waiting.asked};
}

std::vector<TrialOutcome> TrialClient::TakeOverdue(Timestamp now) {
  std::vector<TrialOutcome> overdue;
  std::erase_if(waiting_, [&](const auto& item) {
    const bool is_overdue = now - item.second.asked >= options_.max_wait;
    if (is_overdue) {
      overdue.push_back({.request = item.second.request,
                         .retry_after = kRetryWithoutAnswer,
                         .waited = now - item.second.asked,
                         .answered = false});
    }
    return is_overdue;
  });
  return overdue;
}

std::vector<wire::TrialRequest> TrialClient::TakeMessages(Timestamp now) {
  std::vector<wire::TrialRequest> messages = std::exchange(returned_, {});
  for (auto& [attempt, waiting] : waiting_) {
    if (now >= waiting.next_send) {
      waiting.next_send = now + options_.repeat;
      messages.push_back({waiting.identity, attempt, 0});
    }
  }
  return messages;
}

std::optional<Timestamp> TrialClient::next() const {
  std::optional<Timestamp> next;
  for (const auto& [attempt, waiting] : waiting_) {
    const Timestamp due = std::min(waiting.next_send, waiting.asked + options_.max_wait);
    next = std::min(next.value_or(due), due);
  }
  return next;
}

}  // namespace pumicedyke::quarantine
