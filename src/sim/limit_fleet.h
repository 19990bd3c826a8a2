// Gateways with the limits of tenants alone, a control group that lists them, and a network that
// loses, delays and cuts; in simulated time. Everything follows from the seed.
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
  LimitOptions limits{.bound = {Seconds(5), 0.1, 20}, .keeper = {}, .borrower = {}};
  double message_loss = 0;
};

/// What a tenant sends.
struct Demand {
  tenants::Tenant tenant;
  double per_second = 0;
  /// By gateway; empty: evenly.
  std::vector<double> weights;
};

struct TenantCount {
  uint64_t asked = 0;
  uint64_t granted = 0;
  uint64_t refused = 0;
  /// What one token bucket that knew everything would have granted.
  uint64_t owed = 0;
  std::vector<Timestamp> used;
  std::vector<Duration> retry_after;
};

class SimulatedFleet {
 public:
  explicit SimulatedFleet(FleetOptions options);

  void SetDemand(std::vector<Demand> demands);
  /// A tenant's limit by a new document; all gateways take it over within `spread`.
  void SetLimit(size_t tenant, double per_second, double burst, Duration spread);
  void Run(Duration length);
  /// Asks at one gateway now. @return unset: it waits.
  std::optional<bool> AskAt(size_t gateway, size_t tenant);

  // Faults. `lag` and hidden ones of Hide() stand for what gateways may know differently.
  void Kill(size_t gateway, bool noticed);
  void Start(size_t gateway);
  /// Leaves the list first, and ends later.
  void Drain(size_t gateway);
  void Freeze(size_t gateway, Duration length);
  /// No message passes to others and control, or in one direction only.
  void Cut(size_t gateway, bool in, bool out, Duration length);
  void Lag(size_t gateway, Duration lag);
  /// No message passes to and from control.
  void CutFromControl(size_t gateway, Duration length);
  /// The gateway is told of a list without these.
  void Hide(size_t gateway, std::set<size_t> hidden, Duration length);
  size_t AddGateway();

  size_t size() const { return gateways_.size(); }
  /// @return null if it is down.
  const TenantLimits* limits(size_t gateway) const { return gateways_[gateway].limits.get(); }
  Timestamp now() const { return now_; }
  const TenantCount& count(size_t tenant) const { return counts_[tenant]; }
  uint64_t messages() const { return messages_; }
  uint64_t messages_sent_by(size_t gateway) const { return gateways_[gateway].sent; }
  std::mt19937_64& random() { return random_; }
  double Chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  /// The gateway that keeps a tenant's account, by the list of control; nobody is listed: 0.
  size_t KeeperOf(size_t tenant, uint32_t part = 0) const;

  /// The fullest window of a tenant that begins at `from` or later, over what it may hold by the
  /// limit; above one: the bound is broken.
  double Fullness(size_t tenant, double per_second, double burst, Timestamp from,
                  Timestamp until) const;

 private:
  struct Gateway {
    std::unique_ptr<TenantLimits> limits;
    std::string node;
    uint64_t incarnation = 0;
    bool draining = false;
    bool listed = false;
    Timestamp heard{};
    Timestamp proven_at{};
    Timestamp frozen_until{};
    Timestamp in_cut_until{};
    Timestamp out_cut_until{};
    Timestamp control_cut_until{};
    std::set<size_t> hidden;
    Timestamp hidden_until{};
    Duration lag{};
    /// Number of the list that it was told; zero: none.
    uint64_t told = 0;
    bool told_hidden = false;
    std::map<uint64_t, size_t> waiting;
    uint64_t sent = 0;
  };
  /// What control lists since then.
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
  /// A gateway that serves; none could be found: unset.
  std::optional<size_t> Choose(const Demand& demand);
  void Tell(size_t gateway, const List& list);
  void Collect(size_t gateway);
  void Deliver(size_t from, size_t to, const std::function<void()>& run);
  void Note(size_t tenant, bool granted, Duration retry_after);
  void At(Timestamp when, size_t gateway, std::function<void()> run);
  bool Frozen(size_t gateway) const { return now_ < gateways_[gateway].frozen_until; }
  std::optional<size_t> AtAddress(const std::string& address) const;
  /// Number of the connection by which one gateway asks another.
  uint64_t Session(size_t from, size_t to) const;
  std::vector<LimitGateway> Records(const std::set<size_t>& listed) const;

  FleetOptions options_;
  std::mt19937_64 random_;
  Timestamp now_{Seconds(1000)};
  std::deque<Gateway> gateways_;
  std::vector<Demand> demands_;
  std::vector<TenantCount> counts_;
  /// Token buckets that know everything.
  std::vector<TokenBucket> owed_;
  std::multimap<Timestamp, Event> events_;
  std::deque<List> lists_;
  std::map<std::string, size_t> by_address_;
  Timestamp next_control_{};
  Timestamp next_tick_{};
  uint64_t next_request_ = 0;
  uint64_t messages_ = 0;
};

}  // namespace pumicedyke::limits
