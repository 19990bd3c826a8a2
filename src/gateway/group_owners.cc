#include "gateway/group_owners.h"

#include <xxhash.h>

#include <algorithm>

namespace pumicedyke::gateway {
namespace {

/// Shards of a group that are looked at to learn in which zones its leafs are.
constexpr size_t kShardsLookedAt = 4;

}  // namespace

GroupPlace PlaceOf(const std::vector<std::string>& shards,
                   const std::vector<query::ShardRange>& ranges, size_t index) {
  GroupPlace place;
  place.groups.reserve(ranges.size());
  for (const query::ShardRange& range : ranges) {
    place.groups.push_back(shards[range.first]);
  }
  place.index = index;
  place.shards = Slice(shards, ranges[index]);
  return place;
}

std::vector<std::string> GroupOwners::ZonesOf(const std::vector<std::string>& shards,
                                              const std::set<std::string>& homes) const {
  std::set<std::string> zones;
  for (size_t i = 0; i < std::min(shards.size(), kShardsLookedAt); ++i) {
    for (const std::string& leaf : view_->UsableLeafs(shards[i])) {
      const std::string& zone = view_->leafs().at(leaf).zone;
      if (homes.empty() || homes.contains(regions_->Of(zone))) {
        zones.insert(zone);
      }
    }
  }
  std::vector<std::string> ordered(zones.begin(), zones.end());
  if (ordered.empty()) {
    return ordered;
  }
  // Gateways of zones without leafs spread over the others.
  const std::string text = node_ + "/" + shards.front();
  const uint64_t turn = XXH64(text.data(), text.size(), 0) % ordered.size();
  std::rotate(ordered.begin(), ordered.begin() + static_cast<long>(turn), ordered.end());
  std::stable_partition(ordered.begin(), ordered.end(),
                        [this](const std::string& zone) { return zone == zone_; });
  return ordered;
}

const GroupMergers& GroupOwners::MergersIn(const std::string& zone, const GroupPlace& place) {
  if (changes_ != peers_->changes()) {
    changes_ = peers_->changes();
    mergers_.clear();
  }
  const auto [it, inserted] = mergers_.try_emplace({zone, place.groups});
  if (inserted) {
    it->second = AssignMergers(place.groups, peers_->InZone(zone));
  }
  return it->second[place.index];
}

std::optional<std::string> GroupOwners::Choose(Timestamp now, const GroupPlace& place,
                                               const std::set<std::string>& homes,
                                               const std::set<std::string>& tried,
                                               const std::map<std::string, size_t>& given) {
  Choice owner;
  Choice stand_in;
  for (const std::string& zone : ZonesOf(place.shards, homes)) {
    const GroupMergers& mergers = MergersIn(zone, place);
    Consider(now, mergers.owners, tried, given, &owner);
    Consider(now, mergers.stand_ins, tried, given, &stand_in);
  }
  for (const std::optional<std::string>& choice :
       {owner.best, stand_in.best, owner.suspect, stand_in.suspect}) {
    if (choice.has_value()) {
      return choice;
    }
  }
  return std::nullopt;
}

void GroupOwners::Consider(Timestamp now, std::vector<std::string> mergers,
                           const std::set<std::string>& tried,
                           const std::map<std::string, size_t>& given, Choice* choice) const {
  if (mergers.empty()) {
    return;
  }
  // Roots differ in whom they ask first, so that the owners share the load.
  const uint64_t turn = XXH64(node_.data(), node_.size(), 0) % mergers.size();
  std::rotate(mergers.begin(), mergers.begin() + static_cast<long>(turn), mergers.end());
  for (const std::string& merger : mergers) {
    const std::string& address = peers_->Find(merger)->peer_address;
    if (merger == node_ || tried.contains(address)) {
      continue;
    }
    const auto suspected = suspects_.find(address);
    if (suspected != suspects_.end() && now < suspected->second) {
      choice->suspect = choice->suspect.value_or(address);
      continue;
    }
    const auto known = given.find(address);
    const size_t groups = known == given.end() ? 0 : known->second;
    if (!choice->best.has_value() || groups < choice->groups) {
      choice->best = address;
      choice->groups = groups;
    }
  }
}

size_t GroupOwners::Fellows(const GroupPlace& place, const std::set<std::string>& homes) {
  size_t fellows = 0;
  bool among_them = false;
  for (const std::string& zone : ZonesOf(place.shards, homes)) {
    const std::vector<std::string>& owners = MergersIn(zone, place).owners;
    fellows += owners.size();
    among_them |= std::find(owners.begin(), owners.end(), node_) != owners.end();
  }
  return among_them ? fellows : 0;
}

}  // namespace pumicedyke::gateway
