// Tests on real processes: the weights of split routes change.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "common/json.h"
#include "platform/platform_fleet.h"

namespace pumicedyke::platform {
namespace {

constexpr int kServed = 200;
constexpr int kRoutes = 4;

std::string PrefixOf(int route) { return "/p" + std::to_string(route) + "/"; }

/// Routes split by these weights, and one to blue alone.
std::string Document(uint64_t version, int blue, int green) {
  Json routes = Json::array();
  for (int i = 0; i < kRoutes; ++i) {
    routes.push_back(
        {{"name", "r" + std::to_string(i)},
         {"host", "desk.example"},
         {"path_prefix", PrefixOf(i)},
         {"type", "idempotent"},
         {"timeout_ms", 2000},
         {"slo_ms", 500},
         {"priority", 1},
         {"split",
          {{{"backend", "blue"}, {"weight", blue}}, {{"backend", "green"}, {"weight", green}}}},
         {"max_attempts", 1}});
  }
  Json services = Json::array();
  for (const std::string name : {"blue", "green"}) {
    services.push_back({{"name", name}, {"health_path", "/healthz"}, {"max_conns", 100}});
  }
  return Json{{"version", version},
              {"routes", routes},
              {"backends", services},
              {"limits",
               {{"max_header_bytes", 4096},
                {"max_body_bytes", 1000},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

void Send(PlatformFleet* fleet, int route, int requests) {
  for (int i = 0; i < requests; ++i) {
    CPPUNIT_ASSERT_EQUAL(kServed, fleet->SendRequest(PrefixOf(route) + "x").status);
  }
}

}  // namespace

class SplitChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SplitChangeTest);
  CPPUNIT_TEST(NewWeightsHoldAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against requests that run at a service of weight zero after a version is in force,
  /// because of the weights before.
  void NewWeightsHoldAtOnce() {
    PlatformFleet fleet;
    FakeLeaf blue("leaf-blue", "blue");
    FakeLeaf green("leaf-green", "green");
    CPPUNIT_ASSERT_EQUAL(kServed, fleet.Put(Document(1, 600, 400)));
    fleet.SendHeartbeats({&blue, &green});
    fleet.WaitUntilServed(PrefixOf(0));
    // The routes stand at different points of their round when the weights change.
    for (int route = 0; route < kRoutes; ++route) {
      Send(&fleet, route, 8 + route);
    }
    CPPUNIT_ASSERT_EQUAL(kServed, fleet.Put(Document(2, 0, 1)));
    fleet.WaitForVersion(2);
    constexpr int kRequests = 20;
    int runs = blue.runs();
    for (int route = 0; route < kRoutes; ++route) {
      Send(&fleet, route, kRequests);
    }
    CPPUNIT_ASSERT_EQUAL(runs, blue.runs());
    CPPUNIT_ASSERT_EQUAL(kServed, fleet.Put(Document(3, 1, 1)));
    fleet.WaitForVersion(3);
    for (int route = 0; route < kRoutes; ++route) {
      runs = blue.runs();
      Send(&fleet, route, kRequests);
      CPPUNIT_ASSERT_EQUAL(kRequests / 2, blue.runs() - runs);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SplitChangeTest);

}  // namespace pumicedyke::platform
