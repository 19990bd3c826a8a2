#include "server/report_log.h"

#include "common/json.h"
#include "common/log.h"

namespace pumicedyke::server {

void ReportLog::OnState(Timestamp now, const quarantine::ReportSender& reports) {
  const Duration age = reports.OldestAge(now);
  const bool overdue = age > kOverdueAge;
  if (overdue != overdue_) {
    overdue_ = overdue;
    LogEvent(overdue ? "run_reports_overdue" : "run_reports_acknowledged",
             {{"pending", reports.pending()},
              {"age_ms", ToMilliseconds(age)},
              {"dropped", reports.dropped()}});
  }
  if (reports.dropped() != logged_dropped_ && now - dropped_logged_at_ >= kDroppedInterval) {
    logged_dropped_ = reports.dropped();
    dropped_logged_at_ = now;
    LogError("run_reports_dropped", {{"dropped", reports.dropped()},
                                     {"pending", reports.pending()},
                                     {"age_ms", ToMilliseconds(age)}});
  }
}

void AddReportMetrics(Timestamp now, const quarantine::ReportSender& reports,
                      http::MetricsPage* page) {
  constexpr double kMillisecondsPerSecond = 1000;
  page->Gauge("pumicedyke_run_reports_pending",
              "Reports of lost runs that no control machine has acknowledged.",
              static_cast<double>(reports.pending()));
  page->Gauge("pumicedyke_run_reports_oldest_seconds", "Age of the oldest of them.",
              ToMilliseconds(reports.OldestAge(now)) / kMillisecondsPerSecond);
  page->Counter("pumicedyke_run_reports_dropped_total",
                "Reports of lost runs dropped without an acknowledgement.",
                static_cast<double>(reports.dropped()));
}

}  // namespace pumicedyke::server
