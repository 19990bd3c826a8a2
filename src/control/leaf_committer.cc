#include "control/leaf_committer.h"

#include <utility>

namespace pumicedyke::control {

std::optional<config::Change> LeafCommitter::Propose(Timestamp now,
                                                     registry::LeafRegistry* registry,
                                                     const config::ConfigState& committed,
                                                     const std::set<MemberId>& members,
                                                     bool leads) {
  const Duration wait = pending_ ? options_.answer_timeout : options_.interval;
  if (now - proposed_ < wait) {
    return std::nullopt;
  }
  std::set<std::string> reporting = registry->TakeReported();
  removed_.merge(registry->TakeRemoved());
  if (!checked_registry_) {
    checked_registry_ = true;
    registry->ForEach([&](const wire::LeafRecord& record, Timestamp /*last_contact*/) {
      reporting.insert(record.leaf);
    });
  }
  std::optional<config::Change> change = ProposeReports(*registry, committed, reporting);
  if (!change.has_value() && now - started_ >= options_.rejoin_timeout) {
    change = ProposeForgetting(*registry, committed, std::exchange(removed_, {}));
  }
  const bool group_changed = members != checked_members_ || leads != checked_as_leader_;
  if (!change.has_value() && (group_changed || now - checked_at_ >= options_.check_interval)) {
    checked_at_ = now;
    checked_members_ = members;
    checked_as_leader_ = leads;
    change = CheckAllCommitted(now, *registry, committed, members, leads);
  }
  if (change.has_value()) {
    pending_ = true;
    proposed_ = now;
  }
  return change;
}

std::optional<config::Change> LeafCommitter::ProposeReports(
    const registry::LeafRegistry& registry, const config::ConfigState& committed,
    const std::set<std::string>& reporting) {
  config::Change change;
  change.kind = config::ChangeKind::kReportLeafs;
  for (const std::string& id : reporting) {
    const wire::LeafRecord* record = registry.Find(id);
    if (record == nullptr || record->draining || committed.IsRetired(id, record->born_ms)) {
      continue;
    }
    const config::ReportedLeaf leaf{
        id, record->service, record->address, record->zone, record->slots, self_, record->born_ms};
    const auto known = committed.reported().find(id);
    const bool settled = known != committed.reported().end() && known->second == leaf;
    if (!settled) {
      change.reported.push_back(leaf);
    }
  }
  return change.reported.empty() ? std::nullopt : std::optional(std::move(change));
}

std::optional<config::Change> LeafCommitter::ProposeForgetting(
    const registry::LeafRegistry& registry, const config::ConfigState& committed,
    const std::set<std::string>& leafs) const {
  config::Change change;
  change.kind = config::ChangeKind::kForgetLeafs;
  for (const std::string& id : leafs) {
    const auto known = committed.reported().find(id);
    const bool own = known != committed.reported().end() && known->second.reporter == self_;
    if (own && registry.Find(id) == nullptr) {
      change.reported.push_back(known->second);
    }
  }
  return change.reported.empty() ? std::nullopt : std::optional(std::move(change));
}

std::optional<config::Change> LeafCommitter::CheckAllCommitted(
    Timestamp now, const registry::LeafRegistry& registry, const config::ConfigState& committed,
    const std::set<MemberId>& members, bool leads) {
  config::Change change;
  change.kind = config::ChangeKind::kForgetLeafs;
  for (const auto& [id, leaf] : committed.reported()) {
    const bool own = leaf.reporter == self_;
    const bool own_removed =
        own && now - started_ >= options_.rejoin_timeout && registry.Find(id) == nullptr;
    bool orphan_removed = false;
    if (!own && leads && !members.contains(leaf.reporter)) {
      const auto [since, inserted] = orphaned_.try_emplace(leaf.reporter, now);
      orphan_removed = now - since->second >= options_.rejoin_timeout;
    }
    if (own_removed || orphan_removed) {
      change.reported.push_back(leaf);
    }
  }
  return change.reported.empty() ? std::nullopt : std::optional(std::move(change));
}

}  // namespace pumicedyke::control
