#include "limits/keeper_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace pumicedyke::limits {
namespace {

/// Of SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

uint64_t Score(uint64_t account, uint64_t gateway) { return Mix(account ^ gateway); }

}  // namespace

void KeeperPlacement::Offer(Place* place, const Gateway& gateway) {
  const auto before = [&](const Gateway* other) {
    if (other == nullptr) {
      return true;
    }
    const uint64_t mine = Score(place->hash, gateway.hash);
    const uint64_t theirs = Score(place->hash, other->hash);
    return mine != theirs ? mine > theirs : gateway.record.node < other->record.node;
  };
  if (before(place->first)) {
    place->second = std::exchange(place->first, &gateway);
  } else if (before(place->second)) {
    place->second = &gateway;
  }
}

void KeeperPlacement::Fill(Place* place) const {
  place->first = nullptr;
  place->second = nullptr;
  for (const auto& [node, gateway] : gateways_) {
    Offer(place, *gateway);
  }
}

void KeeperPlacement::SetAccounts(const std::vector<AccountId>& accounts) {
  const std::set<AccountId> wanted(accounts.begin(), accounts.end());
  std::erase_if(places_, [&](const auto& item) { return !wanted.contains(item.first); });
  for (const AccountId& account : wanted) {
    const auto [it, is_new] = places_.try_emplace(account);
    if (is_new) {
      it->second.hash = XXH64(account.tenant.data(), account.tenant.size(), account.part);
      Fill(&it->second);
    }
  }
}

void KeeperPlacement::SetGateways(const std::vector<LimitGateway>& gateways) {
  std::map<std::string, const LimitGateway*> wanted;
  for (const LimitGateway& gateway : gateways) {
    wanted[gateway.node] = &gateway;
  }
  std::vector<std::unique_ptr<Gateway>> gone;
  for (auto it = gateways_.begin(); it != gateways_.end();) {
    const auto found = wanted.find(it->first);
    if (found != wanted.end()) {
      it->second->record = *found->second;
      ++it;
      continue;
    }
    gone.push_back(std::move(it->second));
    it = gateways_.erase(it);
  }
  const auto left = [&](const Gateway* gateway) {
    return std::any_of(gone.begin(), gone.end(),
                       [&](const auto& lost) { return lost.get() == gateway; });
  };
  for (auto& [account, place] : places_) {
    if (left(place.first) || left(place.second)) {
      Fill(&place);
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
      Offer(&place, *gateway);
    }
    gateways_[node] = std::move(gateway);
  }
}

Keepers KeeperPlacement::Find(const AccountId& account) const {
  const auto it = places_.find(account);
  if (it == places_.end()) {
    return {};
  }
  const Place& place = it->second;
  return {place.first == nullptr ? nullptr : &place.first->record,
          place.second == nullptr ? nullptr : &place.second->record};
}

std::vector<AccountId> KeeperPlacement::KeptBy(const std::string& node) const {
  const auto it = gateways_.find(node);
  if (it == gateways_.end()) {
    return {};
  }
  std::vector<AccountId> kept;
  for (const auto& [account, place] : places_) {
    if (place.first == it->second.get() || place.second == it->second.get()) {
      kept.push_back(account);
    }
  }
  return kept;
}

}  // namespace pumicedyke::limits
