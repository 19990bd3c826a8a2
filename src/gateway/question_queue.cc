#include "gateway/question_queue.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace pumicedyke::gateway {
namespace {

const wire::PartialQuery& QueryOf(const ArrivedQuestion& query) {
  return std::get<wire::PartialQuery>(query.envelope.body);
}

}  // namespace

bool QuestionQueue::Add(ArrivedQuestion* query) {
  if (!std::holds_alternative<wire::PartialQuery>(query->envelope.body)) {
    return false;
  }
  waiting_.push_back(std::move(*query));
  return true;
}

bool QuestionQueue::Cancel(uint64_t session, uint64_t id) {
  return std::erase_if(waiting_, [session, id](const ArrivedQuestion& query) {
           return query.session == session && QueryOf(query).id == id;
         }) > 0;
}

void QuestionQueue::CloseSession(uint64_t session) {
  std::erase_if(waiting_,
                [session](const ArrivedQuestion& query) { return query.session == session; });
}

std::optional<ArrivedQuestion> QuestionQueue::Take() {
  // min_element returns the first of equals; zero is the most urgent priority.
  const auto first = std::min_element(waiting_.begin(), waiting_.end(),
                                      [](const ArrivedQuestion& a, const ArrivedQuestion& b) {
                                        return QueryOf(a).priority < QueryOf(b).priority;
                                      });
  if (first == waiting_.end()) {
    return std::nullopt;
  }
  ArrivedQuestion query = std::move(*first);
  waiting_.erase(first);
  return query;
}

}  // namespace pumicedyke::gateway
