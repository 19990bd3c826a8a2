// Reports of benchmark runs: JSON, an HTML page with plots, a table for the terminal, and a
// comparison of two reports.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "bench/simulated_run.h"

namespace pumicedyke::bench {

struct Report {
  std::string scenario;
  std::string reading;
  std::string disturbance;
  double capacity_queries_per_s = 0;
  std::vector<RunReport> runs;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Report, scenario, reading, disturbance, capacity_queries_per_s,
                                   runs)

/// Mean and standard deviation over seeds.
struct Spread {
  double mean = 0;
  double deviation = 0;
  size_t count = 0;
};

/// A metric shown in tables, plots and comparisons.
struct Metric {
  std::string name;
  double RunReport::*value;
};
const std::vector<Metric>& AllMetrics();

Spread SpreadOf(const Report& report, const std::string& variant, double load,
                double RunReport::*value);

std::string Table(const Report& report);
std::string Page(const Report& report);
absl::StatusOr<Report> ReadReport(const std::string& path);

/// Lists what differs between two reports by more than twice the standard error of the difference.
std::string Compare(const Report& before, const Report& after);

}  // namespace pumicedyke::bench
