// Simulates a fleet of gateways that only enforce tenant limits, a control group that lists them,
// and a network with message loss, delays and partitions. Deterministic for a seed.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "limits/tenant_limits.h"

namespace pumicedyke::limits {

struct FleetOptions {
  size_t gateways = 8;
  uint64_t seed = 1;
  LimitOptions limits{.bound = {Seconds(5), 0.1, 20}, .lender = {}, .borrower = {}};
  double message_loss = 0;
};

/// Offered load of a tenant.
struct Demand {
  tenants::Tenant tenant;
  double per_second = 0;
  /// Share of each gateway; empty means an even distribution.
  std::vector<double> weights;
};

struct TenantCount {
  uint64_t asked = 0;
  uint64_t granted = 0;
  uint64_t refused = 0;
  /// Requests that a single global token bucket would have granted.
  uint64_t ideal_granted = 0;
  std::vector<Timestamp> used;
  std::vector<Duration> retry_after;
};

class SimulatedFleet {
 public:
  explicit SimulatedFleet(FleetOptions options);

  void SetDemand(std::vector<Demand> demands);
  /// Changes a tenant's limit; every gateway applies the change at a random time within `spread`.
  void SetLimit(size_t tenant, double per_second, double burst, Duration spread);
  void Run(Duration length);
  /// Requests admission at a gateway now. @return unset if the decision is pending.
  std::optional<bool> AskAt(size_t gateway, size_t tenant);

  // Faults. Lag() and Hide() model gateways with different views of the fleet.
  /// Kills a gateway. @param noticed whether its connections close, so that the other gateways and
  /// control notice at once.
  void Kill(size_t gateway, bool noticed);
  /// Starts a gateway that is down, as a new incarnation.
  void Start(size_t gateway);
  /// Removes the gateway from the list while its process keeps running.
  void Drain(size_t gateway);
  /// Pauses a gateway; messages to it are delivered when it resumes.
  void Freeze(size_t gateway, Duration length);
  /// Drops all messages into or out of the gateway, or both, control included.
  void Cut(size_t gateway, bool in, bool out, Duration length);
  /// Delays the gateway lists that control sends to the gateway.
  void Lag(size_t gateway, Duration lag);
  /// Drops all messages between the gateway and control.
  void CutFromControl(size_t gateway, Duration length);
  /// Omits gateways from the lists that control sends to the gateway.
  void Hide(size_t gateway, std::set<size_t> hidden, Duration length);
  size_t AddGateway();

  size_t size() const { return gateways_.size(); }
  /// @return null if the gateway is down.
  const TenantLimits* limits(size_t gateway) const { return gateways_[gateway].limits.get(); }
  Timestamp now() const { return now_; }
  const TenantCount& count(size_t tenant) const { return counts_[tenant]; }
  uint64_t messages() const { return messages_; }
  uint64_t messages_sent_by(size_t gateway) const { return gateways_[gateway].sent; }
  std::mt19937_64& random() { return random_; }
  double Chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  /// Returns the primary lender of a tenant's account according to control's list; 0 if no gateway
  /// is listed.
  size_t LenderOf(size_t tenant, uint32_t part = 0) const;

  /// Returns the highest number of granted requests in any window that starts within [from, until),
  /// divided by the bound on it. A value above one means that the bound is violated.
  double Fullness(size_t tenant, double per_second, double burst, Timestamp from,
                  Timestamp until) const;

 private:
  struct Gateway {
    std::unique_ptr<TenantLimits> limits;
    std::string node;
    uint64_t incarnation = 0;
    bool draining = false;
    bool listed = false;
    Timestamp last_contact{};
    Timestamp proven_at{};
    Timestamp paused_until{};
    Timestamp in_cut_until{};
    Timestamp out_cut_until{};
    Timestamp control_cut_until{};
    std::set<size_t> hidden;
    Timestamp hidden_until{};
    Duration lag{};
    /// Number of the list last sent to the gateway; zero if none.
    uint64_t sent_list = 0;
    bool sent_hidden = false;
    std::map<uint64_t, size_t> waiting;
    uint64_t sent = 0;
  };
  /// The gateways that control lists from `since` on.
  struct List {
    Timestamp since{};
    uint64_t number = 0;
    std::set<size_t> nodes;
  };
  struct Event {
    size_t gateway = 0;
    uint64_t incarnation = 0;
    std::function<void()> run;
  };

  void Step();
  void Control();
  void Arrivals();
  /// Returns a random running gateway; unset if none was found.
  std::optional<size_t> ChooseGateway(const Demand& demand);
  void SendList(size_t gateway, const List& list);
  void Collect(size_t gateway);
  void Deliver(size_t from, size_t to, const std::function<void()>& run);
  void RecordDecision(size_t tenant, bool granted, Duration retry_after);
  void At(Timestamp when, size_t gateway, std::function<void()> run);
  bool Paused(size_t gateway) const { return now_ < gateways_[gateway].paused_until; }
  std::optional<size_t> AtAddress(const std::string& address) const;
  /// Returns the id of the connection by which gateway `from` sends limit requests to `to`.
  uint64_t Session(size_t from, size_t to) const;
  std::vector<LimitGateway> Records(const std::set<size_t>& listed) const;

  FleetOptions options_;
  std::mt19937_64 random_;
  Timestamp now_{Seconds(1000)};
  std::deque<Gateway> gateways_;
  std::vector<Demand> demands_;
  std::vector<TenantCount> counts_;
  /// One global token bucket for each tenant, as the reference.
  std::vector<TokenBucket> ideal_buckets_;
  std::multimap<Timestamp, Event> events_;
  std::deque<List> lists_;
  std::map<std::string, size_t> by_address_;
  Timestamp next_control_{};
  Timestamp next_tick_{};
  uint64_t next_request_ = 0;
  uint64_t messages_ = 0;
};

}  // namespace pumicedyke::limits
