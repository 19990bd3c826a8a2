// Asks the control machines for permission to try suspect requests, at a gateway or node. A request
// waits briefly for the decision; without one it is not sent. Does not read a clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "common/types.h"
#include "wire/messages.h"

namespace pumicedyke::quarantine {

struct TrialClientOptions {
  /// A request that has waited this long is refused. A decision takes two round trips between
  /// control machines and a sync of their disks.
  Duration max_wait = Milliseconds(100);
  /// The question is repeated after this time; the decision is the same.
  Duration repeat = Milliseconds(40);
  /// Maximum number of requests that wait at a time.
  size_t max_waiting = 256;
};

/// The decision on a request that waited.
struct TrialOutcome {
  RequestId request;
  wire::TrialVerdict verdict = wire::TrialVerdict::kDenied;
  /// Number of the granted trial; zero: none.
  uint32_t number = 0;
  /// When to come back after a denial.
  Duration retry_after{};
  /// Time from the question to the decision, and whether a control machine made it.
  Duration waited{};
  bool answered = true;
};

/// Not thread-safe: used on the event loop's thread only.
class TrialClient {
 public:
  explicit TrialClient(TrialClientOptions options = {}) : options_(options) {}

  /// Asks for a trial. @param attempt distinguishes the client's attempts; see wire::LostRun.
  /// @return false if too many requests wait.
  bool Ask(Timestamp now, RequestId request, const RequestIdentity& identity, uint64_t attempt);
  /// Drops a request whose client has left.
  void Withdraw(RequestId request);
  /// Returns a permission under which no leaf has run the request.
  void Return(const RequestIdentity& identity, uint64_t attempt, uint32_t number);
  /// @return the decision on a waiting request; unset if none waits for it.
  std::optional<TrialOutcome> OnReply(Timestamp now, const wire::TrialReply& reply);
  /// Returns the requests that have waited too long, as denied.
  std::vector<TrialOutcome> TakeOverdue(Timestamp now);
  /// Returns the messages to send to a control machine now.
  std::vector<wire::TrialRequest> TakeMessages(Timestamp now);
  /// When TakeOverdue() or TakeMessages() returns something; unset: nothing waits.
  std::optional<Timestamp> next() const;
  bool idle() const { return waiting_.empty(); }

 private:
  struct Waiting {
    RequestIdentity identity;
    RequestId request;
    Timestamp asked{};
    Timestamp next_send{};
  };

  TrialClientOptions options_;
  /// By attempt.
  std::map<uint64_t, Waiting> waiting_;
  std::vector<wire::TrialRequest> returned_;
};

}  // namespace pumicedyke::quarantine
