// A request on a route whose path equals that of the platform's readiness check.
#include <atomic>
#include <memory>
#include <set>
#include <thread>

#include "cases.h"
#include "client.h"
#include "fleet.h"
#include "leaf.h"

namespace standin {

int RunReadyPathCase(Record* record, bool trouble) {
  Fleet fleet({.controls = 5, .gateways = 1, .gateway_bounds = ""});
  std::mutex mutex;
  std::set<std::string> ran;
  Leaf leaf({.id = "i-desk", .service = "desk", .slots = 4}, fleet.Controls(), record,
            [&](const Leaf&, const Message& request) {
              const std::lock_guard lock(mutex);
              ran.insert(request.Header("X-Request-Id"));
              record->Add("leaf runs " + request.first_line + " " + request.Header("X-Request-Id"));
            });
  const std::string document =
      "{\"version\":1,\"routes\":[{\"name\":\"r-desk\",\"host\":\"desk.example\","
      "\"path_prefix\":\"/v1/\",\"type\":\"mutating\",\"timeout_ms\":2000,\"slo_ms\":500,"
      "\"priority\":1,\"backend\":\"desk\",\"max_attempts\":1}],\"backends\":[{\"name\":\"desk\","
      "\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  if (!fleet.Put(document) || !fleet.WaitUntilReady()) {
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(3000));
  const std::string target = trouble ? "/v1/readyz" : "/v1/orders";
  Client client(fleet.Gateway(0));
  bool broken = false;
  for (int i = 0; i < 5; ++i) {
    const std::string id = "order-" + std::to_string(i);
    const Reply reply = client.Send(
        "POST", target, {{"Host", "desk.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "2000"}},
        "one stack", milliseconds(2500));
    const std::string stamp = reply.message.Header("X-Server-Stamp");
    record->Add("client sent POST " + target + " " + id + ", answered " +
                std::to_string(reply.status) + ", X-Server-Stamp '" + stamp + "', body '" +
                reply.message.body.substr(0, 40) + "'");
    if (reply.status == 0) {
      return kCouldNotRun;
    }
    const std::lock_guard lock(mutex);
    broken |= reply.status / 100 == 2 && (stamp.empty() || !ran.contains(id));
  }
  return broken ? kBroken : kHeld;
}

}  // namespace standin
