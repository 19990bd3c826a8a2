// The /metrics page in the Prometheus text format.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/histogram.h"
#include "net/request_room.h"

namespace pumicedyke::http {

class MetricsPage {
 public:
  using Labels = std::map<std::string, std::string>;

  void Counter(const std::string& name, const std::string& help, double value,
               const Labels& labels = {});
  void Gauge(const std::string& name, const std::string& help, double value,
             const Labels& labels = {});
  /// Adds a histogram in seconds. All samples of one name must be added consecutively.
  void AddHistogram(const std::string& name, const std::string& help, const Histogram& histogram,
                    const Labels& labels = {});
  /// Adds what this process was built from, its CPU time and resident memory, and what its
  /// connections hold.
  void AddProcess(const net::RequestRoom& room);
  std::string Text() const;

 private:
  enum class Kind { kCounter, kGauge, kHistogram };
  struct Sample {
    Kind kind;
    std::string name;
    std::string help;
    double value;
    Labels labels;
    Histogram histogram = {};
  };
  std::vector<Sample> samples_;
};

}  // namespace pumicedyke::http
