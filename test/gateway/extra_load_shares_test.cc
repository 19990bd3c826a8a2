// Tests that gateways that share a limit on extra sub-requests keep it together, in any window,
// whatever happens to some of them.
#include "gateway/extra_load_shares.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/merger_placement.h"

namespace pumicedyke::gateway {
namespace {

constexpr Duration kWindow = Seconds(10);
constexpr double kRatio = 0.2;
constexpr double kFixed = 40;
constexpr double kOwnersFraction = 0.9;
constexpr uint32_t kSpare = 1;
constexpr size_t kOwners = 2;
constexpr Duration kStep = Milliseconds(100);
/// By how much the clock of each gateway is ahead of the one before.
constexpr Duration kClockOffset = Milliseconds(7200);
/// Requests in each step where all go to one gateway.
constexpr size_t kRequestsToOne = 8;
constexpr Timestamp kStart{Seconds(1000)};
const std::string kPlain = "plain";
const std::string kShard = "shard";

ShareLeaseOptions LeaseOptions(bool first_start) {
  ShareLeaseOptions options;
  options.window = kWindow;
  options.spare_gateways = kSpare;
  options.first_start = first_start;
  return options;
}

/// One process of a gateway.
struct Life {
  Life(Timestamp now, bool first_start)
      : lease(LeaseOptions(first_start), now),
        shares({kWindow, kRatio, kFixed}, kOwnersFraction, kSpare, &lease) {}

  ShareLease lease;
  ExtraLoadShares shares;
};

/// A gateway that sends as many extra sub-requests as it may.
struct Gateway {
  std::unique_ptr<Life> life;
  /// By how much its clock is ahead.
  Duration clock_offset{};
  Timestamp down_until{};
  Timestamp paused_until{};
  Timestamp cut_until{};
  Timestamp next_presence{};
};

/// Gateways with one control machine, and what they send.
class Fleet {
 public:
  explicit Fleet(size_t gateways, bool first_start = false) {
    for (size_t i = 0; i < gateways; ++i) {
      Add(first_start);
    }
  }

  void Add(bool first_start = false) {
    const auto number = static_cast<int64_t>(gateways_.size());
    Gateway& gateway = gateways_["g" + std::to_string(number)];
    gateway.clock_offset = number * kClockOffset;
    gateway.life = std::make_unique<Life>(now + gateway.clock_offset, first_start);
  }
  /// Ends the process, which starts again after `down`. @param noticed control sees it at once.
  void Kill(const std::string& name, Duration down, bool noticed) {
    Gateway& gateway = gateways_.at(name);
    gateway.life = nullptr;
    gateway.down_until = now + down;
    if (noticed) {
      heard_.erase(name);
    }
  }
  void Pause(const std::string& name, Duration time) {
    gateways_.at(name).paused_until = now + time;
  }
  void CutOff(const std::string& name, Duration time) { gateways_.at(name).cut_until = now + time; }
  void RestartControl() {
    heard_.clear();
    used_ = false;
  }
  /// Lets the clients send to this gateway only, and more than to all others before.
  void SendAllTo(const std::string& name) { only_ = name; }
  void SendToAll() { only_.clear(); }
  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, gateway] : gateways_) {
      names.push_back(name);
    }
    return names;
  }

  /// @param spend whether leafs refuse, so that each gateway repeats as often as it may.
  void Pass(Duration time, bool spend) {
    for (const Timestamp end = now + time; now < end; now += kStep) {
      // Clients that reach no gateway send, too.
      requests_.insert(requests_.end(), only_.empty() ? gateways_.size() : kRequestsToOne, now);
      std::erase_if(heard_, [this](const auto& item) {
        constexpr Duration kSilenceLimit = Milliseconds(1800);
        return now - item.second >= kSilenceLimit;
      });
      for (auto& [name, gateway] : gateways_) {
        Advance(name, &gateway, spend);
      }
    }
  }

  /// Returns the greatest number of extra sub-requests beyond the limit in any window. The requests
  /// are those that clients sent, in the window, in the one before it or in the one half a window
  /// before it, whichever holds the most.
  double MaxExcess() const {
    double excess = -kFixed;
    for (const auto& [service, extra] : extra_) {
      for (const Timestamp begin : extra) {
        const size_t requests =
            std::max({CountIn(requests_, begin), CountIn(requests_, begin - kWindow / 2),
                      CountIn(requests_, begin - kWindow)});
        const double allowed = kRatio * static_cast<double>(requests) + kFixed;
        excess = std::max(excess, static_cast<double>(CountIn(extra, begin)) - allowed);
      }
    }
    return excess;
  }
  size_t Extra(const std::string& service) const {
    const auto found = extra_.find(service);
    return found == extra_.end() ? 0 : found->second.size();
  }

  Timestamp now = kStart;

 private:
  /// Returns how many of the sorted times lie in the window that begins at `begin`.
  static size_t CountIn(const std::vector<Timestamp>& times, Timestamp begin) {
    const auto first = std::lower_bound(times.begin(), times.end(), begin);
    return static_cast<size_t>(std::lower_bound(first, times.end(), begin + kWindow) - first);
  }
  void Advance(const std::string& name, Gateway* gateway, bool spend) {
    if (gateway->life == nullptr && now >= gateway->down_until) {
      gateway->life = std::make_unique<Life>(now + gateway->clock_offset, /*first_start=*/false);
      gateway->next_presence = now;
    }
    if (gateway->life == nullptr || now < gateway->paused_until) {
      return;
    }
    // A process that continues spends before it hears anything.
    const size_t requests_to_named = name == only_ ? kRequestsToOne : 0;
    Send(gateway, only_.empty() ? 1 : requests_to_named, spend);
    if (now >= gateway->cut_until && now >= gateway->next_presence) {
      constexpr Duration kPresenceInterval = Milliseconds(500);
      gateway->next_presence = now + kPresenceInterval;
      heard_[name] = now;
      OnContact(name, gateway);
    }
  }
  void OnContact(const std::string& name, const Gateway* gateway) {
    Life* life = gateway->life.get();
    const Timestamp local = now + gateway->clock_offset;
    life->lease.Renew(local, static_cast<uint32_t>(heard_.size()));
    used_ |= life->shares.used();
    life->shares.OnFleet(local, used_);
    std::vector<std::string> known;
    for (const auto& [node, when] : heard_) {
      known.push_back(node);
    }
    const std::vector<std::string> owners = MergersOf(kShard, known, kOwners);
    const bool owner = std::find(owners.begin(), owners.end(), name) != owners.end();
    life->shares.SetOwnerships(local, {{kShard, {owners.size(), owner}}});
  }
  void Send(const Gateway* gateway, size_t requests, bool spend) {
    const Timestamp local = now + gateway->clock_offset;
    for (const std::string& service : {kPlain, kShard}) {
      balance::ExtraLoadLimit* budget = gateway->life->shares.BudgetOf(service);
      for (size_t i = 0; i < requests; ++i) {
        budget->OnRegular(local, 0);
      }
      while (spend && budget->TrySpend(local)) {
        extra_[service].push_back(now);
      }
    }
  }

  std::map<std::string, Gateway> gateways_;
  /// When the control machine last heard of each gateway.
  std::map<std::string, Timestamp> heard_;
  /// Whether a gateway has told the control machine that it has sent something.
  bool used_ = false;
  /// The only gateway that gets requests; empty: all get as many.
  std::string only_;
  /// To each service.
  std::vector<Timestamp> requests_;
  std::map<std::string, std::vector<Timestamp>> extra_;
};

void CheckLimit(const Fleet& fleet) {
  const double excess = fleet.MaxExcess();
  CPPUNIT_ASSERT_MESSAGE("extra beyond the limit: " + std::to_string(excess), excess <= 0);
}

}  // namespace

class ExtraLoadSharesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExtraLoadSharesTest);
  CPPUNIT_TEST(ShareIsUsedAtOnceInAFirstStart);
  CPPUNIT_TEST(FirstRequestsOfAFleetEarnAtOnce);
  CPPUNIT_TEST(GatewayAddedToAUsedFleetEarnsLater);
  CPPUNIT_TEST(RestartedGatewaysDoNotSpendTheirSharesAgain);
  CPPUNIT_TEST(RestartedGatewaysHaveTheirSharesAgainAfterTheWindow);
  CPPUNIT_TEST(SharesOfLostGatewaysPassOnAfterTheirUseHasEnded);
  CPPUNIT_TEST(AddedGatewaysDoNotAddToTheLimit);
  CPPUNIT_TEST(PausedGatewaysDoNotSpendSharesThatPassedOn);
  CPPUNIT_TEST(GatewaysOutOfContactDoNotSpendSharesThatPassedOn);
  CPPUNIT_TEST(RestartedControlThatCountsFewGatewaysEnlargesNoShare);
  CPPUNIT_TEST(NewOwnerDoesNotSpendWhatTheFormerOwnerSpent);
  CPPUNIT_TEST(RequestsThatMoveToAnotherGatewayEarnOnce);
  CPPUNIT_TEST(RequestsThatMoveThereAndBackEarnOnce);
  CPPUNIT_TEST(NoWindowHoldsMoreThanTheLimitWhateverHappens);
  CPPUNIT_TEST(NoWindowHoldsMoreThanTheLimitHoweverRequestsMove);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ShareIsUsedAtOnceInAFirstStart() {
    Fleet fleet(3, /*first_start=*/true);
    fleet.Pass(Seconds(1), /*spend=*/false);
    fleet.Pass(Seconds(1), /*spend=*/true);
    const double share = kFixed / (3 + kSpare);
    CPPUNIT_ASSERT(static_cast<double>(fleet.Extra(kPlain)) >= 3 * (share - 1));
    CheckLimit(fleet);
  }

  /// Guards against requests that are taken for moved ones although nothing was sent before them.
  void FirstRequestsOfAFleetEarnAtOnce() {
    constexpr double kRequestsOfFiveSeconds = 3 * 50;
    Fleet fleet(3, /*first_start=*/true);
    fleet.SendAllTo("nobody");
    fleet.Pass(Seconds(15), /*spend=*/false);
    fleet.SendToAll();
    fleet.Pass(Seconds(5), /*spend=*/true);
    const double share = 3 * kFixed / (3 + kSpare);
    CPPUNIT_ASSERT(static_cast<double>(fleet.Extra(kPlain)) >=
                   share + kRatio * kRequestsOfFiveSeconds - 3);
    CheckLimit(fleet);
  }

  /// Guards against a gateway that takes the requests it gets at first for the fleet's first ones.
  void GatewayAddedToAUsedFleetEarnsLater() {
    Fleet fleet(2, /*first_start=*/true);
    fleet.SendAllTo("g0");
    fleet.Pass(Seconds(14), /*spend=*/false);
    fleet.Pass(Seconds(1), /*spend=*/true);
    fleet.Add(/*first_start=*/true);
    fleet.SendAllTo("g2");
    fleet.Pass(Seconds(9), /*spend=*/true);
    CheckLimit(fleet);
  }

  /// Guards against a process that forgets what the one before it has spent.
  void RestartedGatewaysDoNotSpendTheirSharesAgain() {
    Fleet fleet(7);
    fleet.Pass(Seconds(15), /*spend=*/false);
    fleet.Pass(Seconds(2), /*spend=*/true);
    for (const std::string& gateway : fleet.Names()) {
      fleet.Kill(gateway, Milliseconds(300), /*noticed=*/true);
    }
    fleet.Pass(Seconds(30), /*spend=*/true);
    CheckLimit(fleet);
  }

  void RestartedGatewaysHaveTheirSharesAgainAfterTheWindow() {
    Fleet fleet(7);
    fleet.Pass(Seconds(15), /*spend=*/false);
    fleet.Pass(Seconds(1), /*spend=*/true);
    const double share = kFixed / (7 + kSpare);
    CPPUNIT_ASSERT(static_cast<double>(fleet.Extra(kPlain)) >= 7 * (share - 1));
  }

  /// Guards against shares that grow while those of the lost gateways lie in the window.
  void SharesOfLostGatewaysPassOnAfterTheirUseHasEnded() {
    Fleet fleet(7);
    fleet.Pass(Seconds(15), /*spend=*/false);
    fleet.Pass(Seconds(2), /*spend=*/true);
    for (const char* gateway : {"g0", "g1", "g2", "g3"}) {
      fleet.Kill(gateway, Seconds(1000), /*noticed=*/true);
    }
    fleet.Pass(Seconds(30), /*spend=*/true);
    CheckLimit(fleet);
  }

  /// Guards against newcomers that spend while the larger shares of before lie in the window.
  void AddedGatewaysDoNotAddToTheLimit() {
    Fleet fleet(2);
    fleet.Pass(Seconds(15), /*spend=*/false);
    fleet.Pass(Seconds(2), /*spend=*/true);
    for (int i = 0; i < 6; ++i) {
      fleet.Add();
    }
    fleet.Pass(Seconds(30), /*spend=*/true);
    CheckLimit(fleet);
  }

  /// Guards against a process that continues with the share that it had before it stood still.
  void PausedGatewaysDoNotSpendSharesThatPassedOn() {
    Fleet fleet(7);
    fleet.Pass(Seconds(15), /*spend=*/false);
    for (const char* gateway : {"g0", "g1", "g2", "g3"}) {
      fleet.Pause(gateway, Seconds(20));
    }
    fleet.Pass(Seconds(40), /*spend=*/true);
    CheckLimit(fleet);
  }

  /// The same for gateways that go on without control machines.
  void GatewaysOutOfContactDoNotSpendSharesThatPassedOn() {
    Fleet fleet(7);
    fleet.Pass(Seconds(15), /*spend=*/false);
    for (const char* gateway : {"g0", "g1", "g2", "g3"}) {
      fleet.CutOff(gateway, Seconds(20));
    }
    fleet.Pass(Seconds(40), /*spend=*/true);
    CheckLimit(fleet);
  }

  /// Guards against shares by the number of gateways that a control machine has heard of so far.
  void RestartedControlThatCountsFewGatewaysEnlargesNoShare() {
    Fleet fleet(7);
    fleet.Pass(Seconds(15), /*spend=*/false);
    fleet.RestartControl();
    fleet.Pass(Seconds(20), /*spend=*/true);
    CheckLimit(fleet);
  }

  /// Guards against an owner's share that is spent by the former and by the new owner of a shard.
  void NewOwnerDoesNotSpendWhatTheFormerOwnerSpent() {
    Fleet fleet(7);
    fleet.Pass(Seconds(15), /*spend=*/false);
    fleet.Pass(Seconds(2), /*spend=*/true);
    const std::vector<std::string> owners = MergersOf(kShard, fleet.Names(), kOwners);
    for (const std::string& owner : owners) {
      fleet.Kill(owner, Seconds(8), /*noticed=*/true);
    }
    fleet.Pass(Seconds(30), /*spend=*/true);
    CheckLimit(fleet);
  }

  /// Guards against repeats that one gateway has earned and sent, and that another one earns again
  /// once the requests go there.
  void RequestsThatMoveToAnotherGatewayEarnOnce() {
    Fleet fleet(2, /*first_start=*/true);
    fleet.SendAllTo("g0");
    fleet.Pass(Seconds(10), /*spend=*/false);
    fleet.Pass(Seconds(1), /*spend=*/true);
    fleet.SendAllTo("g1");
    fleet.Pass(Seconds(10), /*spend=*/true);
    CheckLimit(fleet);
  }

  /// Guards against earning by windows before and after a time when the requests were elsewhere.
  void RequestsThatMoveThereAndBackEarnOnce() {
    Fleet fleet(3);
    fleet.Pass(Seconds(1), /*spend=*/false);
    fleet.SendAllTo("g1");
    fleet.Pass(Seconds(12), /*spend=*/false);
    fleet.SendAllTo("g2");
    fleet.Pass(Seconds(9), /*spend=*/true);
    fleet.SendAllTo("g1");
    fleet.Pass(Seconds(2), /*spend=*/false);
    fleet.SendAllTo("g2");
    fleet.Pass(Seconds(21), /*spend=*/true);
    CheckLimit(fleet);
  }

  void NoWindowHoldsMoreThanTheLimitWhateverHappens() {
    const bool property_holds = rc::check("extra in any window within the limit", [] {
      Fleet fleet(static_cast<size_t>(*rc::gen::inRange(1, 9)), *rc::gen::arbitrary<bool>());
      fleet.Pass(Milliseconds(*rc::gen::inRange(500, 15000)), /*spend=*/false);
      const int events = *rc::gen::inRange(1, 12);
      for (int i = 0; i < events; ++i) {
        const std::vector<std::string> names = fleet.Names();
        const int kind = *rc::gen::inRange(0, 5);
        const Duration time = Milliseconds(*rc::gen::element(200, 1000, 2500, 6000, 14000, 30000));
        const bool noticed = *rc::gen::arbitrary<bool>();
        if (kind == 0) {
          fleet.Add();
        } else if (kind == 1) {
          fleet.RestartControl();
        }
        for (const std::string& name : names) {
          if (kind < 2 || *rc::gen::arbitrary<bool>()) {
            continue;
          }
          if (kind == 2) {
            fleet.Kill(name, time, noticed);
          } else if (kind == 3) {
            fleet.Pause(name, time);
          } else {
            fleet.CutOff(name, time);
          }
        }
        fleet.Pass(Milliseconds(*rc::gen::element(0, 300, 2000, 5000, 12000)),
                   *rc::gen::inRange(0, 4) > 0);
      }
      RC_ASSERT(fleet.MaxExcess() <= 0);
    });
    CPPUNIT_ASSERT(property_holds);
  }

  /// Guards against the same for requests that move again and again, some to gateways that restart.
  void NoWindowHoldsMoreThanTheLimitHoweverRequestsMove() {
    const bool property_holds = rc::check("extra in any window within the limit", [] {
      Fleet fleet(static_cast<size_t>(*rc::gen::inRange(2, 9)), *rc::gen::arbitrary<bool>());
      fleet.Pass(Milliseconds(*rc::gen::inRange(500, 25000)), *rc::gen::arbitrary<bool>());
      const int moves = *rc::gen::inRange(1, 8);
      for (int i = 0; i < moves; ++i) {
        const std::string target = *rc::gen::elementOf(fleet.Names());
        const bool restarts = *rc::gen::inRange(0, 4) == 0;
        if (*rc::gen::inRange(0, 4) == 0) {
          fleet.SendToAll();
        } else {
          fleet.SendAllTo(target);
        }
        if (restarts) {
          fleet.Kill(target, Milliseconds(300), *rc::gen::arbitrary<bool>());
        }
        fleet.Pass(Milliseconds(*rc::gen::element(300, 2000, 5000, 9000, 12000, 21000)),
                   *rc::gen::inRange(0, 4) > 0);
      }
      RC_LOG() << "beyond the limit: " << fleet.MaxExcess();
      RC_ASSERT(fleet.MaxExcess() <= 0);
    });
    CPPUNIT_ASSERT(property_holds);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ExtraLoadSharesTest);

}  // namespace pumicedyke::gateway
