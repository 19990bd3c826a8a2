#include "control/leaf_committer.h"

#include <utility>

namespace pumicedyke::control {

std::optional<config::Change> LeafCommitter::Propose(Timestamp now,
                                                     registry::LeafRegistry* registry,
                                                     const config::ConfigState& committed,
                                                     const std::set<MemberId>& members,
                                                     bool leads) {
  const Duration wait = pending_ ? options_.answer_patience : options_.interval;
  if (now - proposed_ < wait) {
    return std::nullopt;
  }
  std::set<std::string> heard = registry->TakeHeard();
  removed_.merge(registry->TakeRemoved());
  if (!looked_at_all_) {
    looked_at_all_ = true;
    registry->ForEach(
        [&](const wire::LeafRecord& record, Timestamp /*heard*/) { heard.insert(record.leaf); });
  }
  std::optional<config::Change> change = ProposeReports(*registry, committed, heard);
  if (!change.has_value() && now - started_ >= options_.return_patience) {
    change = ProposeForgetting(*registry, committed, std::exchange(removed_, {}));
  }
  const bool others = members != surveyed_members_ || leads != surveyed_as_leader_;
  if (!change.has_value() && (others || now - surveyed_ >= options_.survey_interval)) {
    surveyed_ = now;
    surveyed_members_ = members;
    surveyed_as_leader_ = leads;
    change = Survey(now, *registry, committed, members, leads);
  }
  if (change.has_value()) {
    pending_ = true;
    proposed_ = now;
  }
  return change;
}

std::optional<config::Change> LeafCommitter::ProposeReports(const registry::LeafRegistry& registry,
                                                            const config::ConfigState& committed,
                                                            const std::set<std::string>& heard) {
  config::Change change;
  change.kind = config::ChangeKind::kReportLeafs;
  for (const std::string& id : heard) {
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

std::optional<config::Change> LeafCommitter::Survey(Timestamp now,
                                                    const registry::LeafRegistry& registry,
                                                    const config::ConfigState& committed,
                                                    const std::set<MemberId>& members, bool leads) {
  config::Change change;
  change.kind = config::ChangeKind::kForgetLeafs;
  for (const auto& [id, leaf] : committed.reported()) {
    const bool own = leaf.reporter == self_;
    const bool own_gone =
        own && now - started_ >= options_.return_patience && registry.Find(id) == nullptr;
    bool orphan_gone = false;
    if (!own && leads && !members.contains(leaf.reporter)) {
      const auto [since, fresh] = orphaned_.try_emplace(leaf.reporter, now);
      orphan_gone = now - since->second >= options_.return_patience;
    }
    if (own_gone || orphan_gone) {
      change.reported.push_back(leaf);
    }
  }
  return change.reported.empty() ? std::nullopt : std::optional(std::move(change));
}

}  // namespace pumicedyke::control
