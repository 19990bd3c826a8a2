// Sends each report of lost runs to the control machines until one has acknowledged it. A report
// that is sent only once is lost if the receiving machine stops, and then the evidence against
// fatal requests is incomplete. No report waits for the acknowledgement of another: each is sent at
// once, and only its repetitions are spaced. Does not read a clock.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "common/types.h"
#include "wire/messages.h"

namespace pumicedyke::quarantine {

struct ReportSenderOptions {
  /// Delay before unacknowledged reports are sent again; doubles with each repetition until one is
  /// acknowledged.
  Duration initial_repeat = Milliseconds(200);
  Duration max_repeat = Seconds(5);
  /// Maximum number of reports repeated at a time, because none may ever be acknowledged: control
  /// machines of an older version may not know how.
  size_t max_repeats = 8;
  /// Maximum number of pending reports; beyond it the oldest is dropped.
  size_t max_pending = 256;
  /// Older reports are dropped, since control would discard their evidence.
  Duration max_age = Seconds(600);
};

/// Not thread-safe: used on the event loop's thread only.
class ReportSender {
 public:
  /// @param reporter identifies this incarnation of the process among all reporters.
  explicit ReportSender(uint64_t reporter, ReportSenderOptions options = {})
      : reporter_(reporter), options_(options) {}

  /// Adds a report, and removes what it revokes from earlier ones: a loss that is repeated after
  /// the success or the sign of life that cleared it would count again.
  void Add(Timestamp now, wire::RunReport report);
  /// Returns the reports to send now, in the order of their numbers.
  std::vector<wire::RunReport> TakeDue(Timestamp now);
  /// A control machine has acknowledged the report with this number.
  void OnAcknowledged(uint64_t number);
  /// Makes all pending reports due, since the machine that received them may have stopped.
  void RepeatNow();
  /// When TakeDue() returns the next report; unset if none is pending.
  std::optional<Timestamp> next() const;

  size_t pending() const { return pending_.size(); }
  /// Age of the oldest pending report; zero if none is pending.
  Duration OldestAge(Timestamp now) const;
  /// Number of reports dropped unacknowledged: too many were pending, or they were too old.
  uint64_t dropped() const { return dropped_; }

 private:
  struct PendingReport {
    wire::RunReport report;
    Timestamp seen{};
    /// When it was last sent.
    std::optional<Timestamp> sent;
  };

  void Revoke(const wire::RunReport& later);
  void DropOld(Timestamp now);
  /// Marks the reports to send again: those that were not sent for longest.
  void MarkRepeats(Timestamp now);

  uint64_t reporter_;
  ReportSenderOptions options_;
  /// In the order of their numbers.
  std::deque<PendingReport> pending_;
  uint64_t last_number_ = 0;
  uint64_t dropped_ = 0;
  /// Time of the next repetition, and the delay to the one after it.
  Timestamp next_repeat_{};
  Duration repeat_ = options_.initial_repeat;
};

}  // namespace pumicedyke::quarantine
