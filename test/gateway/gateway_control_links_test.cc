// Tests which control machine a gateway follows while control machines are replaced and lost.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "config/config_state.h"
#include "gateway/gateway_harness.h"
#include "gateway/gateway_server.h"

namespace pumicedyke::gateway {
namespace {

/// How a control machine is lost.
enum class Loss { kReset, kSilent };

constexpr size_t kMachines = 5;
/// Within this time a change must be in force at a gateway in touch, whatever was lost before it.
constexpr Duration kInForceWithin = Seconds(2);
constexpr Duration kStep = Milliseconds(5);

/// A gateway and a group of control machines that are lost and replaced.
class ReplacedControls {
 public:
  ReplacedControls() : server_(Options(), &reader_, now_) {
    for (const std::string& seed : Options().control) {
      live_.insert(seed);
    }
    while (live_.size() < kMachines) {
      live_.insert(NextAddress());
    }
    Put();
  }

  /// Changes the document at all machines.
  void Put() {
    config::Change change;
    change.kind = config::ChangeKind::kPutDocument;
    change.document = {++version_, R"([["one", "/one/", true, "s0"]])"};
    state_.Apply(change);
  }
  /// Passes time until the gateway has the latest document. @return how long that took.
  Duration PassUntilInForce() {
    const Timestamp start = now_;
    while (server_.document_version() < version_ && now_ - start < Seconds(100)) {
      Pass(kStep);
    }
    return now_ - start;
  }
  void Pass(Duration time) {
    for (const Timestamp end = now_ + time; now_ < end; now_ += kStep) {
      server_.Tick(now_);
      Deliver();
    }
  }
  void Lose(const std::string& address, Loss loss) {
    live_.erase(address);
    if (loss == Loss::kReset) {
      server_.OnControlDisconnected(now_, address);
    }
  }
  /// Adds a machine at a new address.
  void Add() { live_.insert(NextAddress()); }
  /// Loses the machine that the gateway sends its hellos to.
  void LoseFollowed(Loss loss) { Lose(std::string(followed_), loss); }
  /// Loses another machine than the followed one.
  void LoseAnother(Loss loss) {
    const auto other = std::find_if(live_.begin(), live_.end(),
                                    [this](const std::string& item) { return item != followed_; });
    Lose(std::string(*other), loss);
  }
  /// Replaces machines one after the other, as many as `count`; the followed one too if
  /// `with_followed`.
  void Replace(int count, bool with_followed) {
    for (int i = 0; i < count; ++i) {
      if (with_followed && i % 3 == 0) {
        LoseFollowed(Loss::kReset);
      } else {
        LoseAnother(i % 2 == 0 ? Loss::kReset : Loss::kSilent);
      }
      Add();
      Pass(Seconds(6));
    }
  }
  /// Cuts the gateway off from all machines, or ends the cut.
  void SetCut(bool cut) { cut_ = cut; }
  /// The addresses to which the gateway has sent anything in this time.
  std::set<std::string> AddressesUsed(Duration time) {
    used_.clear();
    Pass(time);
    return used_;
  }

 private:
  static GatewayOptions Options() {
    GatewayOptions options = GatewayHarness::Options();
    options.control = {"10.0.0.1:7100", "10.0.0.2:7100", "10.0.0.3:7100"};
    return options;
  }
  std::string NextAddress() { return "10.1." + std::to_string(++machines_) + ".1:7100"; }

  void Deliver() {
    const GatewayOutput output = server_.TakeOutput();
    for (const ControlMessage& message : output.control) {
      used_.insert(message.address);
      if (std::holds_alternative<wire::NodeHello>(message.envelope.body)) {
        followed_ = message.address;
      }
      if (live_.contains(message.address) && !cut_) {
        Receive(message);
      }
    }
  }
  void Receive(const ControlMessage& message) {
    if (const auto* hello = std::get_if<wire::NodeHello>(&message.envelope.body)) {
      wire::ConfigFeed feed;
      feed.version = state_.version().value;
      feed.echo = hello->sent;
      feed.full = true;
      feed.state = state_.Serialize();
      server_.OnControlMessage(now_, message.address, {"test", feed.version, feed});
    } else if (std::holds_alternative<wire::GatewayPresence>(message.envelope.body)) {
      wire::LeafFeed feed;
      feed.version = 1;
      feed.gateways = 1;
      feed.current = true;
      feed.control = {live_.begin(), live_.end()};
      server_.OnControlMessage(now_, message.address, {"test", 0, feed});
    }
  }

  TestReader reader_;
  Timestamp now_ = kStart;
  config::ConfigState state_;
  uint64_t version_ = 0;
  int machines_ = 0;
  bool cut_ = false;
  std::set<std::string> live_;
  std::set<std::string> used_;
  std::string followed_;
  GatewayServer server_;
};

}  // namespace

class GatewayControlLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayControlLinksTest);
  CPPUNIT_TEST(ChangeIsInForceSoonHoweverManyMachinesWereReplaced);
  CPPUNIT_TEST(ChangeIsInForceSoonAfterTwoMachinesAreLostAtOnce);
  CPPUNIT_TEST(AddressesOfRemovedMachinesAreForgotten);
  CPPUNIT_TEST(GatewayThatWasCutOffFindsItsWayBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against gateways that go through the addresses of all machines that were ever removed
  /// when they lose the one they follow.
  void ChangeIsInForceSoonHoweverManyMachinesWereReplaced() {
    for (const bool with_followed : {false, true}) {
      for (const Loss loss : {Loss::kReset, Loss::kSilent}) {
        for (const int replaced : {0, 6, 13, 50}) {
          ReplacedControls fleet;
          fleet.PassUntilInForce();
          fleet.Replace(replaced, with_followed);
          fleet.LoseFollowed(loss);
          fleet.Put();
          CheckInForceSoon(&fleet, loss, replaced);
        }
      }
    }
  }

  void ChangeIsInForceSoonAfterTwoMachinesAreLostAtOnce() {
    for (const Loss loss : {Loss::kReset, Loss::kSilent}) {
      for (const int replaced : {0, 13}) {
        ReplacedControls fleet;
        fleet.PassUntilInForce();
        fleet.Replace(replaced, /*with_followed=*/true);
        fleet.LoseFollowed(loss);
        fleet.LoseAnother(loss);
        fleet.Put();
        CheckInForceSoon(&fleet, loss, replaced);
      }
    }
  }

  void AddressesOfRemovedMachinesAreForgotten() {
    ReplacedControls fleet;
    fleet.PassUntilInForce();
    fleet.Replace(50, /*with_followed=*/true);
    // The seeds stay known, since they may be all that is left to find the others by.
    constexpr size_t kSeeds = 3;
    const size_t used = fleet.AddressesUsed(Seconds(5)).size();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(used), used <= kMachines + kSeeds);
  }

  /// Guards against a gateway that forgets the machines that it needs to find the group again.
  void GatewayThatWasCutOffFindsItsWayBack() {
    ReplacedControls fleet;
    fleet.PassUntilInForce();
    fleet.Replace(13, /*with_followed=*/true);
    fleet.SetCut(true);
    fleet.Pass(Seconds(60));
    // All but two of the machines that it knows are replaced meanwhile.
    fleet.Replace(3, /*with_followed=*/false);
    fleet.SetCut(false);
    fleet.Put();
    const Duration time = fleet.PassUntilInForce();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(ToMilliseconds(time)), time <= 2 * kInForceWithin);
  }

 private:
  static void CheckInForceSoon(ReplacedControls* fleet, Loss loss, int replaced) {
    const Duration time = fleet->PassUntilInForce();
    const std::string what = std::string(loss == Loss::kReset ? "reset" : "silent") + ", " +
                             std::to_string(replaced) +
                             " replaced: " + std::to_string(ToMilliseconds(time)) + " ms";
    CPPUNIT_ASSERT_MESSAGE(what, time <= kInForceWithin);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayControlLinksTest);

}  // namespace pumicedyke::gateway
