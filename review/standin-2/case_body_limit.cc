// The configuration raises the limit on bodies; clients then use it on connections that they kept.
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "cases.h"
#include "client.h"
#include "fleet.h"
#include "leaf.h"

namespace standin {
namespace {

constexpr int kClients = 40;
constexpr size_t kOldLimit = 65536;
constexpr size_t kNewLimit = 262144;
constexpr size_t kBodyBytes = 200000;
constexpr milliseconds kApplyTime{3000};

std::string Document(int version, size_t max_body_bytes) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-desk\",\"host\":\"desk.example\",\"path_prefix\":\"/desk/\","
         "\"type\":\"idempotent\",\"timeout_ms\":4000,\"slo_ms\":800,\"priority\":1,"
         "\"backend\":\"desk\",\"max_attempts\":2}],\"backends\":[{\"name\":\"desk\","
         "\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" +
         std::to_string(max_body_bytes) + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

}  // namespace

int RunBodyLimitCase(Record* record, bool trouble) {
  Fleet fleet({.controls = 5, .gateways = 2, .gateway_bounds = ""});
  std::vector<std::unique_ptr<Leaf>> leafs;
  for (int i = 0; i < 5; ++i) {
    leafs.push_back(std::make_unique<Leaf>(
        LeafOptions{.id = "i-" + std::to_string(i), .service = "desk", .slots = 3},
        fleet.Controls(), record, [](const Leaf&, const Message&) {}));
  }
  const size_t first_limit = trouble ? kOldLimit : kNewLimit;
  if (!fleet.Put(Document(1, first_limit)) || !fleet.WaitUntilReady()) {
    return kCouldNotRun;
  }
  record->Add("version 1 acknowledged: max_body_bytes " + std::to_string(first_limit));
  std::this_thread::sleep_for(kApplyTime);
  std::vector<std::unique_ptr<Client>> clients;
  int requests = 0;
  int denied = 0;
  int served = 0;
  const auto send = [&](int client, const std::string& id, const std::string& body) {
    const Reply reply = clients[client]->Send(
        "POST", "/desk/order",
        {{"Host", "desk.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "4000"}}, body,
        milliseconds(5000));
    ++requests;
    const bool from_leaf = reply.message.Has("X-Server-Stamp");
    served += reply.status == 200 && from_leaf ? 1 : 0;
    denied += reply.status / 100 == 4 && !from_leaf && reply.status != 408 && reply.status != 421 &&
                      reply.status != 429
                  ? 1
                  : 0;
    record->Add(id + ": body of " + std::to_string(body.size()) + " bytes, answered " +
                std::to_string(reply.status) + (from_leaf ? " by a leaf" : ""));
  };
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<Client>(fleet.Gateway(i % 2)));
    send(i, "small-" + std::to_string(i), "x");
  }
  if (served != kClients || !fleet.Put(Document(2, kNewLimit))) {
    return kCouldNotRun;
  }
  record->Add("version 2 acknowledged: max_body_bytes " + std::to_string(kNewLimit));
  std::this_thread::sleep_for(kApplyTime + milliseconds(1000));
  for (int i = 0; i < kClients; ++i) {
    send(i, "large-" + std::to_string(i), std::string(kBodyBytes, 'f'));
  }
  const double allowed = 5 + requests / 500.0;
  record->Add("requests: " + std::to_string(requests) + ", served: " + std::to_string(served) +
              ", denied: " + std::to_string(denied) + "; at most " + std::to_string(allowed) +
              " may be");
  return denied > allowed ? kBroken : kHeld;
}

}  // namespace standin
