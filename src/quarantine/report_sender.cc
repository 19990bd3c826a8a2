#include "quarantine/report_sender.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::quarantine {

void ReportSender::Add(Timestamp now, wire::RunReport report) {
  if (waiting_.empty()) {
    next_ = now;
    repeat_ = options_.first_repeat;
  } else if (waiting_.size() >= options_.most_waiting) {
    waiting_.pop_front();
    ++dropped_;
  }
  report.reporter = reporter_;
  report.number = ++last_number_;
  waiting_.push_back({std::move(report), now});
}

std::optional<wire::RunReport> ReportSender::TakeDue(Timestamp now) {
  if (waiting_.empty() || now < next_) {
    return std::nullopt;
  }
  next_ = now + repeat_;
  repeat_ = std::min(2 * repeat_, options_.longest_repeat);
  wire::RunReport report = waiting_.front().report;
  report.age = now - waiting_.front().seen;
  return report;
}

void ReportSender::OnTaken(uint64_t number) {
  if (waiting_.empty() || waiting_.front().report.number != number) {
    return;
  }
  waiting_.pop_front();
  next_ = Timestamp{};
  repeat_ = options_.first_repeat;
}

}  // namespace pumicedyke::quarantine
