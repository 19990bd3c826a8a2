#include "limits/lender_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace pumicedyke::limits {
namespace {

/// The finalizer of SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number
/// Generators", 2014).
uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

uint64_t Score(uint64_t account, uint64_t gateway) { return Mix(account ^ gateway); }

}  // namespace

void LenderPlacement::ConsiderGateway(AccountPlace* place, const Gateway& gateway) {
  const auto ranks_before = [&](const Gateway* other) {
    if (other == nullptr) {
      return true;
    }
    const uint64_t mine = Score(place->hash, gateway.hash);
    const uint64_t theirs = Score(place->hash, other->hash);
    return mine != theirs ? mine > theirs : gateway.record.node < other->record.node;
  };
  if (ranks_before(place->primary)) {
    place->reserve = std::exchange(place->primary, &gateway);
  } else if (ranks_before(place->reserve)) {
    place->reserve = &gateway;
  }
}

void LenderPlacement::ChooseLenders(AccountPlace* place) const {
  place->primary = nullptr;
  place->reserve = nullptr;
  for (const auto& [node, gateway] : gateways_) {
    ConsiderGateway(place, *gateway);
  }
}

void LenderPlacement::SetAccounts(const std::vector<AccountId>& accounts) {
  const std::set<AccountId> wanted(accounts.begin(), accounts.end());
  std::erase_if(places_, [&](const auto& item) { return !wanted.contains(item.first); });
  for (const AccountId& account : wanted) {
    const auto [it, is_new] = places_.try_emplace(account);
    if (is_new) {
      it->second.hash = XXH64(account.tenant.data(), account.tenant.size(), account.part);
      ChooseLenders(&it->second);
    }
  }
}

void LenderPlacement::SetGateways(const std::vector<LimitGateway>& gateways) {
  std::map<std::string, const LimitGateway*> wanted;
  for (const LimitGateway& gateway : gateways) {
    wanted[gateway.node] = &gateway;
  }
  std::vector<std::unique_ptr<Gateway>> removed;
  for (auto it = gateways_.begin(); it != gateways_.end();) {
    const auto found = wanted.find(it->first);
    if (found != wanted.end()) {
      it->second->record = *found->second;
      ++it;
      continue;
    }
    removed.push_back(std::move(it->second));
    it = gateways_.erase(it);
  }
  const auto was_removed = [&](const Gateway* gateway) {
    return std::any_of(removed.begin(), removed.end(),
                       [&](const auto& lost) { return lost.get() == gateway; });
  };
  for (auto& [account, place] : places_) {
    if (was_removed(place.primary) || was_removed(place.reserve)) {
      ChooseLenders(&place);
    }
  }
  for (const auto& [node, record] : wanted) {
    if (gateways_.contains(node)) {
      continue;
    }
    auto gateway = std::make_unique<Gateway>();
    gateway->record = *record;
    gateway->hash = XXH64(node.data(), node.size(), 0);
    for (auto& [account, place] : places_) {
      ConsiderGateway(&place, *gateway);
    }
    gateways_[node] = std::move(gateway);
  }
}

Lenders LenderPlacement::Find(const AccountId& account) const {
  const auto it = places_.find(account);
  if (it == places_.end()) {
    return {};
  }
  const AccountPlace& place = it->second;
  return {place.primary == nullptr ? nullptr : &place.primary->record,
          place.reserve == nullptr ? nullptr : &place.reserve->record};
}

std::vector<AccountId> LenderPlacement::AccountsLentBy(const std::string& node) const {
  const auto it = gateways_.find(node);
  if (it == gateways_.end()) {
    return {};
  }
  std::vector<AccountId> accounts;
  for (const auto& [account, place] : places_) {
    if (place.primary == it->second.get() || place.reserve == it->second.get()) {
      accounts.push_back(account);
    }
  }
  return accounts;
}

}  // namespace pumicedyke::limits
