// The /metrics page in the Prometheus text format.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace pumicedyke::http {

class MetricsPage {
 public:
  using Labels = std::map<std::string, std::string>;

  void Counter(const std::string& name, const std::string& help, double value,
               const Labels& labels = {});
  void Gauge(const std::string& name, const std::string& help, double value,
             const Labels& labels = {});
  /// CPU seconds, resident bytes and the like of this process.
  void AddProcess();
  std::string Text() const;

 private:
  struct Sample {
    bool is_counter;
    std::string name;
    std::string help;
    double value;
    Labels labels;
  };
  std::vector<Sample> samples_;
};

}  // namespace pumicedyke::http
