#include "quarantine/report_sender.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::quarantine {

void ReportSender::Add(Timestamp now, wire::RunReport report) {
  if (pending_.empty()) {
    next_ = now;
    repeat_ = options_.initial_repeat;
  } else if (pending_.size() >= options_.max_pending) {
    pending_.pop_front();
    ++dropped_;
  }
  report.reporter = reporter_;
  report.number = ++last_number_;
  pending_.push_back({std::move(report), now});
}

std::optional<wire::RunReport> ReportSender::TakeDue(Timestamp now) {
  if (pending_.empty() || now < next_) {
    return std::nullopt;
  }
  next_ = now + repeat_;
  repeat_ = std::min(2 * repeat_, options_.max_repeat);
  wire::RunReport report = pending_.front().report;
  report.age = now - pending_.front().seen;
  return report;
}

void ReportSender::OnAcknowledged(uint64_t number) {
  if (pending_.empty() || pending_.front().report.number != number) {
    return;
  }
  pending_.pop_front();
  next_ = Timestamp{};
  repeat_ = options_.initial_repeat;
}

}  // namespace pumicedyke::quarantine
