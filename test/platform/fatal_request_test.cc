// Tests on real processes that all gateways stop a request that crashes every leaf that runs it,
// and that they stop no other request.
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "platform/crashing_fleet.h"

namespace pumicedyke::platform {

class FatalRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FatalRequestTest);
  CPPUNIT_TEST(GatherThatCrashesLeafsIsStoppedEverywhere);
  CPPUNIT_TEST(RequestToOneLeafThatCrashesLeafsIsStoppedEverywhere);
  CPPUNIT_TEST(FatalRequestsOneAfterTheOtherAreAllStopped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GatherThatCrashesLeafsIsStoppedEverywhere() { CheckStoppedEverywhere("/all/fatal"); }
  void RequestToOneLeafThatCrashesLeafsIsStoppedEverywhere() {
    CheckStoppedEverywhere("/one/fatal");
  }

  /// Guards against reports of lost runs that no control machine acknowledges: each gateway waited
  /// for its first report to be acknowledged and never told of later fatal requests.
  void FatalRequestsOneAfterTheOtherAreAllStopped() {
    CrashingFleet fleet;
    constexpr int kFatalRequests = 4;
    const std::vector<std::string> gateways(fleet.gateways().begin(), fleet.gateways().begin() + 2);
    for (int i = 0; i < kFatalRequests; ++i) {
      const std::string path = "/all/fatal-" + std::to_string(i);
      size_t turn = 0;
      size_t refused_in_a_row = 0;
      e2e::WaitFor("both gateways to refuse " + path, [&] {
        fleet.SendHeartbeats();
        const std::string& gateway = gateways[turn++ % gateways.size()];
        const bool refused = IsQuarantined(fleet.SendFatalRequest(gateway, path));
        refused_in_a_row = refused ? refused_in_a_row + 1 : 0;
        return refused_in_a_row >= gateways.size();
      });
    }
    e2e::WaitFor("all reports to be acknowledged", [&] { return fleet.PendingReports() == 0; });
    const int crashes = fleet.Crashes();
    for (int i = 0; i < kFatalRequests; ++i) {
      const std::string path = "/all/fatal-" + std::to_string(i);
      for (const std::string& gateway : gateways) {
        CPPUNIT_ASSERT(IsQuarantined(fleet.SendRequestAs(kFatalCaller, gateway, path)));
      }
    }
    CPPUNIT_ASSERT_EQUAL(crashes, fleet.Crashes());
  }

 private:
  static void CheckServed(const http::ClientResponse& response) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 200, response.status);
  }

  static void CheckStoppedEverywhere(const std::string& path) {
    CrashingFleet fleet;
    // The request is repeated at the gateways in turn.
    size_t turn = 0;
    size_t refused_in_a_row = 0;
    e2e::WaitFor("every gateway to refuse the request", [&] {
      fleet.SendHeartbeats();
      const std::string& gateway = fleet.gateways()[turn++ % fleet.gateways().size()];
      const bool refused = IsQuarantined(fleet.SendRequestAs(kFatalCaller, gateway, path));
      refused_in_a_row = refused ? refused_in_a_row + 1 : 0;
      return fleet.Crashes() >= 3 && refused_in_a_row >= 2 * fleet.gateways().size();
    });
    // Once the leafs have restarted, other requests of the same caller and the same path for other
    // callers are served.
    for (const std::string& gateway : fleet.gateways()) {
      fleet.WaitForAllShards(gateway);
      CheckServed(fleet.SendRequestAs(kFatalCaller, gateway, "/all/usual"));
      CheckServed(fleet.SendRequestAs("Bearer alice", gateway, path));
    }
    const int crashes = fleet.Crashes();
    for (size_t i = 0; i < 4 * fleet.gateways().size(); ++i) {
      const http::ClientResponse answer =
          fleet.SendRequestAs(kFatalCaller, fleet.gateways()[i % fleet.gateways().size()], path);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(answer.status), IsQuarantined(answer));
    }
    CPPUNIT_ASSERT_EQUAL(crashes, fleet.Crashes());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FatalRequestTest);

}  // namespace pumicedyke::platform
