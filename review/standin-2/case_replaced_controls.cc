// Control machines are replaced one after the other; later the one that a gateway follows is
// replaced, too, and a new configuration must still be in force at the gateway in time.
#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "cases.h"
#include "client.h"
#include "fleet.h"
#include "leaf.h"

namespace standin {
namespace {

constexpr int kGateways = 5;
/// Rounds of replacements, two machines each, as many as may be lost at once.
constexpr int kRounds = 6;
/// Bounds of the deployment.
constexpr milliseconds kContact{6000};
constexpr milliseconds kApplyTime{5000};
constexpr milliseconds kCatchUp{6000};
/// Time after which a replaced machine's successor comes.
constexpr milliseconds kReplaceAfter{1000};

std::string Document(int version, const std::string& service) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-desk\",\"host\":\"desk.example\",\"path_prefix\":\"/desk/\","
         "\"type\":\"idempotent\",\"timeout_ms\":1000,\"slo_ms\":400,\"priority\":1,"
         "\"backend\":\"" +
         service +
         "\",\"max_attempts\":2}],\"backends\":[{\"name\":\"old\",\"health_path\":\"/healthz\","
         "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"new\","
         "\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

/// Returns names of gateways that begin with the first of three control machines.
std::vector<std::string> GatewayNames() {
  std::vector<std::string> names;
  for (int i = 1; names.size() < kGateways; ++i) {
    const std::string name = "edge-south-" + std::to_string(i);
    if (std::hash<std::string>{}(name) % 3 == 0) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace

int RunReplacedControlsCase(Record* record, bool trouble) {
  FleetOptions options;
  options.gateways = kGateways;
  options.gateway_zone = "south";
  options.gateway_names = GatewayNames();
  Fleet fleet(options);
  std::mutex mutex;
  std::set<std::string> ran_at_old;
  const auto on_run = [&](const Leaf& leaf, const Message& request) {
    if (leaf.options().service == "old") {
      const std::lock_guard lock(mutex);
      ran_at_old.insert(request.Header("X-Request-Id"));
    }
  };
  std::vector<std::string> all_controls;
  for (int i = 1; i <= 30; ++i) {
    all_controls.push_back("127.0.1." + std::to_string(i) +
                           fleet.Controls()[0].substr(fleet.Controls()[0].rfind(':')));
  }
  std::vector<std::unique_ptr<Leaf>> leafs;
  for (const std::string service : {"old", "new"}) {
    for (int i = 0; i < 2; ++i) {
      leafs.push_back(std::make_unique<Leaf>(
          LeafOptions{.id = "i-" + service + std::to_string(i), .service = service, .slots = 4},
          all_controls, record, on_run));
    }
  }
  if (!fleet.Put(Document(1, "old")) || !fleet.WaitUntilReady()) {
    return kCouldNotRun;
  }
  record->Add("version 1 acknowledged: the route leads to 'old'");
  std::this_thread::sleep_for(kContact);
  std::vector<int> oldest = {1, 2, 3, 4};
  for (int round = 0; trouble && round < kRounds; ++round) {
    const std::vector<int> replaced(oldest.begin(), oldest.begin() + 2);
    oldest.erase(oldest.begin(), oldest.begin() + 2);
    for (const int index : replaced) {
      fleet.RemoveControl(index);
      record->Add("control machine " + std::to_string(index) + " is gone for good");
    }
    std::this_thread::sleep_for(kReplaceAfter);
    for (size_t i = 0; i < replaced.size(); ++i) {
      oldest.push_back(fleet.AddControl());
      record->Add("control machine " + std::to_string(oldest.back()) + " starts, empty");
    }
    std::this_thread::sleep_for(kCatchUp + milliseconds(500));
  }
  std::this_thread::sleep_for(kContact);
  fleet.RemoveControl(0);
  const Clock::time_point removed = Clock::now();
  record->Add("control machine 0 is gone for good");
  if (!fleet.Put(Document(2, "new"))) {
    return kCouldNotRun;
  }
  const Clock::time_point acknowledged = Clock::now();
  record->Add("version 2 acknowledged: the route leads to 'new'");
  std::this_thread::sleep_until(removed + kReplaceAfter);
  record->Add("control machine " + std::to_string(fleet.AddControl()) + " starts, empty");
  // In touch once the core has been stable for `contact_ms` since its last machine started.
  const Clock::time_point judged =
      std::max(acknowledged + kApplyTime, removed + kReplaceAfter + kContact) + milliseconds(300);
  std::set<std::string> sent_late;
  for (int i = 0; Clock::now() < judged + milliseconds(8000); ++i) {
    for (int gateway = 0; gateway < kGateways; ++gateway) {
      Client client(fleet.Gateway(gateway));
      const std::string id = "q-" + std::to_string(gateway) + "-" + std::to_string(i);
      const bool late = Clock::now() >= judged;
      const Reply reply =
          client.Send("GET", "/desk/x",
                      {{"Host", "desk.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "1000"}},
                      "", milliseconds(1500));
      const std::lock_guard lock(mutex);
      const bool old = ran_at_old.contains(id);
      if (late && old) {
        sent_late.insert(id);
      }
      record->Add(id + " answered " + std::to_string(reply.status) + ", ran at " +
                  (old ? "old" : "new") + (late && old ? "  BROKEN" : ""));
    }
    std::this_thread::sleep_for(milliseconds(150));
  }
  record->Add(
      "run by the old service although sent later than " + std::to_string(kApplyTime.count()) +
      " ms after the acknowledgement, by machines in touch: " + std::to_string(sent_late.size()));
  return sent_late.empty() ? kHeld : kBroken;
}

}  // namespace standin
