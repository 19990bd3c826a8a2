// Tests on real processes: many clients send long bodies to one gateway at once.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "common/json.h"
#include "e2e/raw_connection.h"
#include "platform/platform_fleet.h"

namespace pumicedyke::platform {
namespace {

constexpr size_t kLimitOfBodies = 262144;
/// What a gateway may use for itself.
constexpr uint64_t kMostMemory = uint64_t{128} << 20;
constexpr int kServed = 200;
/// Less than there is room for.
constexpr double kManyHeldBytes = 15 << 20;

std::string Document() {
  return Json{{"version", 1},
              {"routes",
               {{{"name", "print"},
                 {"host", "desk.example"},
                 {"path_prefix", "/print/"},
                 {"type", "mutating"},
                 {"timeout_ms", 60000},
                 {"slo_ms", 500},
                 {"priority", 1},
                 {"backend", "s0"},
                 {"max_attempts", 2}}}},
              {"backends", {{{"name", "s0"}, {"health_path", "/healthz"}, {"max_conns", 400}}}},
              {"limits",
               {{"max_header_bytes", 4096},
                {"max_body_bytes", kLimitOfBodies},
                {"header_timeout_ms", 60000},
                {"idle_timeout_ms", 60000}}}}
      .dump();
}

/// Sends a request that may run once. @return the status of the answer; zero if the connection
/// ended without one.
int SendLongBody(const std::string& gateway, const std::string& id, size_t bytes) {
  const e2e::RawConnection client(gateway);
  client.SendBytes(
      "POST /print/" + id +
      " HTTP/1.1\r\nHost: desk.example\r\nX-Deadline-Ms: 60000\r\nX-Request-Id: " + id +
      "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'f'));
  constexpr size_t kStatusAt = 9;
  constexpr size_t kStatusDigits = 3;
  const std::string answer = client.ReadUntil("..........");
  return answer.size() > kStatusAt ? std::stoi(answer.substr(kStatusAt, kStatusDigits)) : 0;
}

double HeldBytes(const std::string& metrics) {
  const std::string page = e2e::Get(metrics, "/metrics").body;
  const std::string name = "\npumicedyke_held_bytes ";
  const size_t at = page.find(name);
  return at == std::string::npos ? 0 : std::stod(page.substr(at + name.size()));
}

}  // namespace

class LargeBodiesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeBodiesTest);
  CPPUNIT_TEST(ManyLongBodiesAtOnceAreAllServed);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against connections that are closed while a leaf runs their request, and against a
  /// gateway that takes more than its memory, when many clients send long bodies at once.
  void ManyLongBodiesAtOnceAreAllServed() {
    struct Case {
      int clients;
      size_t body_bytes;
    };
    const Case cases[] = {{40, 262144}, {100, 131072}, {170, 262144}, {400, 65536}, {400, 262144}};
    PlatformFleet fleet;
    FakeLeaf leafs[] = {{"leaf-a", "s0"}, {"leaf-b", "s0"}, {"leaf-c", "s0"}, {"leaf-d", "s0"}};
    CPPUNIT_ASSERT_EQUAL(kServed, fleet.Put(Document()));
    for (FakeLeaf& leaf : leafs) {
      fleet.SendHeartbeats({&leaf});
    }
    fleet.WaitUntilServed("/print/first");
    for (const Case& item : cases) {
      SendAtOnce(&fleet, leafs, item.clients, item.body_bytes);
    }
  }

 private:
  template <size_t kLeafs>
  static void SendAtOnce(PlatformFleet* fleet, FakeLeaf (&leafs)[kLeafs], int clients,
                         size_t body_bytes) {
    const auto runs = [&leafs] {
      int sum = 0;
      for (const FakeLeaf& leaf : leafs) {
        sum += leaf.runs();
      }
      return sum;
    };
    const std::string what = std::to_string(clients) + " times " + std::to_string(body_bytes);
    const int before = runs();
    for (FakeLeaf& leaf : leafs) {
      leaf.Hold();
    }
    std::vector<int> statuses(static_cast<size_t>(clients));
    std::vector<std::thread> senders;
    senders.reserve(statuses.size());
    for (int i = 0; i < clients; ++i) {
      senders.emplace_back([&statuses, &what, fleet, i, body_bytes] {
        const std::string id = what.substr(0, what.find(' ')) + "-" + std::to_string(body_bytes) +
                               "-" + std::to_string(i);
        statuses[static_cast<size_t>(i)] = SendLongBody(fleet->gateway_address(), id, body_bytes);
      });
    }
    const double wanted =
        std::min(static_cast<double>(clients) * static_cast<double>(body_bytes), kManyHeldBytes);
    e2e::WaitFor("the gateway to hold many requests",
                 [&] { return HeldBytes(fleet->metrics_address()) >= wanted; });
    for (FakeLeaf& leaf : leafs) {
      leaf.Release();
    }
    for (std::thread& sender : senders) {
      sender.join();
    }
    std::map<int, int> counts;
    for (const int status : statuses) {
      ++counts[status];
    }
    std::string seen;
    for (const auto& [status, count] : counts) {
      seen += " " + std::to_string(status) + ": " + std::to_string(count);
    }
    const uint64_t memory = fleet->processes.at("gateway")->PeakMemoryBytes();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what + seen, clients, counts[kServed]);
    CPPUNIT_ASSERT_MESSAGE(what + ": " + std::to_string(memory) + " bytes", memory <= kMostMemory);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, clients, runs() - before);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LargeBodiesTest);

}  // namespace pumicedyke::platform
