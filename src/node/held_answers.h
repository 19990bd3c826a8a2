// Answers to unrepeatable work that wait until the ledger has recorded the outcome. A node that
// answered and stopped before that would leave repeated requests without an answer for as long as
// the key is retained. No clock.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/types.h"
#include "query/messages.h"

namespace pumicedyke::node {

/// The answer to one request of a caller.
struct CallerAnswer {
  RequestId request;
  query::Answer answer;
};

/// Used on the event loop's thread only.
class HeldAnswers {
 public:
  /// @param owner the attempt whose outcome is being recorded. @param until when the answer is sent
  /// in any case, since the ledger may be unreachable.
  void Hold(const std::string& owner, CallerAnswer answer, Timestamp until);
  /// Handles a recorded outcome. @return the answer of the attempt, if it is held.
  std::optional<CallerAnswer> Release(const std::string& owner);
  /// Sends no answer later than `until`, of those that are held now.
  void LimitWait(Timestamp until);
  /// @return the answers whose wait is over, marked as not recorded.
  std::vector<CallerAnswer> TakeOverdue(Timestamp now);
  /// Drops the answer of a request that its caller no longer waits for.
  void Drop(RequestId request);
  /// Returns the earliest time at which TakeOverdue() may return an answer; unset: nothing is held.
  std::optional<Timestamp> next() const {
    return due_.empty() ? std::nullopt : std::optional(due_.begin()->first);
  }
  bool empty() const { return held_.empty(); }
  size_t size() const { return held_.size(); }

 private:
  std::map<std::string, CallerAnswer> held_;
  /// Attempts by the times at which their answers are due; may include released ones.
  std::multimap<Timestamp, std::string> due_;
};

}  // namespace pumicedyke::node
