// Tests on real processes that a gateway which is told to stop answers every request that it has
// read before the platform kills it, whatever the leafs do.
#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/json.h"
#include "e2e/raw_connection.h"
#include "e2e/whole_response.h"
#include "platform/arrival_log.h"
#include "platform/platform_fleet.h"

namespace pumicedyke::platform {
namespace {

/// The users' platform kills a process this long after it has told it to stop.
constexpr Duration kKillAfter = Seconds(6);
/// Clients and routes wait longer than that.
constexpr int kDeadline = 8000;
/// So many shards are gathered with the help of other gateways.
constexpr size_t kSharedShards = 24;

Json Route(const std::string& name, const std::string& type) {
  return {{"name", name},  {"host", "desk.example"},  {"path_prefix", "/" + name + "/"},
          {"type", type},  {"timeout_ms", kDeadline}, {"slo_ms", 800},
          {"priority", 1}, {"max_attempts", 2}};
}

Json PlainRoute(const std::string& name, const std::string& type, const std::string& service) {
  Json route = Route(name, type);
  route["backend"] = service;
  return route;
}

std::string ShardName(size_t index) { return "shard" + std::to_string(index); }

Json Service(const std::string& name) {
  return {{"name", name}, {"health_path", "/healthz"}, {"max_conns", 100}};
}

std::string Document() {
  Json gather = Route("all", "idempotent");
  gather["gather"] = Json::array();
  gather["top_k"] = 2;
  gather["min_coverage"] = 1.0;
  Json services = Json::array({Service("failing"), Service("silent")});
  for (size_t i = 0; i < kSharedShards; ++i) {
    gather["gather"].push_back(ShardName(i));
    services.push_back(Service(ShardName(i)));
  }
  return Json{{"version", 1},
              {"routes", Json::array({PlainRoute("failing", "idempotent", "failing"),
                                      PlainRoute("silent", "idempotent", "silent"),
                                      PlainRoute("once", "mutating", "silent"), gather})},
              {"backends", services},
              {"limits",
               {{"max_header_bytes", 4096},
                {"max_body_bytes", 1000},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

/// Clients that have sent a request each and wait for the response.
class Clients {
 public:
  explicit Clients(std::string gateway) : gateway_(std::move(gateway)) {}

  void Send(const std::string& path) {
    auto connection = std::make_unique<e2e::RawConnection>(gateway_);
    const std::string id = "client-" + gateway_ + "-" + std::to_string(connections_.size());
    connection->SendBytes("GET " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
                          "\r\nX-Deadline-Ms: " + std::to_string(kDeadline) + "\r\n\r\n");
    paths_.push_back(path);
    connections_.push_back(std::move(connection));
  }
  /// Waits until all connections have ended. @return the paths of the requests that got no whole
  /// response, with what came.
  std::vector<std::string> Lost() const {
    std::vector<std::string> lost;
    for (size_t i = 0; i < connections_.size(); ++i) {
      const std::string response = connections_[i]->ReadToEnd();
      if (!e2e::IsWholeResponse(response)) {
        lost.push_back(paths_[i] + " got '" + response + "'");
      }
    }
    return lost;
  }

 private:
  std::string gateway_;
  std::vector<std::string> paths_;
  std::vector<std::unique_ptr<e2e::RawConnection>> connections_;
};

/// Clients that send a request that may run once at a time, on connections that they have kept and
/// on new ones.
class LateClients {
 public:
  /// Opens the connections that are kept, on which a request each is answered.
  LateClients(std::string gateway, int64_t kept) : gateway_(std::move(gateway)) {
    for (int64_t i = 0; i < kept; ++i) {
      auto connection = std::make_unique<e2e::RawConnection>(gateway_);
      connection->SendBytes(RequestWith("kept-" + std::to_string(i)));
      e2e::WaitFor("a response", [&] { return !connection->ReadAvailable().empty(); });
      kept_.push_back(std::move(connection));
    }
  }

  /// Sends one request on a kept connection, and one on a new one if the gateway listens.
  void SendNext() {
    if (!kept_.empty()) {
      Send(std::move(kept_.back()));
      kept_.pop_back();
    }
    Send(e2e::RawConnection::ConnectIfListening(gateway_));
  }
  /// Waits until all connections have ended. @return the ids of the requests that have arrived at a
  /// leaf and got no whole response, with what came.
  std::string LostOf(const ArrivalLog& arrivals) const {
    std::string lost;
    for (size_t i = 0; i < sent_.size(); ++i) {
      const std::string response = sent_[i]->ReadToEnd();
      if (arrivals.HasArrived("silent", IdOf(i)) && !e2e::IsWholeResponse(response)) {
        lost += IdOf(i) + " got '" + response + "'\n";
      }
    }
    return lost;
  }

  /// Number of requests that have arrived at a leaf.
  size_t PassedOn(const ArrivalLog& arrivals) const {
    size_t count = 0;
    for (size_t i = 0; i < sent_.size(); ++i) {
      count += arrivals.HasArrived("silent", IdOf(i)) ? 1 : 0;
    }
    return count;
  }

 private:
  static std::string IdOf(size_t number) { return "late-" + std::to_string(number); }
  static std::string RequestWith(const std::string& id) {
    return "POST /once/" + id + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(kDeadline) + "\r\nContent-Length: 0\r\n\r\n";
  }
  void Send(std::unique_ptr<e2e::RawConnection> connection) {
    if (connection != nullptr) {
      connection->SendBytes(RequestWith(IdOf(sent_.size())));
      sent_.push_back(std::move(connection));
    }
  }

  std::string gateway_;
  std::vector<std::unique_ptr<e2e::RawConnection>> kept_;
  std::vector<std::unique_ptr<e2e::RawConnection>> sent_;
};

}  // namespace

class StopLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopLimitTest);
  CPPUNIT_TEST(EveryRequestIsAnsweredBeforeAStoppingGatewayIsKilled);
  CPPUNIT_TEST(LateRequestsOfAStoppingGatewayAreAnswered);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against requests that a stopping gateway still holds when the platform kills it, so
  /// that their connections end without an answer: held for a second attempt after a leaf's
  /// failure, or at a leaf that never answers; gathered alone or for another gateway.
  void EveryRequestIsAnsweredBeforeAStoppingGatewayIsKilled() {
    PlatformFleet fleet;
    const std::vector<std::unique_ptr<FakeLeaf>> leafs = StartLeafs();
    CPPUNIT_ASSERT_EQUAL(200, fleet.Put(Document()));
    for (const auto& leaf : leafs) {
      fleet.SendHeartbeats({leaf.get()});
    }
    const std::string second = fleet.StartAdditionalGateway("gateway2");
    const std::vector<std::string> gateways = {fleet.gateway_address(), second};
    for (const std::string& gateway : gateways) {
      WaitForAll(&fleet, gateway);
    }
    for (const auto& leaf : leafs) {
      if (leaf->service() == "failing") {
        leaf->Fail();
      } else {
        leaf->Hold();
      }
    }
    std::vector<Clients> clients;
    clients.reserve(gateways.size());
    for (const std::string& gateway : gateways) {
      clients.push_back(SendToAll(gateway));
    }
    WaitForRuns(leafs);
    auto first_end = std::async(std::launch::async, e2e::StopLikeThePlatform,
                                fleet.processes.at("gateway").get(), kKillAfter);
    auto second_end = std::async(std::launch::async, e2e::StopLikeThePlatform,
                                 fleet.processes.at("gateway2").get(), kKillAfter);
    const bool all_ended = first_end.get() & second_end.get();
    std::string lost;
    for (const Clients& some : clients) {
      for (const std::string& request : some.Lost()) {
        lost += request + "\n";
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), lost);
    CPPUNIT_ASSERT(all_ended);
  }

  /// Guards against requests that may run once, come at any moment of a planned stop in calm, new
  /// connections and kept ones, and are passed on but end without an answer. The leaf never
  /// answers.
  void LateRequestsOfAStoppingGatewayAreAnswered() {
    constexpr Duration kInterval = Milliseconds(200);
    // Leafs have room for two requests each, so that every one is passed on at once.
    constexpr int kLeafs = 2 * (kKillAfter / kInterval);
    PlatformFleet fleet({.kill_after = kKillAfter, .drain_grace = kKillAfter});
    ArrivalLog arrivals;
    std::vector<std::unique_ptr<FakeLeaf>> leafs;
    CPPUNIT_ASSERT_EQUAL(200, fleet.Put(Document()));
    for (int i = 0; i < kLeafs; ++i) {
      leafs.push_back(std::make_unique<FakeLeaf>("leaf-" + std::to_string(i), "silent", &arrivals));
      fleet.SendHeartbeats({leafs.back().get()});
    }
    fleet.WaitUntilServed("/once/1");
    LateClients clients(fleet.gateway_address(), kKillAfter / kInterval);
    for (const auto& leaf : leafs) {
      leaf->Hold();
    }
    auto end = std::async(std::launch::async, e2e::StopLikeThePlatform,
                          fleet.processes.at("gateway").get(), kKillAfter);
    e2e::WaitFor("the end of the gateway", [&] {
      clients.SendNext();
      return end.wait_for(kInterval) == std::future_status::ready;
    });
    CPPUNIT_ASSERT(end.get());
    CPPUNIT_ASSERT_EQUAL(std::string(), clients.LostOf(arrivals));
    CPPUNIT_ASSERT(clients.PassedOn(arrivals) > 0);
  }

 private:
  static std::vector<std::unique_ptr<FakeLeaf>> StartLeafs() {
    std::vector<std::unique_ptr<FakeLeaf>> leafs;
    const auto start = [&leafs](const std::string& service) {
      leafs.push_back(std::make_unique<FakeLeaf>("leaf-" + std::to_string(leafs.size()), service));
    };
    for (int i = 0; i < 3; ++i) {
      start("failing");
    }
    start("silent");
    start("silent");
    for (size_t i = 0; i < kSharedShards; ++i) {
      start(ShardName(i));
    }
    return leafs;
  }

  static void WaitForAll(PlatformFleet* fleet, const std::string& gateway) {
    for (const char* path : {"/failing/1", "/silent/1", "/once/1", "/all/1"}) {
      e2e::WaitFor(gateway + " to serve " + path, [&] {
        const http::ClientResponse response = fleet->SendRequestTo(gateway, path, {});
        const std::string* missing = http::FindHeader(response.headers, "X-Missing-Parts");
        return response.status == 200 && (missing == nullptr || *missing == "0");
      });
    }
  }

  static Clients SendToAll(const std::string& gateway) {
    constexpr int kFailing = 20;
    Clients clients(gateway);
    for (int i = 0; i < kFailing; ++i) {
      clients.Send("/failing/" + std::to_string(i));
    }
    clients.Send("/silent/2");
    clients.Send("/once/2");
    clients.Send("/all/2");
    return clients;
  }

  /// Waits until every kind of request has reached a leaf.
  static void WaitForRuns(const std::vector<std::unique_ptr<FakeLeaf>>& leafs) {
    const std::map<std::string, int> wanted = {{"silent", 4}, {ShardName(0), 1}};
    for (const auto& item : wanted) {
      e2e::WaitFor("requests at " + item.first, [&] {
        int held = 0;
        for (const auto& leaf : leafs) {
          held += leaf->service() == item.first ? leaf->held() : 0;
        }
        return held >= item.second;
      });
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StopLimitTest);

}  // namespace pumicedyke::platform
