// The weights of split routes change; the new proportions must be in force soon after.
#include <atomic>
#include <map>
#include <memory>
#include <thread>

#include "cases.h"
#include "client.h"
#include "fleet.h"
#include "leaf.h"

namespace standin {
namespace {

constexpr int kRoutes = 8;
constexpr int kGateways = 2;
/// Requests of a route in the first phase, which end at different points of the cycle of weights.
constexpr int kRequestsBefore = 40;
/// The rule looks at 200 requests or more.
constexpr int kRequestsAfter = 240;
constexpr double kAllowedDeviation = 0.2;
constexpr milliseconds kApplyTime{3000};

std::string Document(int version, int blue, int green) {
  std::string routes;
  for (int i = 0; i < kRoutes; ++i) {
    routes +=
        std::string(i > 0 ? "," : "") + "{\"name\":\"r-" + std::to_string(i) +
        "\",\"host\":\"desk.example\",\"path_prefix\":\"/p" + std::to_string(i) +
        "/\",\"type\":\"idempotent\",\"timeout_ms\":2000,\"slo_ms\":500,\"priority\":1," +
        "\"max_attempts\":2,\"split\":[{\"backend\":\"blue\",\"weight\":" + std::to_string(blue) +
        "},{\"backend\":\"green\",\"weight\":" + std::to_string(green) + "}]}";
  }
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
         "],\"backends\":[{\"name\":\"blue\",\"health_path\":\"/healthz\",\"max_conns\":110,"
         "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"green\",\"health_path\":\"/healthz\","
         "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
         "\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000}}";
}

/// Requests that ran, by route and service.
class Runs {
 public:
  void Add(const std::string& target, const std::string& service) {
    const std::lock_guard lock(mutex_);
    ++runs_[{target.substr(0, 3), service}];
  }
  int Of(int route, const std::string& service) {
    const std::lock_guard lock(mutex_);
    return runs_[{"/p" + std::to_string(route), service}];
  }
  void Clear() {
    const std::lock_guard lock(mutex_);
    runs_.clear();
  }

 private:
  std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, int> runs_;
};

/// Sends `count` requests to each route, in turn through the gateways. @return how many got 200.
int SendToAll(const Fleet& fleet, int count, const std::string& phase) {
  std::atomic<int> served{0};
  std::vector<std::thread> threads;
  for (int route = 0; route < kRoutes; ++route) {
    threads.emplace_back([&, route] {
      std::vector<std::unique_ptr<Client>> clients;
      for (int i = 0; i < kGateways; ++i) {
        clients.push_back(std::make_unique<Client>(fleet.Gateway(i)));
      }
      for (int i = 0; i < count; ++i) {
        const std::string id = phase + "-" + std::to_string(route) + "-" + std::to_string(i);
        const Reply reply = clients[i % kGateways]->Send(
            "GET", "/p" + std::to_string(route) + "/x",
            {{"Host", "desk.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "2000"}}, "",
            milliseconds(2500));
        served += reply.status == 200 ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return served;
}

}  // namespace

int RunSplitCase(Record* record, bool trouble) {
  Fleet fleet({.controls = 5, .gateways = kGateways, .gateway_bounds = ""});
  Runs runs;
  const auto on_run = [&](const Leaf& leaf, const Message& request) {
    runs.Add(request.target(), leaf.options().service);
  };
  std::vector<std::unique_ptr<Leaf>> leafs;
  for (const std::string service : {"blue", "green"}) {
    for (int i = 0; i < 3; ++i) {
      leafs.push_back(std::make_unique<Leaf>(
          LeafOptions{.id = "i-" + service + std::to_string(i), .service = service, .slots = 8},
          fleet.Controls(), record, on_run));
    }
  }
  if (!fleet.Put(Document(1, 600, 400)) || !fleet.WaitUntilReady()) {
    return kCouldNotRun;
  }
  record->Add("version 1 acknowledged: weights blue 600, green 400");
  std::this_thread::sleep_for(kApplyTime);
  const int before = SendToAll(fleet, kRequestsBefore, "before");
  record->Add("sent " + std::to_string(kRoutes * kRequestsBefore) +
              ", answered with 200: " + std::to_string(before));
  const int blue = trouble ? 0 : 600;
  const int green = trouble ? 1 : 400;
  if (!fleet.Put(Document(2, blue, green))) {
    return kCouldNotRun;
  }
  record->Add("version 2 acknowledged: weights blue " + std::to_string(blue) + ", green " +
              std::to_string(green));
  std::this_thread::sleep_for(kApplyTime + milliseconds(500));
  runs.Clear();
  const int after = SendToAll(fleet, kRequestsAfter, "after");
  record->Add("sent " + std::to_string(kRoutes * kRequestsAfter) +
              ", answered with 200: " + std::to_string(after));
  if (after < kRoutes * kRequestsAfter) {
    // Only a time in which no part turns requests away counts.
    return kCouldNotRun;
  }
  const double wanted = static_cast<double>(blue) / (blue + green);
  bool broken = false;
  for (int route = 0; route < kRoutes; ++route) {
    const int at_blue = runs.Of(route, "blue");
    const int at_green = runs.Of(route, "green");
    const double share = static_cast<double>(at_blue) / (at_blue + at_green);
    const bool off = share - wanted > kAllowedDeviation || wanted - share > kAllowedDeviation;
    broken |= off;
    record->Add("route r-" + std::to_string(route) + ": ran at blue " + std::to_string(at_blue) +
                ", at green " + std::to_string(at_green) + "; share of blue " +
                std::to_string(share) + ", by weight " + std::to_string(wanted) +
                (off ? "  BROKEN" : ""));
  }
  return broken ? kBroken : kHeld;
}

}  // namespace standin
