#include "gateway/partial_query_queue.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace pumicedyke::gateway {
namespace {

const wire::PartialQuery& QueryOf(const ArrivedPartialQuery& query) {
  return std::get<wire::PartialQuery>(query.envelope.body);
}

}  // namespace

bool PartialQueryQueue::Add(ArrivedPartialQuery* query) {
  if (!std::holds_alternative<wire::PartialQuery>(query->envelope.body)) {
    return false;
  }
  waiting_.push_back(std::move(*query));
  return true;
}

bool PartialQueryQueue::Cancel(uint64_t session, uint64_t id) {
  return std::erase_if(waiting_, [session, id](const ArrivedPartialQuery& query) {
           return query.session == session && QueryOf(query).id == id;
         }) > 0;
}

void PartialQueryQueue::CloseSession(uint64_t session) {
  std::erase_if(waiting_,
                [session](const ArrivedPartialQuery& query) { return query.session == session; });
}

std::optional<ArrivedPartialQuery> PartialQueryQueue::Take() {
  // min_element returns the first of equals; zero is the most urgent priority.
  const auto first =
      std::min_element(waiting_.begin(), waiting_.end(),
                       [](const ArrivedPartialQuery& a, const ArrivedPartialQuery& b) {
                         return QueryOf(a).priority < QueryOf(b).priority;
                       });
  if (first == waiting_.end()) {
    return std::nullopt;
  }
  ArrivedPartialQuery query = std::move(*first);
  waiting_.erase(first);
  return query;
}

}  // namespace pumicedyke::gateway
