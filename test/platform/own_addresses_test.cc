// Tests on real processes: each address answers only its own paths, whatever a request's path is.
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <string>
#include <thread>

#include "common/json.h"
#include "platform/platform_fleet.h"

namespace pumicedyke::platform {
namespace {

constexpr int kServed = 200;
constexpr int kNotFound = 404;
constexpr int kNotReady = 503;
constexpr char kReadinessPath[] = "/v1/readyz";

/// @param prefix of the only route, whose requests may run once.
std::string Document(uint64_t version, const std::string& prefix) {
  return Json{{"version", version},
              {"routes",
               {{{"name", "orders"},
                 {"host", "desk.example"},
                 {"path_prefix", prefix},
                 {"type", "mutating"},
                 {"timeout_ms", 2000},
                 {"slo_ms", 500},
                 {"priority", 1},
                 {"backend", "s0"},
                 {"max_attempts", 2}}}},
              {"backends", {{{"name", "s0"}, {"health_path", "/healthz"}, {"max_conns", 26}}}},
              {"limits",
               {{"max_header_bytes", 4096},
                {"max_body_bytes", 1000},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

http::ClientResponse Send(const std::string& address, const std::string& method,
                          const std::string& path, const std::string& id) {
  http::ClientRequest request;
  request.address = address;
  request.method = method;
  request.path = path;
  request.headers = {{"Host", "desk.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "2000"}};
  return http::FetchBlocking(request);
}

/// Whether the leaf's own answer came back.
bool IsSigned(const http::ClientResponse& response) {
  return http::FindHeader(response.headers, "X-Server-Stamp") != nullptr;
}

int StatusOfReadiness(const PlatformFleet& fleet) {
  return e2e::Get(fleet.ready_address(), kReadinessPath).status;
}

}  // namespace

class OwnAddressesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnAddressesTest);
  CPPUNIT_TEST(ClientsRequestForTheReadinessPathRunsAtALeaf);
  CPPUNIT_TEST(ReadinessAddressServesNoRequests);
  CPPUNIT_TEST(ReadinessIsAnsweredWhileTheGatewayIsNotReady);
  CPPUNIT_TEST(DirectoryAddressTakesNoOrdersAndHeartbeats);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a client's request that is answered with success by the gateway itself, without
  /// a leaf, because its path is that of the readiness check.
  void ClientsRequestForTheReadinessPathRunsAtALeaf() {
    PlatformFleet fleet;
    FakeLeaf leaf("leaf-a", "s0");
    // Without a document the gateway is not ready, and the client must learn that nothing ran.
    const http::ClientResponse early = Send(fleet.gateway_address(), "POST", kReadinessPath, "e");
    CPPUNIT_ASSERT_EQUAL(kNotReady, early.status);
    CPPUNIT_ASSERT(early.body.find("not ready\n") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(kServed, fleet.Put(Document(1, "/v1/")));
    fleet.SendHeartbeats({&leaf});
    fleet.WaitUntilServed("/v1/orders");
    int runs = leaf.runs();
    const std::string targets[] = {kReadinessPath, std::string(kReadinessPath) + "?all=1"};
    for (const std::string& target : targets) {
      for (const std::string method : {"GET", "POST", "PUT", "DELETE"}) {
        const http::ClientResponse response =
            Send(fleet.gateway_address(), method, target, method + target);
        CPPUNIT_ASSERT_EQUAL(kServed, response.status);
        CPPUNIT_ASSERT_MESSAGE(method, IsSigned(response));
        CPPUNIT_ASSERT_EQUAL(++runs, leaf.runs());
      }
    }
    CPPUNIT_ASSERT_EQUAL(kServed, StatusOfReadiness(fleet));
    // No route leads there any more.
    CPPUNIT_ASSERT_EQUAL(kServed, fleet.Put(Document(2, "/v2/")));
    fleet.WaitUntilServed("/v2/orders");
    CPPUNIT_ASSERT_EQUAL(kNotFound,
                         Send(fleet.gateway_address(), "POST", kReadinessPath, "unrouted").status);
    CPPUNIT_ASSERT_EQUAL(kServed, StatusOfReadiness(fleet));
  }

  /// Guards against requests that reach leafs through the address of the readiness check, past
  /// whatever is put before the address for clients.
  void ReadinessAddressServesNoRequests() {
    PlatformFleet fleet;
    FakeLeaf leaf("leaf-a", "s0");
    CPPUNIT_ASSERT_EQUAL(kServed, fleet.Put(Document(1, "/v1/")));
    fleet.SendHeartbeats({&leaf});
    fleet.WaitUntilServed("/v1/orders");
    const int runs = leaf.runs();
    CPPUNIT_ASSERT_EQUAL(kNotFound,
                         Send(fleet.ready_address(), "POST", "/v1/orders", "order").status);
    CPPUNIT_ASSERT_EQUAL(kNotFound,
                         Send(fleet.ready_address(), "POST", kReadinessPath, "check").status);
    CPPUNIT_ASSERT_EQUAL(runs, leaf.runs());
    CPPUNIT_ASSERT_EQUAL(kServed, StatusOfReadiness(fleet));
  }

  void ReadinessIsAnsweredWhileTheGatewayIsNotReady() {
    PlatformFleet fleet;
    FakeLeaf leaf("leaf-a", "s0");
    CPPUNIT_ASSERT_EQUAL(kNotReady, StatusOfReadiness(fleet));
    CPPUNIT_ASSERT_EQUAL(kServed, fleet.Put(Document(1, "/v1/")));
    fleet.SendHeartbeats({&leaf});
    fleet.WaitUntilServed("/v1/orders");
    CPPUNIT_ASSERT_EQUAL(kServed, StatusOfReadiness(fleet));
    const int runs = leaf.runs();
    leaf.Hold();
    // The held request keeps the gateway from ending before the check is asked.
    std::thread client([&fleet] { fleet.SendRequest("/v1/held"); });
    e2e::WaitFor("a request to be held", [&] { return leaf.runs() > runs; });
    fleet.processes.at("gateway")->Signal(SIGTERM);
    e2e::WaitFor("not ready", [&fleet] { return StatusOfReadiness(fleet) == kNotReady; });
    client.join();
    CPPUNIT_ASSERT_EQUAL(0, fleet.processes.at("gateway")->Wait());
  }

  /// Guards against clients, who may reach the directory, changing the configuration, evacuating
  /// zones or naming leafs.
  void DirectoryAddressTakesNoOrdersAndHeartbeats() {
    PlatformFleet fleet;
    FakeLeaf leaf("leaf-a", "s0");
    CPPUNIT_ASSERT_EQUAL(kServed, fleet.Put(Document(1, "/v1/")));
    fleet.SendHeartbeats({&leaf});
    fleet.WaitUntilServed("/v1/orders");
    for (int i = 0; i < PlatformFleet::kControls; ++i) {
      const std::string directory = fleet.DirectoryAddress(i);
      CPPUNIT_ASSERT_EQUAL(kNotFound,
                           e2e::Post(directory, "/v1/config/put", Document(2, "/v2/")).status);
      CPPUNIT_ASSERT_EQUAL(kNotFound, e2e::Post(directory, "/v1/config/put", "{").status);
      CPPUNIT_ASSERT_EQUAL(kNotFound, e2e::Get(directory, "/v1/config/get").status);
      CPPUNIT_ASSERT_EQUAL(kNotFound, leaf.SendHeartbeat(directory, /*draining=*/true));
      CPPUNIT_ASSERT_EQUAL(kNotFound, e2e::Post(directory, "/v1/evacuate/north/start", "").status);
      e2e::WaitFor("the directory", [&directory] {
        return e2e::Get(directory, "/v1/resolve?name=x&region=r&zone=north").status == kServed;
      });
    }
    const http::ClientResponse held = e2e::Get(fleet.ServiceAddress(0), "/v1/config/get");
    CPPUNIT_ASSERT_EQUAL(Document(1, "/v1/"), held.body);
    CPPUNIT_ASSERT_EQUAL(kServed, fleet.SendRequest("/v1/orders").status);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OwnAddressesTest);

}  // namespace pumicedyke::platform
