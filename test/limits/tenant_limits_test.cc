// Tests the tenant limits over a simulated fleet of gateways: under any fault the granted requests
// stay within the bound in every window, and requests within the limit are granted.
#include "limits/tenant_limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>
#include <iostream>

#include "sim/limit_fleet.h"

namespace pumicedyke::limits {
namespace {

/// Time after which the whole fleet has settled.
constexpr Duration kWarmup = Seconds(14);

Demand DemandOf(const std::string& name, double limit, double burst, double per_second) {
  Demand demand;
  demand.tenant.name = name;
  demand.tenant.api_keys = {"key-" + name};
  demand.tenant.requests_per_second = limit;
  demand.tenant.burst = burst;
  demand.per_second = per_second;
  return demand;
}

/// Limits distributed like those of real customers: a few large ones and many small ones.
std::vector<Demand> ManyTenants(size_t count, double total, double load_factor) {
  double sum = 0;
  for (size_t i = 1; i <= count; ++i) {
    sum += std::pow(static_cast<double>(i), -1.2);
  }
  std::vector<Demand> demands;
  for (size_t i = 1; i <= count; ++i) {
    const double usual = total * std::pow(static_cast<double>(i), -1.2) / sum;
    const double limit = usual * 1.6;
    demands.push_back(
        DemandOf("t" + std::to_string(i), limit, std::max(2.0, limit), limit * load_factor));
  }
  return demands;
}

/// Injects one random fault.
void InjectRandomFault(SimulatedFleet* fleet, size_t min_gateways) {
  const auto pick = [&](size_t most) {
    return std::uniform_int_distribution<size_t>(0, most - 1)(fleet->random());
  };
  // Half of the faults hit a lender, where they matter most.
  const size_t gateway = fleet->Chance() < 0.5 ? fleet->LenderOf(0) : pick(fleet->size());
  const Duration length = Milliseconds(static_cast<int64_t>(200 + fleet->Chance() * 7000));
  switch (pick(10)) {
    case 0:
      fleet->Kill(gateway, fleet->Chance() < 0.5);
      break;
    case 1:
      fleet->Freeze(gateway, length);
      break;
    case 2:
      fleet->Cut(gateway, true, true, length);
      break;
    case 3:
      fleet->Cut(gateway, true, false, length);
      break;
    case 4:
      fleet->Cut(gateway, false, true, length);
      break;
    case 5:
      fleet->Drain(gateway);
      break;
    case 6:
      fleet->Lag(gateway, Milliseconds(static_cast<int64_t>(fleet->Chance() * 1800)));
      break;
    case 7:
      fleet->CutFromControl(gateway, length);
      break;
    case 8: {
      // A control machine that has just started knows only half of the gateways.
      std::set<size_t> hidden;
      for (size_t i = 0; i < fleet->size(); ++i) {
        if (fleet->Chance() < 0.5) {
          hidden.insert(i);
        }
      }
      for (size_t i = 0; i < fleet->size(); ++i) {
        if (fleet->Chance() < 0.5) {
          fleet->Hide(i, hidden, Milliseconds(1700));
        }
      }
      break;
    }
    default:
      if (fleet->size() < min_gateways + 10) {
        fleet->AddGateway();
      }
      break;
  }
  for (size_t i = 0; i < fleet->size(); ++i) {
    if (fleet->Chance() < 0.3) {
      fleet->Start(i);
    }
  }
}

/// Returns the maximum ratio of granted requests to the bound, over all windows and tenants.
double PeakFullnessUnderFaults(uint64_t seed, const LenderOptions& lender) {
  std::mt19937_64 random(seed);
  FleetOptions options;
  options.gateways = std::uniform_int_distribution<size_t>(3, 40)(random);
  options.seed = seed;
  options.limits.lender = lender;
  options.message_loss = seed % 3 == 0 ? 0.05 : 0;
  SimulatedFleet fleet(options);
  std::vector<Demand> demands = {DemandOf("large", 30, 10, 240), DemandOf("tiny", 0.1, 1, 4),
                                 DemandOf("uneven", 8, 4, 50), DemandOf("steep", 2, 30, 16)};
  demands[2].weights = {1};
  fleet.SetDemand(demands);
  fleet.Run(Seconds(8));
  for (int i = 0; i < 25; ++i) {
    InjectRandomFault(&fleet, options.gateways);
    fleet.Run(Milliseconds(static_cast<int64_t>(fleet.Chance() * 2500)));
  }
  double peak = 0;
  for (size_t i = 0; i < demands.size(); ++i) {
    const tenants::Tenant& tenant = demands[i].tenant;
    peak = std::max(peak, fleet.Fullness(i, tenant.requests_per_second, tenant.burst, Timestamp{},
                                         Timestamp::max()));
  }
  return peak;
}

/// Refused requests per thousand, of tenants below their limits.
double RefusedPerThousand(const SimulatedFleet& fleet, size_t tenants) {
  uint64_t refused = 0;
  uint64_t asked = 0;
  for (size_t i = 0; i < tenants; ++i) {
    refused += fleet.count(i).refused;
    asked += fleet.count(i).asked;
  }
  return asked == 0 ? 0 : 1000.0 * static_cast<double>(refused) / static_cast<double>(asked);
}

}  // namespace

class TenantLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantLimitsTest);
  CPPUNIT_TEST(NoWindowHoldsMoreThanTheBoundUnderFaults);
  CPPUNIT_TEST(PartitionedLenderStops);
  CPPUNIT_TEST(TwoLendersOfOneAccountStayWithinTheBound);
  CPPUNIT_TEST(LowerLimitBindsWithinAWindow);
  CPPUNIT_TEST(WithinTheLimitNothingIsRefused);
  CPPUNIT_TEST(UnderOverloadTheLimitIsUsed);
  CPPUNIT_TEST(HotTenantDoesNotAffectQuietOnes);
  CPPUNIT_TEST(AllTenantsOverTheirLimits);
  CPPUNIT_TEST(SmallTenantIsUnaffectedByTheLossOfItsLender);
  CPPUNIT_TEST(PlannedRestartsCauseNoRefusals);
  CPPUNIT_TEST(WithoutABoundEverythingIsGranted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoWindowHoldsMoreThanTheBoundUnderFaults() {
    double worst = 0;
    const bool property_holds = rc::check("no window holds more than its bound", [&] {
      const uint64_t seed = *rc::gen::inRange<uint64_t>(1, 1000000);
      const double peak = PeakFullnessUnderFaults(seed, {});
      worst = std::max(worst, peak);
      RC_LOG() << "seed " << seed << ": " << peak << " of the bound";
      RC_ASSERT(peak <= 1);
    });
    std::cout << "  fullest window: " << worst << " of its bound\n";
    CPPUNIT_ASSERT(property_holds);
  }

  /// A lender partitioned from control keeps lending to its own clients while another one takes
  /// over, unless its lease expires.
  void PartitionedLenderStops() {
    LenderOptions without_lease;
    without_lease.lease = Seconds(1000000);
    CPPUNIT_ASSERT(PeakFullnessWithPartitionedLender({}) <= 1);
    CPPUNIT_ASSERT(PeakFullnessWithPartitionedLender(without_lease) > 1);
  }

  /// Two gateways that temporarily do not know each other both consider themselves the lender of
  /// every account.
  void TwoLendersOfOneAccountStayWithinTheBound() {
    LenderOptions without_settling;
    without_settling.settling = Duration(0);
    CPPUNIT_ASSERT(PeakFullnessWithTwoLenders({}) <= 1);
    CPPUNIT_ASSERT(PeakFullnessWithTwoLenders(without_settling) > 1);
  }

  void LowerLimitBindsWithinAWindow() {
    SimulatedFleet fleet({.gateways = 20, .seed = 3});
    fleet.SetDemand({DemandOf("t", 40, 20, 200)});
    fleet.Run(kWarmup);
    fleet.SetLimit(0, 5, 2, Seconds(1));
    fleet.Run(Seconds(1));
    const Timestamp everywhere = fleet.now();
    fleet.Run(Seconds(20));
    CPPUNIT_ASSERT(fleet.Fullness(0, 40, 20, Timestamp{}, Timestamp::max()) <= 1);
    CPPUNIT_ASSERT(fleet.Fullness(0, 5, 2, everywhere, Timestamp::max()) <= 1);
    // A higher limit takes effect at once.
    fleet.SetLimit(0, 40, 20, Milliseconds(10));
    fleet.Run(Seconds(3));
    const uint64_t before = fleet.count(0).granted;
    fleet.Run(Seconds(10));
    CPPUNIT_ASSERT(fleet.count(0).granted - before >= 360);
  }

  void WithinTheLimitNothingIsRefused() {
    SimulatedFleet fleet({.gateways = 88, .seed = 4});
    // A Poisson process at the limit divided by 1.6.
    fleet.SetDemand(ManyTenants(86, 48, 0));
    fleet.Run(kWarmup);
    fleet.SetDemand(ManyTenants(86, 48, 1 / 1.6));
    fleet.Run(Seconds(120));
    std::cout << "  refused within the limit: " << RefusedPerThousand(fleet, 86) << " of 1000\n";
    CPPUNIT_ASSERT(RefusedPerThousand(fleet, 86) <= 5);
  }

  void UnderOverloadTheLimitIsUsed() {
    SimulatedFleet fleet({.gateways = 88, .seed = 5});
    fleet.SetDemand({DemandOf("large", 24, 10, 192), DemandOf("middle", 3, 3, 24),
                     DemandOf("small", 0.5, 2, 4), DemandOf("at one", 6, 6, 48)});
    fleet.Run(kWarmup);
    const uint64_t messages = fleet.messages();
    std::vector<uint64_t> before;
    for (size_t i = 0; i < 4; ++i) {
      before.push_back(fleet.count(i).granted);
    }
    fleet.Run(Seconds(60));
    const std::vector<double> limits = {24, 3, 0.5, 6};
    for (size_t i = 0; i < 4; ++i) {
      const double granted = static_cast<double>(fleet.count(i).granted - before[i]);
      std::cout << "  limit " << limits[i] << ": " << granted / 60 << " a second\n";
      CPPUNIT_ASSERT(granted >= 0.9 * limits[i] * 60);
      CPPUNIT_ASSERT(fleet.Fullness(i, limits[i], 10, Timestamp{}, Timestamp::max()) <= 1);
    }
    const double per_second = static_cast<double>(fleet.messages() - messages) / 60;
    std::cout << "  messages a second: " << per_second << " for 268 requests\n";
    CPPUNIT_ASSERT(per_second < 2 * 268 * 2);
  }

  void HotTenantDoesNotAffectQuietOnes() {
    SimulatedFleet fleet({.gateways = 88, .seed = 6});
    fleet.SetDemand(ManyTenants(86, 48, 0));
    fleet.Run(kWarmup);
    std::vector<Demand> demands = ManyTenants(86, 48, 1 / 1.6);
    demands[2].per_second *= 8;
    fleet.SetDemand(demands);
    fleet.Run(Seconds(60));
    const double limit = demands[2].tenant.requests_per_second;
    CPPUNIT_ASSERT(
        fleet.Fullness(2, limit, demands[2].tenant.burst, Timestamp{}, Timestamp::max()) <= 1);
    CPPUNIT_ASSERT(static_cast<double>(fleet.count(2).granted) >= 0.9 * limit * 60);
    uint64_t refused = 0;
    uint64_t asked = 0;
    for (size_t i = 0; i < 86; ++i) {
      refused += i == 2 ? 0 : fleet.count(i).refused;
      asked += i == 2 ? 0 : fleet.count(i).asked;
    }
    std::cout << "  refused requests of quiet tenants: " << refused << " of " << asked << "\n";
    CPPUNIT_ASSERT(refused * 200 <= asked);
    // Refused clients get different retry delays.
    const std::vector<Duration>& retries = fleet.count(2).retry_after;
    const std::set<Duration> distinct(retries.begin(), retries.end());
    CPPUNIT_ASSERT(distinct.size() * 2 > retries.size());
    CPPUNIT_ASSERT(*distinct.rbegin() <= Seconds(10));
  }

  void AllTenantsOverTheirLimits() {
    SimulatedFleet fleet({.gateways = 30, .seed = 7});
    const std::vector<Demand> demands = ManyTenants(40, 20, 4);
    fleet.SetDemand(demands);
    fleet.Run(kWarmup + Seconds(40));
    for (size_t i = 0; i < demands.size(); ++i) {
      const tenants::Tenant& tenant = demands[i].tenant;
      CPPUNIT_ASSERT(fleet.Fullness(i, tenant.requests_per_second, tenant.burst, Timestamp{},
                                    Timestamp::max()) <= 1);
      CPPUNIT_ASSERT(static_cast<double>(fleet.count(i).granted) >=
                     0.9 * tenant.requests_per_second * 40);
    }
  }

  void SmallTenantIsUnaffectedByTheLossOfItsLender() {
    for (const bool noticed : {true, false}) {
      SimulatedFleet fleet({.gateways = 88, .seed = 8});
      fleet.SetDemand({DemandOf("small", 0.8, 2, 0)});
      fleet.Run(kWarmup);
      fleet.Kill(fleet.LenderOf(0), noticed);
      // Evenly spaced requests, a little faster than the limit: the burst of two pays for the rest.
      // The new lender refills the account only several seconds later.
      for (int i = 0; i < 8; ++i) {
        size_t gateway = 11 * static_cast<size_t>(i);
        gateway = gateway == fleet.LenderOf(0) ? gateway + 1 : gateway;
        fleet.AskAt(gateway, 0);
        fleet.Run(Milliseconds(1000));
      }
      CPPUNIT_ASSERT_EQUAL(uint64_t{0}, fleet.count(0).refused);
      CPPUNIT_ASSERT_EQUAL(uint64_t{8}, fleet.count(0).granted);
    }
  }

  void PlannedRestartsCauseNoRefusals() {
    SimulatedFleet fleet({.gateways = 30, .seed = 9});
    fleet.SetDemand({DemandOf("large", 24, 12, 0), DemandOf("small", 0.8, 2, 0)});
    fleet.Run(kWarmup);
    fleet.SetDemand({DemandOf("large", 24, 12, 15), DemandOf("small", 0.8, 2, 0.4)});
    for (size_t i = 0; i < 30; ++i) {
      fleet.Drain(i);
      fleet.Run(Milliseconds(1500));
      fleet.Kill(i, true);
      fleet.Run(Milliseconds(500));
      fleet.Start(i);
    }
    fleet.Run(Seconds(3));
    std::cout << "  refused while all restart: " << fleet.count(0).refused << " of "
              << fleet.count(0).asked << " and " << fleet.count(1).refused << " of "
              << fleet.count(1).asked << "\n";
    CPPUNIT_ASSERT(fleet.Fullness(0, 24, 12, Timestamp{}, Timestamp::max()) <= 1);
    CPPUNIT_ASSERT((fleet.count(0).refused + fleet.count(1).refused) * 200 <=
                   fleet.count(0).asked + fleet.count(1).asked);
  }

  void WithoutABoundEverythingIsGranted() {
    FleetOptions options{.gateways = 3, .seed = 10};
    options.limits.bound = {};
    SimulatedFleet fleet(options);
    fleet.SetDemand({DemandOf("t", 1, 1, 50)});
    fleet.Run(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, fleet.count(0).refused);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, fleet.messages());
  }

 private:
  static double PeakFullnessWithPartitionedLender(const LenderOptions& lender) {
    FleetOptions options{.gateways = 3, .seed = 21};
    options.limits.lender = lender;
    SimulatedFleet fleet(options);
    fleet.SetDemand({DemandOf("t", 100, 10, 800)});
    fleet.Run(kWarmup);
    fleet.Cut(0, true, true, Seconds(20));
    fleet.Run(Seconds(20));
    return fleet.Fullness(0, 100, 10, Timestamp{}, Timestamp::max());
  }
  static double PeakFullnessWithTwoLenders(const LenderOptions& lender) {
    FleetOptions options{.gateways = 2, .seed = 22};
    options.limits.lender = lender;
    SimulatedFleet fleet(options);
    fleet.SetDemand({DemandOf("t", 100, 10, 800)});
    fleet.Run(kWarmup);
    for (int i = 0; i < 6; ++i) {
      fleet.Hide(0, {1}, Milliseconds(1700));
      fleet.Hide(1, {0}, Milliseconds(1700));
      fleet.Run(Seconds(2));
    }
    return fleet.Fullness(0, 100, 10, Timestamp{}, Timestamp::max());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantLimitsTest);

}  // namespace pumicedyke::limits
