#include "bench/limit_lending.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <utility>

#include "absl/strings/str_format.h"
#include "limits/tenant_limits.h"
#include "sim/limit_fleet.h"
#include "wire/codec.h"

namespace pumicedyke::bench {
namespace {

using limits::Demand;

constexpr size_t kTenants = 86;
constexpr double kRequestsPerGateway = 0.55;
constexpr double kHeadroom = 1.6;
constexpr double kOverloadFactor = 8;
constexpr Duration kWarmUp = Seconds(14);
constexpr int kMeasuredSeconds = 40;
constexpr size_t kMaxSimulatedGateways = 985;
constexpr double kPacketHeaders = 52;
constexpr uint64_t kSeed = 17;

std::vector<Demand> Demands(size_t gateways, double limit_factor) {
  const double total = kRequestsPerGateway * static_cast<double>(gateways);
  double sum = 0;
  for (size_t i = 1; i <= kTenants; ++i) {
    sum += std::pow(static_cast<double>(i), -1.2);
  }
  std::vector<Demand> demands;
  for (size_t i = 1; i <= kTenants; ++i) {
    Demand demand;
    demand.tenant.name = "tenant-" + std::to_string(i);
    demand.tenant.requests_per_second =
        kHeadroom * total * std::pow(static_cast<double>(i), -1.2) / sum;
    demand.tenant.burst = std::max(2.0, demand.tenant.requests_per_second);
    demand.per_second = demand.tenant.requests_per_second * limit_factor;
    demands.push_back(std::move(demand));
  }
  return demands;
}

/// Returns the mean size on the wire of a limit request and its reply.
double BytesPerMessage() {
  const uint64_t id = uint64_t{1} << 40;
  const wire::LimitRequest ask{id, "tenant-11", 3, 1, false, 0, 0};
  const wire::LimitGrant grant{id, "tenant-11",       wire::LimitStage::kGranted,
                               1,  Milliseconds(300), {}};
  const size_t bytes = wire::Encode(wire::Envelope{"cluster", 12, ask}).size() +
                       wire::Encode(wire::Envelope{"cluster", 12, grant}).size();
  return static_cast<double>(bytes) / 2 + kPacketHeaders;
}

/// Measures grants per second of wall-clock time between one borrower and one lender that exchange
/// messages directly.
double GrantsPerSecond(size_t gateways) {
  constexpr int kGrants = 50000;
  const limits::LimitOptions options{{Seconds(5), 0.1, 20}, {}, {}};
  std::vector<limits::LimitGateway> list;
  for (size_t i = 0; i < gateways; ++i) {
    const std::string node = "g" + std::to_string(i);
    list.push_back({node, node, "zone"});
  }
  std::vector<tenants::Tenant> tenants;
  for (const Demand& demand : Demands(gateways, 0)) {
    tenants.push_back(demand.tenant);
  }
  tenants::Tenant& asked = tenants.front();
  asked.requests_per_second = 4;
  asked.burst = 2 * kGrants;
  limits::LenderPlacement placement;
  placement.SetAccounts({{asked.name, 0}});
  placement.SetGateways(list);
  const std::string first = placement.Find({asked.name, 0}).primary->node;
  limits::TenantLimits lender(options, first, 1);
  limits::TenantLimits borrower(options, first == "g0" ? "g1" : "g0", 1);
  Timestamp now{Seconds(1000)};
  for (limits::TenantLimits* limits_of_node : {&lender, &borrower}) {
    limits_of_node->SetTenants(now, tenants);
    limits_of_node->SetGateways(now, list);
  }
  uint64_t lent = 0;
  for (int i = 0; i < 60000; ++i) {
    now += Milliseconds(500);
    lender.Tick(now, now);
    lender.TakeOutput();
  }
  const auto begin = std::chrono::steady_clock::now();
  for (uint64_t i = 1; i <= kGrants; ++i) {
    now += Microseconds(10);
    borrower.Admit(now, RequestId{i}, asked, now);
    for (const limits::OutgoingLimitRequest& request : borrower.TakeOutput().requests) {
      lender.OnLimitRequest(now, 1, request.ask, now);
      for (const limits::OutgoingLimitGrant& reply : lender.TakeOutput().grants) {
        borrower.OnGrant(now, first, reply.grant);
        lent += reply.grant.granted;
      }
    }
  }
  const auto elapsed = std::chrono::steady_clock::now() - begin;
  return static_cast<double>(std::min<uint64_t>(lent, kGrants)) /
         std::chrono::duration<double>(elapsed).count();
}

LimitCost MeasureLending(size_t gateways) {
  LimitCost cost{.method = "lending", .gateways = gateways};
  cost.simulated_gateways = std::min(gateways, kMaxSimulatedGateways);
  cost.grants_per_second = GrantsPerSecond(gateways);
  limits::SimulatedFleet fleet({.gateways = cost.simulated_gateways, .seed = kSeed});
  fleet.SetDemand(Demands(cost.simulated_gateways, 0));
  fleet.Run(kWarmUp);
  const std::vector<Demand> below_limit = Demands(cost.simulated_gateways, 1 / kHeadroom);
  fleet.SetDemand(below_limit);
  const uint64_t before = fleet.messages();
  fleet.Run(Seconds(kMeasuredSeconds));
  cost.bytes_per_node_second = static_cast<double>(fleet.messages() - before) * BytesPerMessage() /
                               kMeasuredSeconds / static_cast<double>(cost.simulated_gateways);
  uint64_t refused = 0;
  uint64_t asked = 0;
  for (size_t i = 0; i < kTenants; ++i) {
    refused += fleet.count(i).refused;
    asked += fleet.count(i).asked;
  }
  cost.refused_below = 1000.0 * static_cast<double>(refused) / static_cast<double>(asked);
  const std::vector<Demand> over_limit = Demands(cost.simulated_gateways, kOverloadFactor);
  fleet.SetDemand(over_limit);
  fleet.Run(Seconds(kMeasuredSeconds));
  double granted = 0;
  double limit_total = 0;
  for (size_t i = 0; i < kTenants; ++i) {
    const tenants::Tenant& tenant = over_limit[i].tenant;
    granted += static_cast<double>(fleet.count(i).granted);
    limit_total += tenant.requests_per_second * kMeasuredSeconds;
    cost.max_window_use =
        std::max(cost.max_window_use,
                 fleet.Fullness(i, tenant.requests_per_second, tenant.burst, {}, Timestamp::max()));
  }
  cost.granted_over_limit = granted / limit_total;
  return cost;
}

/// A simpler method: a token bucket for one tenant at each gateway, either a fixed split of the
/// limit or the full limit with periodic reports to a shared bucket.
class BaselineLimiter {
 public:
  BaselineLimiter(bool reports, size_t gateways, const tenants::Tenant& tenant, Timestamp now)
      : reports_(reports), rate_(tenant.requests_per_second) {
    const double share = 1.0 / static_cast<double>(gateways);
    const double cap = reports_ ? tenant.burst : std::max(1.0, tenant.burst * share);
    gateway_buckets_.assign(gateways, {rate_ * (reports_ ? 1 : share), cap, cap, now});
    unreported_.assign(gateways, 0);
    reported_.assign(gateways, now);
    shared_bucket_ = {rate_, tenant.burst, tenant.burst, now};
  }
  bool Grant(size_t gateway, Timestamp now) {
    constexpr Duration kReportInterval = Milliseconds(500);
    if (reports_ && now - reported_[gateway] >= kReportInterval) {
      // Reports the gateway's grants and takes over the remaining level of the shared bucket.
      reported_[gateway] = now;
      limits::Refill(&shared_bucket_, now);
      shared_bucket_.level -= std::exchange(unreported_[gateway], 0);
      gateway_buckets_[gateway].level = shared_bucket_.level;
      gateway_buckets_[gateway].at = now;
      messages_ += 2;
    }
    limits::Refill(&gateway_buckets_[gateway], now);
    const bool granted = limits::Take(&gateway_buckets_[gateway], 1) == 1;
    unreported_[gateway] += granted ? 1 : 0;
    return granted;
  }
  uint64_t messages() const { return messages_; }

 private:
  bool reports_;
  double rate_;
  /// Each gateway's view of its available tokens.
  std::vector<limits::TokenBucket> gateway_buckets_;
  std::vector<double> unreported_;
  std::vector<Timestamp> reported_;
  limits::TokenBucket shared_bucket_;
  uint64_t messages_ = 0;
};

struct BaselineCount {
  uint64_t asked = 0;
  uint64_t granted = 0;
  uint64_t messages = 0;
  double max_window_use = 0;
};

BaselineCount SimulateBaseline(bool reports, size_t gateways, const Demand& demand, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<> gap(demand.per_second);
  std::uniform_int_distribution<size_t> any(0, gateways - 1);
  Timestamp now{Seconds(1000)};
  const Timestamp end = now + Seconds(kMeasuredSeconds);
  BaselineLimiter method(reports, gateways, demand.tenant, now);
  BaselineCount count;
  std::vector<Timestamp> used;
  while ((now += Duration(static_cast<int64_t>(gap(random) * 1e6))) < end) {
    ++count.asked;
    if (method.Grant(any(random), now)) {
      ++count.granted;
      used.push_back(now);
    }
  }
  const double bound = (demand.tenant.requests_per_second * 5 + demand.tenant.burst) * 1.1 + 20;
  size_t last = 0;
  for (size_t first = 0; first < used.size(); ++first) {
    while (last < used.size() && used[last] <= used[first] + Seconds(5)) {
      ++last;
    }
    count.max_window_use =
        std::max(count.max_window_use, static_cast<double>(last - first) / bound);
  }
  count.messages = method.messages();
  return count;
}

LimitCost MeasureBaseline(bool reports, size_t gateways) {
  LimitCost cost{.method = reports ? "counting, reports" : "fixed split", .gateways = gateways};
  cost.simulated_gateways = gateways;
  double asked = 0;
  double refused = 0;
  double messages = 0;
  for (const Demand& demand : Demands(gateways, 1 / kHeadroom)) {
    const BaselineCount count = SimulateBaseline(reports, gateways, demand, kSeed);
    asked += static_cast<double>(count.asked);
    refused += static_cast<double>(count.asked - count.granted);
    messages += static_cast<double>(count.messages);
  }
  cost.refused_below = 1000 * refused / asked;
  cost.bytes_per_node_second =
      messages * BytesPerMessage() / kMeasuredSeconds / static_cast<double>(gateways);
  double granted = 0;
  double limit_total = 0;
  for (const Demand& demand : Demands(gateways, kOverloadFactor)) {
    const BaselineCount count = SimulateBaseline(reports, gateways, demand, kSeed);
    granted += static_cast<double>(count.granted);
    limit_total += demand.tenant.requests_per_second * kMeasuredSeconds;
    cost.max_window_use = std::max(cost.max_window_use, count.max_window_use);
  }
  cost.granted_over_limit = granted / limit_total;
  return cost;
}

}  // namespace

std::vector<LimitCost> MeasureLimits() {
  std::vector<LimitCost> costs;
  for (const size_t gateways : {88, 985, 8800}) {
    costs.push_back(MeasureLending(gateways));
    costs.push_back(MeasureBaseline(true, gateways));
    costs.push_back(MeasureBaseline(false, gateways));
  }
  return costs;
}

std::string LimitCostTable(const std::vector<LimitCost>& costs) {
  std::string text =
      "way                gateways  played   grants/s   bytes/node/s   refused of 1000   used of "
      "limit at x8   fullest window\n";
  for (const LimitCost& cost : costs) {
    absl::StrAppendFormat(&text, "%-18s %8d %7d %10.0f %14.1f %17.2f %21.2f %16.2f\n", cost.method,
                          cost.gateways, cost.simulated_gateways, cost.grants_per_second,
                          cost.bytes_per_node_second, cost.refused_below, cost.granted_over_limit,
                          cost.max_window_use);
  }
  return text;
}

}  // namespace pumicedyke::bench
