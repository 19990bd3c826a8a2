// Many users send large bodies at once; the gateway holds more bytes than its budget.
#include <atomic>
#include <memory>
#include <set>
#include <thread>

#include "cases.h"
#include "client.h"
#include "fleet.h"
#include "leaf.h"

namespace standin {
namespace {

/// Clients in usual operation, and factor of the burst.
constexpr int kUsualClients = 100;
constexpr double kBurst = 1.7;
constexpr size_t kBodyBytes = 262144;
constexpr int kLeafs = 20;
/// More requests than this, passed on and then cut, break the rule.
constexpr int kAllowedLosses = 3;

std::string Document() {
  return "{\"version\":1,\"routes\":[{\"name\":\"r-desk\",\"host\":\"desk.example\","
         "\"path_prefix\":\"/reprint/\",\"type\":\"mutating\",\"timeout_ms\":8000,"
         "\"slo_ms\":800,\"priority\":1,\"backend\":\"reprint\",\"max_attempts\":2}],"
         "\"backends\":[{\"name\":\"reprint\",\"health_path\":\"/healthz\",\"max_conns\":110,"
         "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

}  // namespace

int RunBodiesCase(Record* record, bool trouble) {
  Fleet fleet({.controls = 5, .gateways = 1, .gateway_bounds = ""});
  std::mutex mutex;
  std::set<std::string> ran;
  std::vector<std::unique_ptr<Leaf>> leafs;
  for (int i = 0; i < kLeafs; ++i) {
    leafs.push_back(std::make_unique<Leaf>(
        LeafOptions{.id = "i-" + std::to_string(i),
                    .service = "reprint",
                    .slots = 2,
                    .work = milliseconds(220)},
        fleet.Controls(), record, [&](const Leaf& leaf, const Message& request) {
          const std::string id = request.Header("X-Request-Id");
          record->Add("leaf " + leaf.options().id + " runs " + id);
          const std::lock_guard lock(mutex);
          ran.insert(id);
        }));
  }
  if (!fleet.Put(Document()) || !fleet.WaitUntilReady()) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(3000));
  const int clients = trouble ? static_cast<int>(kUsualClients * kBurst) : kUsualClients;
  record->Add(std::to_string(clients) +
              " clients send a small request each and keep the "
              "connection");
  std::atomic<int> ready{0};
  std::atomic<bool> go{false};
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::atomic<int> failed{0};
  std::set<std::string> cut;
  std::vector<std::thread> threads;
  for (int i = 0; i < clients; ++i) {
    threads.emplace_back([&, i] {
      Client client(fleet.Gateway(0));
      const auto send = [&](const std::string& id, const std::string& body) {
        return client.Send(
            "POST", "/reprint/form",
            {{"Host", "desk.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "8000"}}, body,
            milliseconds(8500));
      };
      send("small-" + std::to_string(i), "x");
      ++ready;
      while (!go) {
        std::this_thread::sleep_for(milliseconds(2));
      }
      const std::string id = "large-" + std::to_string(i);
      const Reply reply = send(id, std::string(kBodyBytes, 'f'));
      const char* ends[] = {"", "closed", "reset", "no answer in time"};
      record->Add("client " + id + ": " +
                  (reply.status > 0
                       ? "answered " + std::to_string(reply.status)
                       : std::string("connection ") + ends[static_cast<int>(reply.end)]));
      if (reply.status == 200) {
        ++served;
      } else if (reply.status == 429 || reply.status == 503) {
        ++refused;
      } else if (reply.status > 0) {
        ++failed;
      } else {
        const std::lock_guard lock(mutex);
        cut.insert(id);
      }
    });
  }
  while (ready < clients) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  std::this_thread::sleep_for(milliseconds(500));
  record->Add("all send a body of " + std::to_string(kBodyBytes) + " bytes at once");
  go = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::lock_guard lock(mutex);
  int lost = 0;
  for (const std::string& id : cut) {
    lost += ran.contains(id) ? 1 : 0;
  }
  record->Add("answered with 200: " + std::to_string(served) + ", with 429 or 503: " +
              std::to_string(refused) + ", otherwise: " + std::to_string(failed) +
              "; connection ended without an answer: " + std::to_string(cut.size()) +
              ", of them passed on to a leaf: " + std::to_string(lost));
  return lost > kAllowedLosses ? kBroken : kHeld;
}

}  // namespace standin
