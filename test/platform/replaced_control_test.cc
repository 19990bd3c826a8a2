// Tests on real processes: a control machine is replaced by one at another address while a further
// one is away.
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <filesystem>
#include <set>
#include <string>

#include "common/json.h"
#include "platform/platform_fleet.h"

namespace pumicedyke::platform {
namespace {

constexpr int kControls = 5;
constexpr int kOk = 200;
/// Control machines by their number in the fleet.
constexpr int kAway = 1;
constexpr int kReplaced = 4;
constexpr int kSuccessor = 5;
constexpr int kDiskLost[] = {2, 3};

std::string Document(uint64_t version) {
  return Json{{"version", version}, {"routes", Json::array()}, {"backends", Json::array()}}.dump();
}

std::string NameOf(int control) { return "c" + std::to_string(control); }

/// Returns the machines that vote if any running machine leads and all of them are up to date.
std::set<std::string> RedundantVoters(const PlatformFleet& fleet) {
  std::set<std::string> voters;
  for (const auto& [name, process] : fleet.processes) {
    if (name.front() != 'c' || !process->running()) {
      continue;
    }
    const http::ClientResponse response =
        e2e::Get(fleet.OperatorAddress(ControlIndex(name)), "/v1/status");
    const Json status = ParseJson(response.body);
    if (!status.is_object() || !status.value("fully_redundant", false)) {
      continue;
    }
    for (const Json& replica : status["replicas"]) {
      if (replica["voter"].get<bool>()) {
        voters.insert(replica["machine"].get<std::string>());
      }
    }
  }
  return voters;
}

std::set<std::string> MachinesOf(const std::set<int>& controls) {
  std::set<std::string> machines;
  for (const int control : controls) {
    machines.insert("127.0.0." + std::to_string(control + 1));
  }
  return machines;
}

}  // namespace

class ReplacedControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplacedControlTest);
  CPPUNIT_TEST(TwoLostDisksLoseNothingAfterAReplacementBesideARestart);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against an acknowledged configuration that is lost with two disks, because a machine
  /// that was down during a replacement never became a voter again.
  void TwoLostDisksLoseNothingAfterAReplacementBesideARestart() {
    PlatformFleet fleet(
        {.controls = kControls, .tolerated = 2, .replace_silent_after = Milliseconds(1000)});
    CPPUNIT_ASSERT_EQUAL(kOk, fleet.Put(Document(1)));
    WaitForVoters(fleet, {0, 1, 2, 3, 4});

    fleet.processes.at(NameOf(kAway))->Kill();
    fleet.StartControl(kSuccessor, /*bootstrap=*/false);
    WaitForVoters(fleet, {0, 2, 3, 4, kSuccessor});
    fleet.processes.at(NameOf(kReplaced))->Signal(SIGTERM);
    fleet.processes.at(NameOf(kReplaced))->Wait();
    fleet.StartControl(kAway, /*bootstrap=*/false);
    WaitForVoters(fleet, {0, kAway, 2, 3, kSuccessor});

    CPPUNIT_ASSERT_EQUAL(kOk, fleet.Put(Document(2)));
    LoseTwoDisksAndAllPower(&fleet);
    e2e::WaitFor("the acknowledged document", [&] {
      return e2e::Get(fleet.ServiceAddress(0), "/v1/config/get").body == Document(2);
    });
    WaitForVoters(fleet, {0, kAway, 2, 3, kSuccessor});
  }

 private:
  static void WaitForVoters(const PlatformFleet& fleet, const std::set<int>& controls) {
    e2e::WaitFor("the voters", [&] { return RedundantVoters(fleet) == MachinesOf(controls); });
  }

  static void LoseTwoDisksAndAllPower(PlatformFleet* fleet) {
    const std::set<int> remaining = {0, kAway, 2, 3, kSuccessor};
    for (const int control : remaining) {
      fleet->processes.at(NameOf(control))->Kill();
    }
    for (const int control : kDiskLost) {
      std::filesystem::remove_all(fleet->DataFolder(control));
    }
    for (const int control : remaining) {
      fleet->StartControl(control, /*bootstrap=*/false);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReplacedControlTest);

}  // namespace pumicedyke::platform
