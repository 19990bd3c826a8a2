// Tests on real processes that gateways, and control machines on the platform's interface, answer
// what arrives while they are paused in their planned stop.
#include "e2e/paused_stop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "common/json.h"
#include "platform/platform_fleet.h"

namespace pumicedyke::platform {
namespace {

Json Route(const std::string& name, const std::string& type) {
  return {{"name", name},  {"host", "desk.example"}, {"path_prefix", "/" + name + "/"},
          {"type", type},  {"timeout_ms", 2000},     {"slo_ms", 500},
          {"priority", 1}, {"backend", "s0"},        {"max_attempts", 2}};
}

std::string Document() {
  return Json{
      {"version", 1},
      {"routes", Json::array({Route("read", "idempotent"), Route("write", "mutating")})},
      {"backends", Json::array({{{"name", "s0"}, {"health_path", "/healthz"}, {"max_conns", 26}}})},
      {"limits",
       {{"max_header_bytes", 4096},
        {"max_body_bytes", 1000},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}}}
      .dump();
}

std::string Request(const std::string& path, const std::string& id) {
  return "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 2000\r\n\r\n";
}

}  // namespace

class PlatformPausedStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformPausedStopTest);
  CPPUNIT_TEST(GatewaysAndControlAnswerWhatArrivesWhileTheyArePaused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GatewaysAndControlAnswerWhatArrivesWhileTheyArePaused() {
    PlatformFleet fleet;
    FakeLeaf leaf("leaf-a", "s0");
    std::vector<std::string> names = {"gateway"};
    std::vector<std::string> addresses = {fleet.gateway_address()};
    for (int i = 1; i < 8; ++i) {
      names.push_back("gateway-" + std::to_string(i));
      addresses.push_back(fleet.StartAdditionalGateway(names.back()));
    }
    CPPUNIT_ASSERT_EQUAL(200, fleet.Put(Document()));
    fleet.SendHeartbeats({&leaf});
    std::vector<e2e::PausedStop> stops;
    for (size_t i = 0; i < names.size(); ++i) {
      e2e::WaitFor(names[i] + " to serve",
                   [&] { return fleet.SendRequestTo(addresses[i], "/read/1", {}).status == 200; });
      e2e::PausedStop stop;
      stop.process = fleet.processes.at(names[i]).get();
      stop.address = addresses[i];
      stop.first = Request("/read/1", "first-" + names[i]);
      stop.request = Request(i % 2 == 0 ? "/read/2" : "/write/2", "second-" + names[i]);
      // The grace period is 300 ms, and open connections are closed 500 ms later.
      stop.moment = Milliseconds(570 + 30 * static_cast<int64_t>(i));
      stop.in_pieces = i % 3 == 1;
      stops.push_back(stop);
    }
    for (int i = 0; i < PlatformFleet::kControls; ++i) {
      e2e::PausedStop stop;
      stop.process = fleet.processes.at("c" + std::to_string(i)).get();
      stop.address = fleet.ServiceAddress(i);
      stop.first = "GET /v1/config/get HTTP/1.1\r\nHost: h\r\n\r\n";
      stop.request = stop.first;
      stop.moment = Milliseconds(640 + 60 * i);
      stops.push_back(stop);
    }
    const auto outcomes = e2e::StopWithPauses(stops);
    CPPUNIT_ASSERT(!outcomes.contains(e2e::PausedStopOutcome::kLost));
    CPPUNIT_ASSERT(outcomes.contains(e2e::PausedStopOutcome::kAnswered));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlatformPausedStopTest);

}  // namespace pumicedyke::platform
