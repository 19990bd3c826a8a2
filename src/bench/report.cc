#include "bench/report.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "common/result_code.h"

namespace pumicedyke::bench {
namespace {

/// Differences of up to this many standard errors count as noise.
constexpr double kNoiseStandardErrors = 2.0;

std::vector<std::string> VariantsOf(const Report& report) {
  std::vector<std::string> names;
  for (const RunReport& run : report.runs) {
    if (std::find(names.begin(), names.end(), run.variant) == names.end()) {
      names.push_back(run.variant);
    }
  }
  return names;
}

std::set<double> LoadsOf(const Report& report) {
  std::set<double> loads;
  for (const RunReport& run : report.runs) {
    loads.insert(run.load);
  }
  return loads;
}

// ---- Plots --------------------------------------------------------------------------------------

struct Point {
  double x;
  double y;
};
struct Curve {
  std::string name;
  std::vector<Point> points;
};
struct Plot {
  std::string title;
  std::string x_label;
  std::string y_label;
  std::vector<Curve> curves;
  bool log_y = false;
};

constexpr double kWidth = 640;
constexpr double kHeight = 360;
constexpr double kMargin = 56;
constexpr std::array kColors = {"#1b6ca8", "#c0392b", "#e08e0b", "#7d3c98", "#2e8b57"};

/// Maps values of one axis to pixels.
class Axis {
 public:
  Axis(double low, double high, bool log, double from, double to)
      : low_(log ? std::log10(low) : low),
        high_(log ? std::log10(high) : high),
        log_(log),
        from_(from),
        to_(to) {
    if (high_ <= low_) {
      high_ = low_ + 1;
    }
  }
  double At(double value) const {
    const double position = ((log_ ? std::log10(value) : value) - low_) / (high_ - low_);
    return from_ + std::clamp(position, 0.0, 1.0) * (to_ - from_);
  }
  double Tick(int index, int count) const {
    const double value = low_ + (high_ - low_) * index / count;
    return log_ ? std::pow(10, value) : value;
  }

 private:
  double low_;
  double high_;
  bool log_;
  double from_;
  double to_;
};

std::string Draw(const Plot& plot) {
  double x_low = INFINITY;
  double x_high = -INFINITY;
  double y_low = plot.log_y ? INFINITY : 0;
  double y_high = -INFINITY;
  for (const Curve& curve : plot.curves) {
    for (const Point& point : curve.points) {
      x_low = std::min(x_low, point.x);
      x_high = std::max(x_high, point.x);
      y_low = std::min(y_low, point.y);
      y_high = std::max(y_high, point.y);
    }
  }
  constexpr double kMinPlottedValue = 0.01;
  const Axis x(x_low, x_high, false, kMargin, kWidth - 20);
  const Axis y(plot.log_y ? std::max(y_low, kMinPlottedValue) : y_low, y_high, plot.log_y,
               kHeight - kMargin, 30);
  std::string svg = absl::StrFormat(
      "<svg viewBox=\"0 0 %g %g\" width=\"%g\" font-family=\"sans-serif\" font-size=\"11\">\n"
      "<text x=\"%g\" y=\"16\" font-size=\"14\">%s</text>\n",
      kWidth, kHeight, kWidth, kMargin, plot.title);
  constexpr int kTicks = 5;
  for (int i = 0; i <= kTicks; ++i) {
    const double y_value = y.Tick(i, kTicks);
    const double x_value = x.Tick(i, kTicks);
    absl::StrAppendFormat(&svg,
                          "<line x1=\"%g\" x2=\"%g\" y1=\"%g\" y2=\"%g\" stroke=\"#ddd\"/>"
                          "<text x=\"4\" y=\"%g\">%.4g</text><text x=\"%g\" y=\"%g\">%.4g</text>\n",
                          kMargin, kWidth - 20, y.At(y_value), y.At(y_value), y.At(y_value) + 4,
                          y_value, x.At(x_value) - 8, kHeight - kMargin + 16, x_value);
  }
  absl::StrAppendFormat(&svg, "<text x=\"%g\" y=\"%g\">%s</text><text x=\"4\" y=\"26\">%s</text>\n",
                        kWidth / 2, kHeight - 20, plot.x_label, plot.y_label);
  for (size_t i = 0; i < plot.curves.size(); ++i) {
    const char* color = kColors.at(i % kColors.size());
    svg += absl::StrFormat("<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.6\" points=\"",
                           color);
    for (const Point& point : plot.curves[i].points) {
      absl::StrAppendFormat(&svg, "%.1f,%.1f ", x.At(point.x), y.At(point.y));
    }
    absl::StrAppendFormat(&svg, "\"/>\n<text x=\"%g\" y=\"%g\" fill=\"%s\">%s</text>\n",
                          kWidth - 130, 40 + 14 * static_cast<double>(i), color,
                          plot.curves[i].name);
  }
  return svg + "</svg>\n";
}

Plot PlotOverLoad(const Report& report, const Metric& metric, bool log_y) {
  Plot plot{metric.name + " over load", "load, share of the slots", metric.name, {}, log_y};
  for (const std::string& variant : VariantsOf(report)) {
    Curve curve{variant, {}};
    for (const double load : LoadsOf(report)) {
      const Spread spread = SpreadOf(report, variant, load, metric.value);
      if (spread.count > 0) {
        curve.points.push_back({load, spread.mean});
      }
    }
    plot.curves.push_back(std::move(curve));
  }
  return plot;
}

/// Plots the latency distribution of each variant's first run at one load.
Plot PlotDistribution(const Report& report, double load) {
  Plot plot{absl::StrFormat("latency distribution at load %.2f", load),
            "share of queries",
            "latency, ms",
            {},
            true};
  std::set<std::string> drawn;
  for (const RunReport& run : report.runs) {
    if (run.load != load || !drawn.insert(run.variant).second) {
      continue;
    }
    Curve curve{run.variant, {}};
    const auto& values = run.latency_curve_ms;
    for (size_t i = 0; i < values.size(); ++i) {
      curve.points.push_back(
          {static_cast<double>(i) / static_cast<double>(values.size() - 1), values[i]});
    }
    plot.curves.push_back(std::move(curve));
  }
  return plot;
}

Plot PlotSeconds(const Report& report, double load, const std::string& title, bool log_y,
                 const std::vector<double> RunReport::*series) {
  Plot plot{title, "second", title, {}, log_y};
  std::set<std::string> drawn;
  for (const RunReport& run : report.runs) {
    if (run.load != load || !drawn.insert(run.variant).second) {
      continue;
    }
    Curve curve{run.variant, {}};
    for (size_t i = 0; i < (run.*series).size(); ++i) {
      curve.points.push_back({static_cast<double>(i), (run.*series)[i]});
    }
    plot.curves.push_back(std::move(curve));
  }
  return plot;
}

}  // namespace

const std::vector<Metric>& AllMetrics() {
  static const auto* const metrics = new std::vector<Metric>{
      {"p50_ms", &RunReport::p50_ms},
      {"p90_ms", &RunReport::p90_ms},
      {"p99_ms", &RunReport::p99_ms},
      {"p999_ms", &RunReport::p999_ms},
      {"goodput_per_s", &RunReport::goodput_per_s},
      {"complete_share", &RunReport::complete_share},
      {"mean_coverage", &RunReport::mean_coverage},
      {"extra_share", &RunReport::extra_share},
      {"refused_share", &RunReport::refused_share},
      {"refusal_p99_ms", &RunReport::refusal_p99_ms},
      {"shed_share", &RunReport::shed_share},
  };
  return *metrics;
}

Spread SpreadOf(const Report& report, const std::string& variant, double load,
                double RunReport::*value) {
  Spread spread;
  double squares = 0;
  for (const RunReport& run : report.runs) {
    if (run.variant == variant && run.load == load) {
      spread.mean += run.*value;
      squares += run.*value * run.*value;
      ++spread.count;
    }
  }
  if (spread.count == 0) {
    return spread;
  }
  const auto count = static_cast<double>(spread.count);
  spread.mean /= count;
  if (spread.count > 1) {
    const double variance = (squares - count * spread.mean * spread.mean) / (count - 1);
    spread.deviation = std::sqrt(std::max(0.0, variance));
  }
  return spread;
}

std::string Table(const Report& report) {
  std::string text =
      absl::StrFormat("%s (%s), disturbance %s, 100%% load = %.0f queries/s\n", report.scenario,
                      report.reading, report.disturbance, report.capacity_queries_per_s);
  absl::StrAppendFormat(&text, "%-13s %5s", "variant", "load");
  for (const Metric& metric : AllMetrics()) {
    absl::StrAppendFormat(&text, " %14s", metric.name);
  }
  text += "\n";
  for (const double load : LoadsOf(report)) {
    for (const std::string& variant : VariantsOf(report)) {
      if (SpreadOf(report, variant, load, &RunReport::p50_ms).count == 0) {
        continue;
      }
      absl::StrAppendFormat(&text, "%-13s %5.2f", variant, load);
      for (const Metric& metric : AllMetrics()) {
        absl::StrAppendFormat(&text, " %14.4f", SpreadOf(report, variant, load, metric.value).mean);
      }
      text += "\n";
    }
  }
  return text;
}

std::string Page(const Report& report) {
  std::string page = absl::StrCat("<!doctype html><meta charset=\"utf-8\"><title>", report.scenario,
                                  "</title>\n<h1>", report.scenario, "</h1>\n<p>", report.reading,
                                  "; disturbance: ", report.disturbance, "</p>\n");
  const std::set<double> loads = LoadsOf(report);
  for (const double load : loads) {
    page += Draw(PlotDistribution(report, load));
  }
  for (const Metric& metric : AllMetrics()) {
    const bool latency = metric.name.ends_with("_ms");
    if (loads.size() > 1) {
      page += Draw(PlotOverLoad(report, metric, latency && metric.name != "refusal_p99_ms"));
    }
  }
  for (const double load : loads) {
    page += Draw(PlotSeconds(report, load, absl::StrFormat("p99 by second at load %.2f, ms", load),
                             true, &RunReport::p99_by_second_ms));
    page +=
        Draw(PlotSeconds(report, load, absl::StrFormat("good answers by second at load %.2f", load),
                         false, &RunReport::goodput_by_second));
  }
  return absl::StrCat(page, "<pre>", Table(report), "</pre>\n");
}

absl::StatusOr<Report> ReadReport(const std::string& path) {
  std::ifstream file(path);
  const Json json = Json::parse(file, nullptr, /*allow_exceptions=*/false);
  try {
    return json.get<Report>();
  } catch (const Json::exception& error) {
    return MakeStatus(ResultCode::kInvalidConfig,
                      path + " is not a benchmark report: " + error.what());
  }
}

std::string Compare(const Report& before, const Report& after) {
  std::string text;
  size_t compared = 0;
  for (const double load : LoadsOf(after)) {
    for (const std::string& variant : VariantsOf(after)) {
      for (const Metric& metric : AllMetrics()) {
        const Spread a = SpreadOf(before, variant, load, metric.value);
        const Spread b = SpreadOf(after, variant, load, metric.value);
        if (a.count < 2 || b.count < 2) {
          continue;
        }
        ++compared;
        const double error = std::sqrt(a.deviation * a.deviation / static_cast<double>(a.count) +
                                       b.deviation * b.deviation / static_cast<double>(b.count));
        const double change = b.mean - a.mean;
        if (std::abs(change) > kNoiseStandardErrors * error && change != 0) {
          absl::StrAppendFormat(&text, "%-13s load %.2f %-14s %12.4f -> %12.4f (noise %.4f)\n",
                                variant, load, metric.name, a.mean, b.mean,
                                kNoiseStandardErrors * error);
        }
      }
    }
  }
  if (compared == 0) {
    return "nothing to compare: both reports need two seeds or more of the same variants and "
           "loads\n";
  }
  return text.empty() ? "no change beyond the noise\n" : text;
}

}  // namespace pumicedyke::bench
