#include "gateway/question_queue.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace pumicedyke::gateway {
namespace {

const wire::PartialQuery& QueryOf(const ArrivedQuestion& question) {
  return std::get<wire::PartialQuery>(question.envelope.body);
}

}  // namespace

bool QuestionQueue::Add(ArrivedQuestion* question) {
  if (!std::holds_alternative<wire::PartialQuery>(question->envelope.body)) {
    return false;
  }
  waiting_.push_back(std::move(*question));
  return true;
}

bool QuestionQueue::Cancel(uint64_t session, uint64_t id) {
  return std::erase_if(waiting_, [session, id](const ArrivedQuestion& question) {
           return question.session == session && QueryOf(question).id == id;
         }) > 0;
}

void QuestionQueue::CloseSession(uint64_t session) {
  std::erase_if(waiting_,
                [session](const ArrivedQuestion& question) { return question.session == session; });
}

std::optional<ArrivedQuestion> QuestionQueue::Take() {
  // The first of the least: zero is the most urgent.
  const auto first = std::min_element(waiting_.begin(), waiting_.end(),
                                      [](const ArrivedQuestion& a, const ArrivedQuestion& b) {
                                        return QueryOf(a).priority < QueryOf(b).priority;
                                      });
  if (first == waiting_.end()) {
    return std::nullopt;
  }
  ArrivedQuestion question = std::move(*first);
  waiting_.erase(first);
  return question;
}

}  // namespace pumicedyke::gateway
