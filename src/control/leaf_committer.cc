#include "control/leaf_committer.h"

#include <utility>

namespace pumicedyke::control {

std::optional<config::Change> LeafCommitter::Propose(Timestamp now,
                                                     const registry::LeafRegistry& registry,
                                                     const config::ConfigState& committed,
                                                     const std::set<MemberId>& members,
                                                     bool leads) {
  const Duration wait = pending_ ? options_.answer_patience : options_.interval;
  if (now - proposed_ < wait) {
    return std::nullopt;
  }
  std::optional<config::Change> change = ProposeReports(registry, committed);
  if (!change.has_value()) {
    change = ProposeForgetting(now, registry, committed, members, leads);
  }
  if (change.has_value()) {
    pending_ = true;
    proposed_ = now;
  }
  return change;
}

std::optional<config::Change> LeafCommitter::ProposeReports(const registry::LeafRegistry& registry,
                                                            const config::ConfigState& committed) {
  config::Change change;
  change.kind = config::ChangeKind::kReportLeafs;
  std::map<std::string, Timestamp> proposed_as_of;
  registry.ForEach([&](const wire::LeafRecord& record, Timestamp heard) {
    const config::ReportedLeaf leaf{record.leaf, record.service, record.address,
                                    record.zone, record.slots,   self_};
    const auto known = committed.reported().find(record.leaf);
    const bool settled = known != committed.reported().end() && known->second == leaf;
    const auto before = proposed_as_of_.find(record.leaf);
    const bool tried = before != proposed_as_of_.end() && before->second == heard;
    if (record.draining || committed.retired().contains(record.leaf)) {
      return;
    }
    if (!settled && !tried) {
      change.reported.push_back(leaf);
    }
    proposed_as_of[record.leaf] = heard;
  });
  proposed_as_of_ = std::move(proposed_as_of);
  return change.reported.empty() ? std::nullopt : std::optional(std::move(change));
}

std::optional<config::Change> LeafCommitter::ProposeForgetting(
    Timestamp now, const registry::LeafRegistry& registry, const config::ConfigState& committed,
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
