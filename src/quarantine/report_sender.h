// Tells control of lost runs until it has taken each report: whoever it is told to may be gone, and
// what is told once to a machine that is gone is missing wherever requests are judged. No clock.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "common/types.h"
#include "wire/messages.h"

namespace pumicedyke::quarantine {

struct ReportSenderOptions {
  /// A report that was not taken is told again after this, then each time after twice as long.
  Duration first_repeat = Milliseconds(200);
  Duration longest_repeat = Seconds(5);
  /// Reports that wait; when there are more the oldest is dropped.
  size_t most_waiting = 256;
};

/// Tells one report at a time, so that they arrive in their order. Lives on the event loop's
/// thread.
class ReportSender {
 public:
  /// @param reporter names this life of this process among all that report.
  explicit ReportSender(uint64_t reporter, ReportSenderOptions options = {})
      : reporter_(reporter), options_(options) {}

  void Add(Timestamp now, wire::RunReport report);
  /// @return the report to tell now, if one is due.
  std::optional<wire::RunReport> TakeDue(Timestamp now);
  /// A control machine has taken the report of this number.
  void OnTaken(uint64_t number);
  /// The machine that was told may be gone: tells again at once.
  void RepeatNow() { next_ = Timestamp{}; }
  /// When TakeDue() has something next; unset: nothing waits.
  std::optional<Timestamp> next() const {
    return waiting_.empty() ? std::nullopt : std::optional(next_);
  }
  /// Reports that were dropped because too many waited.
  uint64_t dropped() const { return dropped_; }

 private:
  struct Waiting {
    wire::RunReport report;
    Timestamp seen{};
  };

  uint64_t reporter_;
  ReportSenderOptions options_;
  std::deque<Waiting> waiting_;
  uint64_t last_number_ = 0;
  uint64_t dropped_ = 0;
  /// When the first one is due, and how long after that it is told again.
  Timestamp next_{};
  Duration repeat_{};
};

}  // namespace pumicedyke::quarantine
