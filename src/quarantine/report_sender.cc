#include "quarantine/report_sender.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::quarantine {
namespace {

bool IsEmpty(const wire::RunReport& report) {
  return report.lost.empty() && report.succeeded.empty() && report.alive_leafs.empty();
}

template <typename Value>
bool Contains(const std::vector<Value>& values, const Value& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

void ReportSender::Add(Timestamp now, wire::RunReport report) {
  Revoke(report);
  if (pending_.empty()) {
    repeat_ = options_.initial_repeat;
    next_repeat_ = now + repeat_;
  } else if (pending_.size() >= options_.max_pending) {
    pending_.pop_front();
    ++dropped_;
  }
  report.reporter = reporter_;
  report.number = ++last_number_;
  pending_.push_back({std::move(report), now, std::nullopt});
}

void ReportSender::Revoke(const wire::RunReport& later) {
  if (later.succeeded.empty() && later.alive_leafs.empty()) {
    return;
  }
  std::erase_if(pending_, [&later](PendingReport& pending) {
    const size_t revoked = std::erase_if(pending.report.lost, [&later](const wire::LostRun& run) {
      return Contains(later.succeeded, run.identity) || Contains(later.alive_leafs, run.leaf);
    });
    return revoked > 0 && IsEmpty(pending.report);
  });
}

std::vector<wire::RunReport> ReportSender::TakeDue(Timestamp now) {
  DropOld(now);
  MarkRepeats(now);
  std::vector<wire::RunReport> due;
  for (PendingReport& pending : pending_) {
    if (pending.sent.has_value()) {
      continue;
    }
    pending.sent = now;
    due.push_back(pending.report);
    due.back().age = now - pending.seen;
  }
  return due;
}

void ReportSender::DropOld(Timestamp now) {
  while (!pending_.empty() && now - pending_.front().seen > options_.max_age) {
    pending_.pop_front();
    ++dropped_;
  }
}

void ReportSender::MarkRepeats(Timestamp now) {
  if (now < next_repeat_) {
    return;
  }
  std::vector<PendingReport*> repeats;
  for (PendingReport& pending : pending_) {
    if (pending.sent.has_value() && now - *pending.sent >= options_.initial_repeat) {
      repeats.push_back(&pending);
    }
  }
  if (repeats.empty()) {
    return;
  }
  std::stable_sort(repeats.begin(), repeats.end(),
                   [](const auto* a, const auto* b) { return *a->sent < *b->sent; });
  repeats.resize(std::min(repeats.size(), options_.max_repeats));
  for (PendingReport* pending : repeats) {
    pending->sent.reset();
  }
  repeat_ = std::min(2 * repeat_, options_.max_repeat);
  next_repeat_ = now + repeat_;
}

void ReportSender::OnAcknowledged(uint64_t number) {
  const size_t acknowledged = std::erase_if(
      pending_, [number](const PendingReport& pending) { return pending.report.number == number; });
  if (acknowledged > 0) {
    // A machine that acknowledges is in reach: the others are repeated without further delay.
    repeat_ = options_.initial_repeat;
    next_repeat_ = Timestamp{};
  }
}

void ReportSender::RepeatNow() {
  next_repeat_ = Timestamp{};
  for (PendingReport& pending : pending_) {
    if (pending.sent.has_value()) {
      pending.sent = Timestamp{};
    }
  }
}

std::optional<Timestamp> ReportSender::next() const {
  std::optional<Timestamp> next;
  for (const PendingReport& pending : pending_) {
    const Timestamp due = pending.sent.has_value()
                              ? std::max(next_repeat_, *pending.sent + options_.initial_repeat)
                              : Timestamp{};
    next = std::min(next.value_or(due), due);
  }
  return next;
}

Duration ReportSender::OldestAge(Timestamp now) const {
  return pending_.empty() ? Duration(0) : now - pending_.front().seen;
}

}  // namespace pumicedyke::quarantine
