#include "registry/leaf_registry.h"

#include <algorithm>

namespace pumicedyke::registry {

ReportVerdict LeafRegistry::OnReport(Timestamp now, const LeafReport& report) {
  auto [it, inserted] = leafs_.try_emplace(report.record.leaf);
  Entry& entry = it->second;
  if (!inserted && report.sequence <= entry.sequence) {
    return ReportVerdict::kStale;
  }
  wire::LeafRecord record = report.record;
  if (!inserted) {
    // Draining is never taken back, and the cold start is told from its first report.
    record.draining |= entry.record.draining;
    record.cold_milliseconds = entry.record.cold_milliseconds;
  }
  entry.sequence = report.sequence;
  entry.heard = now;
  if (!inserted && record == entry.record) {
    return ReportVerdict::kKnown;
  }
  entry.record = std::move(record);
  entry.changed = ++version_;
  return inserted ? ReportVerdict::kNew : ReportVerdict::kChanged;
}

bool LeafRegistry::OnDeparture(Timestamp now, const std::string& leaf) {
  const auto it = leafs_.find(leaf);
  if (it == leafs_.end()) {
    return false;
  }
  it->second.heard = now;
  if (!it->second.record.draining) {
    it->second.record.draining = true;
    it->second.changed = ++version_;
  }
  return true;
}

std::vector<std::string> LeafRegistry::DropSilent(Timestamp now) {
  std::vector<std::string> silent;
  for (const auto& [leaf, entry] : leafs_) {
    if (now - entry.heard >= options_.silence_limit) {
      silent.push_back(leaf);
    }
  }
  for (const std::string& leaf : silent) {
    Remove(leaf);
  }
  return silent;
}

void LeafRegistry::ForgiveSilence(Timestamp now) {
  for (auto& [leaf, entry] : leafs_) {
    entry.heard = now;
  }
}

void LeafRegistry::Remove(const std::string& leaf) {
  leafs_.erase(leaf);
  removals_.push_back({leaf, ++version_});
  if (removals_.size() > options_.kept_removals) {
    forgotten_ = removals_.front().version;
    removals_.pop_front();
  }
}

void LeafRegistry::ForEach(
    const std::function<void(const wire::LeafRecord&, Timestamp heard)>& visit) const {
  for (const auto& [leaf, entry] : leafs_) {
    visit(entry.record, entry.heard);
  }
}

const wire::LeafRecord* LeafRegistry::Find(const std::string& leaf) const {
  const auto it = leafs_.find(leaf);
  return it == leafs_.end() ? nullptr : &it->second.record;
}

wire::LeafFeed LeafRegistry::ChangesSince(uint64_t version) const {
  const bool all = version == 0 || version < forgotten_ || version > version_;
  wire::LeafFeed feed;
  feed.from_version = all ? 0 : version;
  feed.version = version_;
  for (const auto& [leaf, entry] : leafs_) {
    if (all || entry.changed > version) {
      feed.records.push_back(entry.record);
    }
  }
  for (const Removal& removal : removals_) {
    if (!all && removal.version > version && !leafs_.contains(removal.leaf)) {
      feed.gone.push_back(removal.leaf);
    }
  }
  return feed;
}

}  // namespace pumicedyke::registry
