#include "node/held_answers.h"

#include <utility>

namespace pumicedyke::node {

void HeldAnswers::Hold(const std::string& owner, CallerAnswer answer, Timestamp until) {
  held_.insert_or_assign(owner, std::move(answer));
  due_.emplace(until, owner);
}

std::optional<CallerAnswer> HeldAnswers::Release(const std::string& owner) {
  const auto found = held_.find(owner);
  if (found == held_.end()) {
    return std::nullopt;
  }
  CallerAnswer answer = std::move(found->second);
  held_.erase(found);
  if (held_.empty()) {
    due_.clear();
  }
  return answer;
}

void HeldAnswers::LimitWait(Timestamp until) {
  for (const auto& [owner, answer] : held_) {
    due_.emplace(until, owner);
  }
}

std::vector<CallerAnswer> HeldAnswers::TakeOverdue(Timestamp now) {
  std::vector<CallerAnswer> overdue;
  while (!due_.empty() && due_.begin()->first <= now) {
    const std::string owner = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    if (std::optional<CallerAnswer> answer = Release(owner)) {
      answer->answer.recorded = false;
      overdue.push_back(*std::move(answer));
    }
  }
  return overdue;
}

void HeldAnswers::Drop(RequestId request) {
  std::erase_if(held_, [request](const auto& item) { return item.second.request == request; });
}

}  // namespace pumicedyke::node
