#include "http/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <limits>

#include "common/build_identity.h"

namespace pumicedyke::http {
namespace {

void FillHistogram(const Histogram& histogram, prometheus::ClientMetric::Histogram* out) {
  const auto seconds = [](Duration time) { return static_cast<double>(time.count()) / 1e6; };
  uint64_t cumulative = 0;
  for (size_t i = 0; i < kHistogramBounds.size(); ++i) {
    cumulative += histogram.counts[i];
    out->bucket.push_back({cumulative, seconds(kHistogramBounds[i])});
  }
  out->bucket.push_back({histogram.count, std::numeric_limits<double>::infinity()});
  out->sample_count = histogram.count;
  out->sample_sum = seconds(histogram.sum);
}

}  // namespace

void MetricsPage::Counter(const std::string& name, const std::string& help, double value,
                          const Labels& labels) {
  samples_.push_back({Kind::kCounter, name, help, value, labels});
}

void MetricsPage::Gauge(const std::string& name, const std::string& help, double value,
                        const Labels& labels) {
  samples_.push_back({Kind::kGauge, name, help, value, labels});
}

void MetricsPage::AddHistogram(const std::string& name, const std::string& help,
                               const Histogram& histogram, const Labels& labels) {
  samples_.push_back({Kind::kHistogram, name, help, 0, labels, histogram});
}

void MetricsPage::AddProcess(const net::RequestRoom& room) {
  const net::ByteBudget& budget = room.budget();
  Gauge("pumicedyke_build_info", "What the program was built from.", 1,
        {{"build", BuildIdentity()}});
  Gauge("pumicedyke_held_bytes",
        "Bytes of unfinished messages and unwritten responses that all connections hold.",
        static_cast<double>(budget.held()));
  Counter("pumicedyke_held_bytes_given_up_total",
          "Connections closed because all together held too many bytes.",
          static_cast<double>(budget.revocations()));
  Gauge("pumicedyke_request_room_bytes", "Room that requests have which are read or served.",
        static_cast<double>(room.granted()));
  Gauge("pumicedyke_requests_waiting_for_room", "Requests whose body is not read for lack of room.",
        static_cast<double>(room.waiting()));
  Counter("pumicedyke_requests_without_room_total", "Requests refused for lack of room.",
          static_cast<double>(room.refused()));
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  Counter("process_cpu_seconds_total", "User and system processor time.",
          seconds(usage.ru_utime) + seconds(usage.ru_stime));
  size_t total_pages = 0;
  size_t resident_pages = 0;
  std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
  Gauge("process_resident_memory_bytes", "Resident memory.",
        static_cast<double>(resident_pages) * static_cast<double>(::sysconf(_SC_PAGESIZE)));
}

std::string MetricsPage::Text() const {
  std::vector<prometheus::MetricFamily> families;
  for (const Sample& sample : samples_) {
    if (families.empty() || families.back().name != sample.name) {
      prometheus::MetricFamily& family = families.emplace_back();
      family.name = sample.name;
      family.help = sample.help;
      family.type = sample.kind == Kind::kCounter ? prometheus::MetricType::Counter
                    : sample.kind == Kind::kGauge ? prometheus::MetricType::Gauge
                                                  : prometheus::MetricType::Histogram;
    }
    prometheus::ClientMetric& metric = families.back().metric.emplace_back();
    for (const auto& [name, value] : sample.labels) {
      metric.label.push_back({name, value});
    }
    metric.counter.value = sample.value;
    metric.gauge.value = sample.value;
    FillHistogram(sample.histogram, &metric.histogram);
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace pumicedyke::http
