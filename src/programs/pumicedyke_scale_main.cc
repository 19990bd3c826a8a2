// The scale run: hollow nodes against real control machines, at several sizes. tools/scale starts
// the control machines; docs/CAPACITY.md uses the slopes.
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "common/json.h"
#include "control/control_state.h"
#include "http/http_client.h"
#include "scale/hollow_fleet.h"
#include "scale/slope.h"
#include "storage/log_storage.h"
#include "storage/posix_file_system.h"

DEFINE_string(cluster, "scale", "name of the cluster");
DEFINE_string(control, "", "IP:port of the control machines for nodes, by commas");
DEFINE_string(operators, "", "IP:port of the control machines for operators, by commas");
DEFINE_string(sizes, "250,500,1000,2000,4000", "numbers of hollow nodes");
DEFINE_string(leafs, "500,1000,2000,4000", "numbers of leafs in the configuration");
DEFINE_double(idle_s, 4, "length of the measurement without changes");
DEFINE_int32(changes, 8, "changes at each size, at ten times the aim's daily rate");
DEFINE_string(recovery, "500,5000", "changes to recover from; empty: not measured");
DEFINE_string(folder, "", "scratch folder for the recovery measurement");
DEFINE_string(out, "", "JSON file");

namespace pumicedyke::scale {
namespace {

/// 9,900 changes a day, ten times over.
constexpr Duration kChangeInterval = Milliseconds(870);
constexpr Duration kPatience = Seconds(60);

std::vector<size_t> Numbers(const std::string& text) {
  std::vector<size_t> numbers;
  for (const auto part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    size_t number = 0;
    if (absl::SimpleAtoi(part, &number)) {
      numbers.push_back(number);
    }
  }
  return numbers;
}

struct ProcessUse {
  double cpu_s = 0;
  double resident_mb = 0;
};

double MetricOf(const std::string& page, const std::string& name) {
  double value = 0;
  const size_t at = page.find("\n" + name + " ");
  if (at != std::string::npos) {
    std::istringstream(page.substr(at + name.size() + 2)) >> value;
  }
  return value;
}

class ScaleRun {
 public:
  ScaleRun()
      : control_(absl::StrSplit(FLAGS_control, ',', absl::SkipEmpty())),
        operators_(absl::StrSplit(FLAGS_operators, ',', absl::SkipEmpty())),
        fleet_(&loop_, FLAGS_cluster, control_) {}

  /// @return whether every node reached every change.
  bool Run() {
    Submit(Json{{"kind", "put_service"},
                {"service", "s"},
                {"leafs", {{{"id", "l"}, {"address", "127.0.0.1:1"}}}}});
    for (const size_t size : Numbers(FLAGS_sizes)) {
      MeasureSize(size);
    }
    FitSizes();
    for (const size_t leafs : Numbers(FLAGS_leafs)) {
      MeasureLeafs(leafs);
    }
    FitLeafs();
    return complete_;
  }
  Json& report() { return report_; }

 private:
  // ---- Time -------------------------------------------------------------------------------------

  /// Runs the loop until the condition holds. @return whether it did in time.
  bool RunUntil(const std::function<bool()>& condition, Duration patience) {
    const Timestamp end = net::EventLoop::Now() + patience;
    bool held = false;
    loop_.Resume();
    loop_.Run([&](Timestamp now) {
      fleet_.Tick(now);
      held = condition();
      if (held || now >= end) {
        loop_.Stop();
      }
      constexpr Duration kTick = Milliseconds(5);
      return now + kTick;
    });
    return held;
  }
  void RunFor(Duration time) {
    RunUntil([] { return false; }, time);
  }

  // ---- Control ----------------------------------------------------------------------------------

  ProcessUse Use() {
    ProcessUse total;
    for (const std::string& address : operators_) {
      http::ClientRequest request;
      request.address = address;
      request.path = "/metrics";
      const std::string page = http::FetchBlocking(request).body;
      total.cpu_s += MetricOf(page, "process_cpu_seconds_total");
      total.resident_mb += MetricOf(page, "process_resident_memory_bytes") / (1 << 20);
    }
    return total;
  }

  uint64_t Submit(Json change) {
    change["submission_id"] = absl::StrCat("scale-", ++submissions_);
    http::ClientRequest request;
    request.path = "/v1/changes";
    request.body = change.dump();
    for (size_t i = 0;; ++i) {
      request.address = operators_[i % operators_.size()];
      const Json result = Json::parse(http::FetchBlocking(request).body, nullptr, false);
      if (result.is_object() && result.value("code", -1) == 0) {
        return result["version"].get<uint64_t>();
      }
      if (i > 100) {
        std::cerr << "pumicedyke-scale: a change is not accepted: " << result.dump() << "\n";
        complete_ = false;
        return 0;
      }
    }
  }

  uint64_t SubmitPolicy() {
    return Submit(Json{{"kind", "put_policy"},
                       {"service", "s"},
                       {"policy", absl::StrCat("-- ", submissions_,
                                               "\nfunction plan(r) return {deadline_ms = 100, "
                                               "coverage = 0.9, extra_load = 0.05} end")}});
  }

  // ---- Sizes ------------------------------------------------------------------------------------

  void MeasureSize(size_t size) {
    Json row{{"nodes", size}};
    Timestamp start = net::EventLoop::Now();
    fleet_.Grow(size);
    WaitForAll(1);
    row["start_all_ms"] = ToMilliseconds(net::EventLoop::Now() - start);
    MeasureIdle(&row);
    MeasureChanges(&row);
    const auto timed = [&](const std::string& name, const std::function<void()>& disturb) {
      start = net::EventLoop::Now();
      disturb();
      WaitForAll(newest_);
      row[name] = ToMilliseconds(net::EventLoop::Now() - start);
    };
    constexpr size_t kRestartedShare = 20;
    constexpr size_t kZones = 12;
    constexpr size_t kRegions = 5;
    timed("restart_5_percent_ms", [&] { fleet_.Restart(size / kRestartedShare); });
    for (const auto& [name, parts] : {std::pair("zone", kZones), std::pair("region", kRegions)}) {
      fleet_.CutOff(size / parts);
      constexpr Duration kCut = Seconds(6);
      RunFor(kCut);
      newest_ = SubmitPolicy();
      timed(absl::StrCat(name, "_healed_ms"), [&] { fleet_.Heal(); });
    }
    std::cout << row.dump() << std::endl;
    report_["sizes"].push_back(row);
  }

  void WaitForAll(uint64_t version) {
    complete_ &= RunUntil([&] { return fleet_.CountAt(version) == fleet_.size(); }, kPatience);
  }

  void MeasureIdle(Json* row) {
    const ProcessUse before = Use();
    const FleetTraffic traffic = fleet_.traffic();
    const Timestamp start = net::EventLoop::Now();
    RunFor(Milliseconds(static_cast<int64_t>(FLAGS_idle_s * 1000)));
    const double seconds = ToMilliseconds(net::EventLoop::Now() - start) / 1000;
    const ProcessUse after = Use();
    const FleetTraffic& now = fleet_.traffic();
    const auto nodes = static_cast<double>(fleet_.size());
    (*row)["idle_control_cores"] = (after.cpu_s - before.cpu_s) / seconds;
    (*row)["control_mb"] = after.resident_mb;
    (*row)["idle_bytes_out_per_node_s"] =
        static_cast<double>(now.bytes_out - traffic.bytes_out) / nodes / seconds;
    (*row)["idle_bytes_in_per_node_s"] =
        static_cast<double>(now.bytes_in - traffic.bytes_in) / nodes / seconds;
    (*row)["idle_messages_per_node_s"] =
        static_cast<double>(now.messages_out - traffic.messages_out) / nodes / seconds;
  }

  void MeasureChanges(Json* row) {
    const ProcessUse before = Use();
    const FleetTraffic traffic = fleet_.traffic();
    const Timestamp start = net::EventLoop::Now();
    std::vector<double> medians;
    std::vector<double> worst;
    for (int i = 0; i < FLAGS_changes; ++i) {
      const Timestamp next = net::EventLoop::Now() + kChangeInterval;
      newest_ = SubmitPolicy();
      fleet_.Expect(net::EventLoop::Now(), newest_);
      WaitForAll(newest_);
      const std::vector<double> arrivals = fleet_.ArrivalMilliseconds();
      if (!arrivals.empty()) {
        medians.push_back(arrivals[arrivals.size() / 2]);
        worst.push_back(arrivals.back());
      }
      RunFor(std::max(Duration(0), next - net::EventLoop::Now()));
    }
    const double seconds = ToMilliseconds(net::EventLoop::Now() - start) / 1000;
    const ProcessUse after = Use();
    const auto nodes = static_cast<double>(fleet_.size());
    std::sort(medians.begin(), medians.end());
    (*row)["in_force_median_ms"] = medians.empty() ? -1 : medians[medians.size() / 2];
    (*row)["in_force_worst_ms"] =
        worst.empty() ? -1 : *std::max_element(worst.begin(), worst.end());
    (*row)["change_control_cores"] = (after.cpu_s - before.cpu_s) / seconds;
    (*row)["change_bytes_in_per_node"] =
        (static_cast<double>(fleet_.traffic().bytes_in - traffic.bytes_in) / nodes -
         (*row)["idle_bytes_in_per_node_s"].get<double>() * seconds) /
        std::max(1, FLAGS_changes);
  }

  Line FitRows(const std::string& list, const std::string& x, const std::string& y) {
    std::vector<double> xs;
    std::vector<double> ys;
    for (const Json& row : report_[list]) {
      xs.push_back(row[x].get<double>());
      ys.push_back(row[y].get<double>());
    }
    return FitLine(xs, ys);
  }
  void AddSlope(const std::string& list, const std::string& x, const std::string& y) {
    const Line line = FitRows(list, x, y);
    report_["slopes"][absl::StrCat(y, " per ", x)] = {{"slope", line.slope},
                                                      {"intercept", line.intercept},
                                                      {"worst_residual", line.worst_residual}};
  }
  void FitSizes() {
    for (const std::string name :
         {"idle_control_cores", "control_mb", "change_control_cores", "in_force_worst_ms",
          "start_all_ms", "restart_5_percent_ms", "zone_healed_ms", "region_healed_ms"}) {
      AddSlope("sizes", "nodes", name);
    }
  }

  // ---- Leafs ------------------------------------------------------------------------------------

  void MeasureLeafs(size_t count) {
    // Services of 500 leafs each, until the configuration holds `count`.
    constexpr size_t kPerService = 500;
    for (size_t first = leafs_; first < count; first += kPerService) {
      Json leafs = Json::array();
      Json shards = Json::array();
      for (size_t i = first; i < std::min(first + kPerService, count); ++i) {
        const std::string name = absl::StrCat("leaf-", i);
        leafs.push_back({{"id", name}, {"address", "127.0.0.1:1"}, {"zone", "z"}, {"slots", 5}});
        shards.push_back({{"id", i}, {"replicas", {name}}});
      }
      const std::string service = absl::StrCat("service-", first);
      Submit(Json{{"kind", "put_service"}, {"service", service}, {"leafs", leafs}});
      newest_ = Submit(Json{{"kind", "publish_snapshot"},
                            {"service", service},
                            {"snapshot", {{"id", 1}, {"shards", shards}}}});
    }
    leafs_ = count;
    WaitForAll(newest_);
    const FleetTraffic before = fleet_.traffic();
    const Timestamp start = net::EventLoop::Now();
    constexpr size_t kRestarted = 10;
    fleet_.Restart(kRestarted);
    WaitForAll(newest_);
    const double seconds = ToMilliseconds(net::EventLoop::Now() - start) / 1000;
    Json row{{"leafs", count}, {"control_mb", Use().resident_mb}};
    row["full_feed_bytes"] =
        static_cast<double>(fleet_.traffic().bytes_in - before.bytes_in) / kRestarted;
    row["ten_starts_ms"] = seconds * 1000;
    std::cout << row.dump() << std::endl;
    report_["leafs"].push_back(row);
  }
  void FitLeafs() {
    for (const std::string name : {"control_mb", "full_feed_bytes", "ten_starts_ms"}) {
      AddSlope("leafs", "leafs", name);
    }
  }

  net::EventLoop loop_;
  std::vector<std::string> control_;
  std::vector<std::string> operators_;
  HollowFleet fleet_;
  Json report_{{"sizes", Json::array()}, {"leafs", Json::array()}, {"recovery", Json::array()}};
  uint64_t submissions_ = 0;
  uint64_t newest_ = 0;
  size_t leafs_ = 0;
  bool complete_ = true;
};

/// Log and snapshot of one machine: what an entry costs, and how long recovery takes.
Json MeasureRecovery(const std::string& folder, size_t changes) {
  const auto seconds_since = [](std::chrono::steady_clock::time_point start) {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  };
  std::filesystem::remove_all(folder);
  storage::PosixFileSystem::CreateFolder(folder).IgnoreError();
  storage::PosixFileSystem files(folder);
  storage::LogStorage storage(&files, {});
  storage.Format({1, "scale", "m"}, {}).IgnoreError();
  storage.Recover().status().IgnoreError();
  const auto write_start = std::chrono::steady_clock::now();
  for (size_t i = 1; i <= changes; ++i) {
    config::Change change;
    change.kind = i == 1 ? config::ChangeKind::kPutService : config::ChangeKind::kPutPolicy;
    change.service = "s";
    change.submission_id = absl::StrCat("r-", i);
    change.policy = absl::StrCat("-- ", i, "\nfunction plan(r) return {deadline_ms = 100} end");
    if (i == 1) {
      change.leafs.push_back({"l", "127.0.0.1:1", "", 1});
    }
    storage.Append({{i, 1, wire::EntryKind::kCommand, control::EncodeCommand(change)}})
        .IgnoreError();
    storage.Sync().IgnoreError();
  }
  const double write_s = seconds_since(write_start);
  const auto start = std::chrono::steady_clock::now();
  storage::LogStorage again(&files, {});
  const auto recovered = again.Recover();
  control::ControlState state({});
  for (const wire::LogEntry& entry : recovered->entries) {
    state.Apply(entry.data);
  }
  Json row{{"changes", changes},
           {"recovered_version", state.config().version().value},
           {"recovery_ms", seconds_since(start) * 1000},
           {"log_bytes", again.log_bytes()},
           {"synced_append_ms", write_s * 1000 / static_cast<double>(changes)},
           {"snapshot_bytes", state.Serialize().size()}};
  std::filesystem::remove_all(folder);
  std::cout << row.dump() << std::endl;
  return row;
}

}  // namespace
}  // namespace pumicedyke::scale

int main(int argc, char** argv) {
  using namespace pumicedyke::scale;  // NOLINT
  gflags::SetUsageMessage("measures control with hollow nodes; see tools/scale");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_control.empty() || FLAGS_operators.empty()) {
    std::cerr << "pumicedyke-scale: --control and --operators are needed; see tools/scale\n";
    return 2;
  }
  ScaleRun run;
  const bool complete = run.Run();
  for (const size_t changes : Numbers(FLAGS_folder.empty() ? "" : FLAGS_recovery)) {
    run.report()["recovery"].push_back(MeasureRecovery(FLAGS_folder + "/recovery", changes));
  }
  run.report()["complete"] = complete;
  if (!FLAGS_out.empty()) {
    std::ofstream(FLAGS_out) << run.report().dump(2) << "\n";
  }
  std::cout << run.report()["slopes"].dump(2) << "\n"
            << (complete ? "complete" : "incomplete") << std::endl;
  return complete ? 0 : 1;
}
