// Answers to unrepeatable work that wait until the ledger knows of the outcome: a node that told
// one and ended before the ledger had it would leave whoever asks again without an answer for as
// long as the key is remembered. No clock.
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

/// Lives on the event loop's thread.
class HeldAnswers {
 public:
  /// @param owner the attempt whose outcome the ledger is told. @param until when the answer is
  /// given all the same: the ledger may be out of reach.
  void Hold(const std::string& owner, CallerAnswer answer, Timestamp until);
  /// The ledger knows of the attempt's outcome. @return its answer, if that waits here.
  std::optional<CallerAnswer> Release(const std::string& owner);
  /// @return what waits no longer; it says that the ledger does not know of it.
  std::vector<CallerAnswer> TakeOverdue(Timestamp now);
  /// Nobody waits for the request's answer any more.
  void Drop(RequestId request);
  /// When TakeOverdue() has something next, at the earliest; unset: nothing waits.
  std::optional<Timestamp> next() const {
    return due_.empty() ? std::nullopt : std::optional(due_.begin()->first);
  }
  bool empty() const { return held_.empty(); }

 private:
  std::map<std::string, CallerAnswer> held_;
  /// Attempts by the time that their answers are due; those that were released may be named still.
  std::multimap<Timestamp, std::string> due_;
};

}  // namespace pumicedyke::node
