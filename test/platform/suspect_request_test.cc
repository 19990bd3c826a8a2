// Tests on real processes how often a request that has crashed three leafs still reaches leafs, in
// all gateways together, until it is stopped.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "platform/crashing_fleet.h"

namespace pumicedyke::platform {
namespace {

constexpr char kFatalPath[] = "/all/fatal";
/// Attempts that may reach leafs once three leafs have crashed: the users' bound.
constexpr size_t kMaxLaterAttempts = 3;
/// Leafs that one attempt at a suspect request may crash.
constexpr int kMaxProbes = 2;

/// Sends the fatal request to all gateways, again and again, until each refuses it for good.
void RepeatUntilStopped(CrashingFleet* fleet) {
  e2e::WaitFor("every gateway to refuse the request", [&] {
    fleet->SendHeartbeats();
    const auto& gateways = fleet->gateways();
    return std::all_of(gateways.begin(), gateways.end(), [&](const std::string& gateway) {
      return IsQuarantined(fleet->SendRequestAs(kFatalCaller, gateway, kFatalPath));
    });
  });
}

}  // namespace

class SuspectRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspectRequestTest);
  CPPUNIT_TEST(AllGatewaysTogetherTryASuspectAFewTimes);
  CPPUNIT_TEST(OtherCrashesDoNotHideAFatalRequest);
  CPPUNIT_TEST(SuspicionOutlivesRestarts);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against gateways that each try a suspect request by their own allowance: the more
  /// gateways received it at the same time, the more leafs crashed before it was stopped.
  void AllGatewaysTogetherTryASuspectAFewTimes() {
    CrashingFleet fleet({.gateways = 6});
    fleet.SendFatalRequest(fleet.gateways().front(), kFatalPath);
    CPPUNIT_ASSERT(fleet.Crashes() >= 3);
    const size_t first_attempts = fleet.FatalAttempts();
    fleet.WaitUntilAllSuspect();
    for (const std::string& gateway : fleet.gateways()) {
      fleet.WaitForAllShards(gateway);
    }
    fleet.SendFatalRequestToAll(fleet.gateways(), kFatalPath);
    RepeatUntilStopped(&fleet);
    CPPUNIT_ASSERT(fleet.FatalAttempts() - first_attempts <= kMaxLaterAttempts);
  }

  /// Guards against a verdict that requires the request to be present at most crashes: while leafs
  /// crash for other reasons, too, it was never stopped.
  void OtherCrashesDoNotHideAFatalRequest() {
    CrashingFleet fleet;
    int other_crashes = 0;
    fleet.SendFatalRequest(fleet.gateways().front(), kFatalPath);
    const size_t first_attempts = fleet.FatalAttempts();
    fleet.WaitUntilAllSuspect();
    for (size_t round = 0; round < 2 * kMaxLaterAttempts; ++round) {
      // More crashes than those of the fatal request so far.
      const int wanted = fleet.Crashes() - other_crashes + kMaxProbes + 1;
      const int before = fleet.Crashes();
      while (fleet.Crashes() - before < wanted) {
        const std::string path = kCrashPath + std::to_string(fleet.Crashes());
        fleet.SendHeartbeats();
        fleet.SendRequestAs(kUsualCaller, fleet.gateways().front(), path);
      }
      other_crashes += fleet.Crashes() - before;
      const std::string& gateway = fleet.gateways()[round % fleet.gateways().size()];
      fleet.WaitForAllShards(gateway);
      fleet.SendRequestAs(kFatalCaller, gateway, kFatalPath);
    }
    CPPUNIT_ASSERT(fleet.FatalAttempts() - first_attempts <= kMaxLaterAttempts);
    RepeatUntilStopped(&fleet);
  }

  /// Guards against suspicion that is kept in memory only: a restarted gateway sent the request to
  /// all leafs, and restarted control machines counted from zero.
  void SuspicionOutlivesRestarts() {
    CrashingFleet fleet;
    fleet.SendFatalRequest(fleet.gateways().front(), kFatalPath);
    const size_t first_attempts = fleet.FatalAttempts();
    for (int control = 0; control < PlatformFleet::kControls; ++control) {
      e2e::WaitFor("control machines to know the suspect",
                   [&] { return fleet.Suspects(control) > 0; });
    }
    for (size_t round = 0; round < 2 * kMaxLaterAttempts; ++round) {
      const size_t index = round % (fleet.gateways().size() - 1) + 1;
      fleet.RestartAllControl();
      fleet.RestartGateway(index);
      const int before = fleet.Crashes();
      fleet.SendRequestAs(kFatalCaller, fleet.gateways()[index], kFatalPath);
      CPPUNIT_ASSERT(fleet.Crashes() - before <= kMaxProbes);
    }
    CPPUNIT_ASSERT(fleet.FatalAttempts() - first_attempts <= kMaxLaterAttempts);
    RepeatUntilStopped(&fleet);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SuspectRequestTest);

}  // namespace pumicedyke::platform
