#include "gateway/extra_load_shares.h"

#include <algorithm>

namespace pumicedyke::gateway {

// ---- Budget -------------------------------------------------------------------------------------

ExtraLoadShares::Budget::Budget(ExtraLoadShares* shares, double shared_fraction, double ownership)
    : shares_(shares),
      window_(shares->bound_.window, shares->bound_.ratio),
      least_(shares->bound_.window),
      shared_fraction_(shares->lease_->holding_time(), shared_fraction),
      ownership_(shares->lease_->holding_time(), ownership) {}

void ExtraLoadShares::Budget::SetShare(Timestamp now, double shared_fraction, double ownership) {
  shared_fraction_.Set(now, shared_fraction);
  ownership_.Set(now, ownership);
}

void ExtraLoadShares::Budget::ResetShare(double shared_fraction, double ownership) {
  shared_fraction_.Reset(shared_fraction);
  ownership_.Reset(ownership);
}

void ExtraLoadShares::Budget::OnRegular(Timestamp now, double share) {
  shares_->use_.OnOwnUse(now);
  window_.OnRegular(now, share);
  least_.Add(now);
}

bool ExtraLoadShares::Budget::TrySpendFraction(Timestamp now, double part) {
  Update(now);
  return window_.TrySpendFraction(now, UsablePart(now, part));
}

bool ExtraLoadShares::Budget::Affords(Timestamp now, double part) {
  Update(now);
  return window_.Affords(now, UsablePart(now, part));
}

double ExtraLoadShares::Budget::UsablePart(Timestamp now, double part) const {
  return shares_->lease_->Settled(now) ? part : 0;
}

double ExtraLoadShares::Budget::RemainingFraction(Timestamp now) {
  Update(now);
  return shares_->lease_->Settled(now) ? window_.RemainingFraction(now) : 0;
}

balance::ExtraLoadUse ExtraLoadShares::Budget::Use(Timestamp now) {
  Update(now);
  return window_.Use(now);
}

void ExtraLoadShares::Budget::Update(Timestamp now) {
  window_.SetMostEarning(least_.Least(now, shares_->use_.unused_before()));
  if (!shares_->lease_->Held(now)) {
    window_.SetBurst(0);
    return;
  }
  const double shared = shared_fraction_.Extreme(now) / shares_->lease_->Sharers(now);
  const double owned = shares_->owners_fraction_ * ownership_.Extreme(now);
  window_.SetBurst(shares_->bound_.burst * std::max(shared, owned));
}

// ---- ExtraLoadShares ----------------------------------------------------------------------------

void ExtraLoadShares::SetOwnership(Timestamp now, const std::string& service,
                                   const ShardOwnership& ownership) {
  const double shared_fraction = 1 - owners_fraction_;
  const double part =
      ownership.own ? 1.0 / (static_cast<double>(ownership.owners) + spare_gateways_) : 0;
  std::unique_ptr<Budget>& budget = budgets_[service];
  if (budget == nullptr) {
    // No gateway has sent to a shard before it was in the routes.
    budget = std::make_unique<Budget>(this, shared_fraction, part);
  } else if (lease_->unused_before() && !used()) {
    // Nothing can have been used by any owner.
    budget->ResetShare(shared_fraction, part);
  } else {
    budget->SetShare(now, shared_fraction, part);
  }
  budget->co_owners = ownership.own ? ownership.owners : 0;
}

void ExtraLoadShares::OnAskedAsOwner(Timestamp now, const std::string& service, size_t owners) {
  const auto known = budgets_.find(service);
  if (owners > 0 && (known == budgets_.end() || known->second->co_owners == 0)) {
    SetOwnership(now, service, {owners, /*own=*/true});
  }
}

void ExtraLoadShares::SetOwnerships(Timestamp now, const ShardOwnerships& ownerships) {
  for (const auto& [service, ownership] : ownerships) {
    if (ownership.owners > 0) {
      SetOwnership(now, service, ownership);
    }
  }
  for (const auto& [service, budget] : budgets_) {
    if (!ownerships.contains(service)) {
      budget->SetShare(now, /*shared_fraction=*/1, /*ownership=*/0);
      budget->co_owners = 0;
    }
  }
}

balance::ExtraLoadLimit* ExtraLoadShares::BudgetOf(const std::string& service) {
  std::unique_ptr<Budget>& budget = budgets_[service];
  if (budget == nullptr) {
    budget = std::make_unique<Budget>(this, /*shared_fraction=*/1, /*ownership=*/0);
  }
  return budget.get();
}

std::vector<ServiceLoadUse> ExtraLoadShares::Uses(Timestamp now) const {
  std::vector<ServiceLoadUse> uses;
  uses.reserve(budgets_.size());
  for (const auto& [service, budget] : budgets_) {
    uses.push_back({service, budget->co_owners, budget->Use(now)});
  }
  return uses;
}

}  // namespace pumicedyke::gateway
