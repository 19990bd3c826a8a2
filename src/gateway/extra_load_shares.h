// This gateway's shares of the limits on extra sub-requests, which hold for all gateways together.
// Has no clock.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "balance/extra_load_budget.h"
#include "balance/least_window.h"
#include "balance/window_extreme.h"
#include "common/types.h"
#include "gateway/fleet_use.h"
#include "gateway/share_lease.h"

namespace pumicedyke::gateway {

/// Limit of extra sub-requests of all gateways together, per service.
struct ExtraLoadBound {
  Duration window = Seconds(10);
  /// Extra sub-requests per request to the service.
  double ratio = 0.1;
  /// Extra sub-requests beyond the ratio, shared by all gateways.
  double burst = 10;
};

/// The owners of a shard: only few gateways send to it, and share most of its limit.
struct ShardOwnership {
  /// Number of owners; zero: not known.
  size_t owners = 0;
  /// Whether this gateway is one of them.
  bool own = false;
};
/// By service, for the shards that have owners.
using ShardOwnerships = std::map<std::string, ShardOwnership>;

/// Use of the limit of one service, for operators.
struct ServiceLoadUse {
  std::string service;
  size_t co_owners = 0;
  balance::ExtraLoadUse use;
};

/// Confined to the event loop's thread.
class ExtraLoadShares {
 public:
  /// @param owners_fraction of the part beyond the ratio, for the owners of a shard. All gateways
  /// share the rest, which is little for each, because sub-requests to a shard are sent by its
  /// owners.
  /// @param lease must outlive this object.
  ExtraLoadShares(ExtraLoadBound bound, double owners_fraction, uint32_t spare_gateways,
                  const ShareLease* lease)
      : bound_(bound),
        owners_fraction_(owners_fraction),
        spare_gateways_(spare_gateways),
        lease_(lease),
        use_(lease->unused_before(), lease->margin()) {}

  /// Called when a control machine tells whether any gateway has sent anything.
  void OnFleet(Timestamp now, bool used) { use_.OnFleet(now, used); }
  /// Whether this gateway has sent anything.
  bool used() const { return use_.used_here(); }

  /// Sets the shards that have owners.
  void SetOwnerships(Timestamp now, const ShardOwnerships& ownerships);
  /// Records that another gateway takes this one for an owner of the shard: it may group the shards
  /// differently. @param owners by its groups; zero: none of them is owned by this gateway.
  void OnAskedAsOwner(Timestamp now, const std::string& service, size_t owners);
  /// Returns the budget of a service, which remains valid.
  balance::ExtraLoadLimit* BudgetOf(const std::string& service);
  /// Returns the use of each service that this gateway may send to.
  std::vector<ServiceLoadUse> Uses(Timestamp now) const;

 private:
  /// The budget of one service. Its fixed part is worked out whenever it is used, because a share
  /// may lapse at any time.
  class Budget : public balance::ExtraLoadLimit {
   public:
    /// @param shared_fraction, ownership in force until now.
    Budget(ExtraLoadShares* shares, double shared_fraction, double ownership);

    void SetShare(Timestamp now, double shared_fraction, double ownership);
    /// As above, as if it had always been in force.
    void ResetShare(double shared_fraction, double ownership);
    void OnRegular(Timestamp now, double share) override;
    bool TrySpendFraction(Timestamp now, double part) override;
    bool Affords(Timestamp now, double part) override;
    double RemainingFraction(Timestamp now) override;
    balance::ExtraLoadUse Use(Timestamp now);

    size_t co_owners = 0;

   private:
    /// Sets the fixed part to what this gateway's share is now, and how much may be earned.
    void Update(Timestamp now);
    /// Returns the part of the budget that may be used, of what a caller may use.
    double UsablePart(Timestamp now, double part) const;

    ExtraLoadShares* shares_;
    balance::SlidingWindowBudget window_;
    /// Only as many requests earn as there were in each of the last windows. Those that have moved
    /// here from another gateway so earn only when what they had earned there, and may have been
    /// used, has left the window.
    balance::LeastWindow least_;
    /// Fraction of the fixed part that all gateways share.
    balance::WindowMinimum<double> shared_fraction_;
    /// This gateway's share of the owners' fraction.
    balance::WindowMinimum<double> ownership_;
  };

  void SetOwnership(Timestamp now, const std::string& service, const ShardOwnership& ownership);

  ExtraLoadBound bound_;
  double owners_fraction_;
  uint32_t spare_gateways_;
  const ShareLease* lease_;
  FleetUse use_;
  std::map<std::string, std::unique_ptr<Budget>> budgets_;
};

}  // namespace pumicedyke::gateway
