// Logs reports of lost runs that no control machine has acknowledged for long, and shows them in
// the metrics of gateways and nodes.
#pragma once

#include "common/types.h"
#include "http/metrics.h"
#include "quarantine/report_sender.h"

namespace pumicedyke::server {

/// Used on the event loop's thread only.
class ReportLog {
 public:
  /// Logs when a report becomes overdue, when all are acknowledged again, and dropped ones.
  void OnState(Timestamp now, const quarantine::ReportSender& reports);

 private:
  static constexpr Duration kOverdueAge = Seconds(1);
  /// Minimum interval between lines about dropped reports.
  static constexpr Duration kDroppedInterval = Seconds(1);

  bool overdue_ = false;
  uint64_t logged_dropped_ = 0;
  Timestamp dropped_logged_at_{};
};

/// Adds the pending and dropped reports to a metrics page. docs/OPERATIONS.md lists the names.
void AddReportMetrics(Timestamp now, const quarantine::ReportSender& reports,
                      http::MetricsPage* page);

}  // namespace pumicedyke::server
