#include "gateway/group_owners.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace pumicedyke::gateway {
namespace {

/// Number of shards of a group that are sampled to find the zones of its leafs.
constexpr size_t kShardsSampled = 4;

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
                                              const std::set<std::string>& allowed_regions) const {
  std::set<std::string> zones;
  for (size_t i = 0; i < std::min(shards.size(), kShardsSampled); ++i) {
    for (const std::string& leaf : view_->UsableLeafs(shards[i])) {
      const std::string& zone = view_->leafs().at(leaf).zone;
      if (allowed_regions.empty() || allowed_regions.contains(regions_->Of(zone))) {
        zones.insert(zone);
      }
    }
  }
  std::vector<std::string> ordered(zones.begin(), zones.end());
  if (ordered.empty()) {
    return ordered;
  }
  // Rotate by a hash of the node, so that gateways in zones without leafs spread over the other
  // zones.
  const std::string text = options_.node + "/" + shards.front();
  const uint64_t offset = XXH64(text.data(), text.size(), 0) % ordered.size();
  std::rotate(ordered.begin(), ordered.begin() + static_cast<long>(offset), ordered.end());
  std::stable_partition(ordered.begin(), ordered.end(),
                        [this](const std::string& zone) { return zone == options_.zone; });
  return ordered;
}

const GroupOwners::Assignment& GroupOwners::AssignmentIn(Timestamp now, const std::string& zone,
                                                         const GroupPlace& place) {
  if (changes_ != peers_->changes()) {
    std::erase_if(assignments_,
                  [this](const auto& item) { return item.second.changes != changes_; });
    changes_ = peers_->changes();
  }
  Assignment& assignment = assignments_[{zone, place.groups}];
  if (assignment.mergers.empty() || assignment.changes != changes_) {
    assignment.changes = changes_;
    assignment.mergers = AssignMergers(place.groups, peers_->InZone(zone));
    UpdateTenures(now, &assignment);
  }
  return assignment;
}

void GroupOwners::UpdateTenures(Timestamp now, Assignment* assignment) const {
  // Nothing is known of the time before the first assignment.
  const bool unknown = assignment->tenures.empty() || now - started_ < options_.holding_time;
  assignment->tenures.resize(assignment->mergers.size());
  for (size_t i = 0; i < assignment->mergers.size(); ++i) {
    Tenures& tenures = assignment->tenures[i];
    const std::vector<std::string>& owners = assignment->mergers[i].owners;
    std::erase_if(tenures, [&](const auto& item) {
      const std::optional<Timestamp>& absent = item.second.absent_since;
      return absent.has_value() && now - *absent > options_.absence_limit;
    });
    for (auto& [gateway, tenure] : tenures) {
      const bool owns = std::find(owners.begin(), owners.end(), gateway) != owners.end();
      tenure.absent_since = owns ? std::nullopt : std::optional(tenure.absent_since.value_or(now));
    }
    for (const std::string& owner : owners) {
      tenures.try_emplace(owner, Tenure{unknown ? Timestamp::min() : now, std::nullopt});
    }
  }
}

bool GroupOwners::IsNewcomer(Timestamp now, const Tenures* tenures,
                             const std::string& merger) const {
  if (tenures == nullptr) {
    return false;
  }
  const auto tenure = tenures->find(merger);
  // The time before the first assignment is the least, so nothing is subtracted from it.
  return tenure != tenures->end() && now < tenure->second.since + options_.holding_time;
}

std::optional<std::string> GroupOwners::Choose(
    Timestamp now, const GroupPlace& place, const std::set<std::string>& allowed_regions,
    const std::set<std::string>& tried, const std::map<std::string, size_t>& assigned_groups) {
  Choice owner;
  Choice backup;
  for (const std::string& zone : ZonesOf(place.shards, allowed_regions)) {
    const Assignment& assignment = AssignmentIn(now, zone, place);
    const GroupMergers& mergers = assignment.mergers[place.index];
    Consider(now, mergers.owners, &assignment.tenures[place.index], tried, assigned_groups, &owner);
    Consider(now, mergers.backups, nullptr, tried, assigned_groups, &backup);
  }
  for (const std::optional<std::string>& choice :
       {owner.best, backup.best, owner.suspect, backup.suspect}) {
    if (choice.has_value()) {
      return choice;
    }
  }
  return std::nullopt;
}

void GroupOwners::Consider(Timestamp now, std::vector<std::string> mergers, const Tenures* tenures,
                           const std::set<std::string>& tried,
                           const std::map<std::string, size_t>& assigned_groups,
                           Choice* choice) const {
  if (mergers.empty()) {
    return;
  }
  // Each root starts at a different owner, so that the owners share the load.
  const uint64_t offset = XXH64(options_.node.data(), options_.node.size(), 0) % mergers.size();
  std::rotate(mergers.begin(), mergers.begin() + static_cast<long>(offset), mergers.end());
  for (const std::string& merger : mergers) {
    const std::string& address = peers_->Find(merger)->peer_address;
    if (merger == options_.node || tried.contains(address)) {
      continue;
    }
    const auto suspected = suspects_.find(address);
    if (suspected != suspects_.end() && now < suspected->second) {
      choice->suspect = choice->suspect.value_or(address);
      continue;
    }
    const auto known = assigned_groups.find(address);
    const size_t groups = known == assigned_groups.end() ? 0 : known->second;
    const bool newcomer = IsNewcomer(now, tenures, merger);
    if (!choice->best.has_value() ||
        std::tie(newcomer, groups) < std::tie(choice->newcomer, choice->groups)) {
      choice->best = address;
      choice->newcomer = newcomer;
      choice->groups = groups;
    }
  }
}

std::set<std::string> GroupOwners::OwnersOf(Timestamp now, const GroupPlace& place,
                                            const std::set<std::string>& allowed_regions) {
  std::set<std::string> owners;
  for (const std::string& zone : ZonesOf(place.shards, allowed_regions)) {
    const std::vector<std::string>& mergers =
        AssignmentIn(now, zone, place).mergers[place.index].owners;
    owners.insert(mergers.begin(), mergers.end());
  }
  return owners;
}

size_t GroupOwners::CoOwnerCount(Timestamp now, const GroupPlace& place,
                                 const std::set<std::string>& allowed_regions) {
  const std::set<std::string> owners = OwnersOf(now, place, allowed_regions);
  return owners.contains(options_.node) ? owners.size() : 0;
}

}  // namespace pumicedyke::gateway
