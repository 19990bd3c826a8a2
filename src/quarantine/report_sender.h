// Sends each report of lost runs to the control machines until one has acknowledged it. A report
// that is sent only once is lost if the receiving machine stops, and then the evidence against
// fatal requests is incomplete. Does not read a clock.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "common/types.h"
#include "wire/messages.h"

namespace pumicedyke::quarantine {

struct ReportSenderOptions {
  /// Delay before an unacknowledged report is sent again; doubles with each repetition.
  Duration initial_repeat = Milliseconds(200);
  Duration max_repeat = Seconds(5);
  /// Maximum number of pending reports; beyond it the oldest is dropped.
  size_t max_pending = 256;
};

/// Sends one report at a time, so that they arrive in order. Used on the event loop's thread only.
class ReportSender {
 public:
  /// @param reporter identifies this incarnation of the process among all reporters.
  explicit ReportSender(uint64_t reporter, ReportSenderOptions options = {})
      : reporter_(reporter), options_(options) {}

  void Add(Timestamp now, wire::RunReport report);
  /// Returns the report to send now, if one is due.
  std::optional<wire::RunReport> TakeDue(Timestamp now);
  /// A control machine has acknowledged the report with this number.
  void OnAcknowledged(uint64_t number);
  /// Makes the pending report due at once, since the machine that received it may have stopped.
  void RepeatNow() { next_ = Timestamp{}; }
  /// When TakeDue() returns the next report; unset if none is pending.
  std::optional<Timestamp> next() const {
    return pending_.empty() ? std::nullopt : std::optional(next_);
  }
  /// Number of reports dropped because too many were pending.
  uint64_t dropped() const { return dropped_; }

 private:
  struct PendingReport {
    wire::RunReport report;
    Timestamp seen{};
  };

  uint64_t reporter_;
  ReportSenderOptions options_;
  std::deque<PendingReport> pending_;
  uint64_t last_number_ = 0;
  uint64_t dropped_ = 0;
  /// When the first pending report is due, and the delay until it is sent again after that.
  Timestamp next_{};
  Duration repeat_{};
};

}  // namespace pumicedyke::quarantine
