#include "gateway/leaf_view.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::gateway {

LeafView::LeafView(LeafViewOptions options, const config::ConfigState* committed)
    : options_(options), committed_(committed) {
  static const auto* const nothing = new config::ConfigState();
  if (committed_ == nullptr) {
    committed_ = nothing;
  }
}

bool LeafView::OnFeed(Timestamp now, const std::string& source, const wire::LeafFeed& feed) {
  Source& state = sources_[source];
  state.lost = false;
  if (feed.from_version != 0 && feed.from_version > state.version) {
    state.version = 0;
    return false;
  }
  const bool nothing_new = feed.from_version != 0 && feed.records.empty() && feed.removed.empty();
  state.version = feed.version;
  if (nothing_new) {
    return true;
  }
  if (feed.from_version == 0) {
    state.unconfirmed.merge(state.records);
    state.unconfirmed_until = now + options_.unconfirmed_timeout;
    state.records.clear();
    for (const auto& [leaf, record] : state.unconfirmed) {
      stale_.insert(leaf);
    }
  }
  for (const wire::LeafRecord& record : feed.records) {
    RecordCold(now, record);
    wire::LeafRecord& kept = state.records[record.leaf] = record;
    kept.cold_milliseconds = 0;
    state.unconfirmed.erase(record.leaf);
    stale_.insert(record.leaf);
    if (record.draining) {
      MarkLeaving(record.leaf, record.born_ms);
    }
  }
  for (const std::string& leaf : feed.removed) {
    state.records.erase(leaf);
    state.unconfirmed.erase(leaf);
    stale_.insert(leaf);
  }
  Changed(now);
  return true;
}

void LeafView::Changed(Timestamp now) {
  if (now - merged_ >= options_.merge_interval) {
    Merge(now);
  }
}

void LeafView::Merge(Timestamp now) {
  if (stale_.empty()) {
    return;
  }
  merged_ = now;
  bool changed = false;
  // Evaluating one leaf may make others at its address stale.
  while (!stale_.empty()) {
    const std::string leaf = std::move(stale_.extract(stale_.begin()).value());
    changed |= Reevaluate(leaf);
  }
  if (changed) {
    ++version_;
    ++merges_;
  }
}

void LeafView::RecordCold(Timestamp now, const wire::LeafRecord& record) {
  const auto before = leafs_.find(record.leaf);
  if (before != leafs_.end() && before->second.born_ms < record.born_ms) {
    cold_until_.erase(record.leaf);
  }
  if (record.cold_milliseconds == 0) {
    return;
  }
  const Timestamp until = now + Milliseconds(static_cast<int64_t>(record.cold_milliseconds));
  Timestamp& known = cold_until_[record.leaf];
  known = std::max(known, until);
  ++cold_reports_;
}

void LeafView::SetEvacuated(Timestamp now, const std::set<std::string>& zones) {
  if (zones == evacuated_) {
    return;
  }
  for (const std::string& zone : evacuated_) {
    if (!zones.contains(zone)) {
      restored_at_[zone] = now;
    }
  }
  const std::set<std::string> before = std::exchange(evacuated_, zones);
  for (const auto& [leaf, record] : leafs_) {
    if (before.contains(record.zone) == zones.contains(record.zone)) {
      continue;
    }
    if (zones.contains(record.zone) && !record.draining) {
      newly_leaving_.push_back(leaf);
    }
    RemoveUsable(record);
    AddUsable(record);
    changes_.push_back({leaf, record.service});
  }
  ++version_;
  ++merges_;
}

std::optional<Timestamp> LeafView::RestoredAt(const std::string& zone) const {
  const auto it = restored_at_.find(zone);
  return it == restored_at_.end() ? std::nullopt : std::optional(it->second);
}

void LeafView::MarkLeaving(const std::string& leaf, uint64_t born_ms) {
  const auto it = leafs_.find(leaf);
  if (it == leafs_.end() || it->second.draining || it->second.born_ms > born_ms) {
    return;
  }
  it->second.draining = true;
  RemoveUsable(it->second);
  newly_leaving_.push_back(leaf);
  changes_.push_back({leaf, it->second.service});
  ++version_;
}

void LeafView::MarkRetired(const std::string& leaf) {
  const auto retired = committed_->retired().find(leaf);
  if (retired != committed_->retired().end()) {
    MarkLeaving(leaf, retired->second);
  }
}

void LeafView::OnSourceLost(Timestamp now, const std::string& source) {
  const auto it = sources_.find(source);
  if (it != sources_.end() && !it->second.lost) {
    it->second.lost = true;
    it->second.lost_at = now;
    // A control machine that restarts begins with version 1 again.
    it->second.version = 0;
  }
}

void LeafView::OnCommitted(Timestamp now, const std::vector<std::string>& leafs) {
  for (const std::string& leaf : leafs) {
    stale_.insert(leaf);
    MarkRetired(leaf);
  }
  Changed(now);
}

void LeafView::OnCommittedReset(Timestamp now) {
  for (const auto& [leaf, record] : leafs_) {
    stale_.insert(leaf);
  }
  for (const auto& [address, leafs] : only_committed_at_) {
    stale_.insert(leafs.begin(), leafs.end());
  }
  for (const auto& [leaf, reported] : committed_->reported()) {
    stale_.insert(leaf);
  }
  only_committed_at_.clear();
  for (const auto& [leaf, born_ms] : committed_->retired()) {
    MarkLeaving(leaf, born_ms);
  }
  Merge(now);
}

void LeafView::Tick(Timestamp now) {
  std::erase_if(cold_until_, [now](const auto& item) { return now >= item.second; });
  Changed(now);
  const bool any_live = std::any_of(sources_.begin(), sources_.end(),
                                    [](const auto& item) { return !item.second.lost; });
  if (!any_live) {
    return;
  }
  for (auto& [name, source] : sources_) {
    const bool over = !source.unconfirmed.empty() && now >= source.unconfirmed_until;
    if (over && !source.lost) {
      for (const auto& [leaf, record] : source.unconfirmed) {
        stale_.insert(leaf);
      }
      source.unconfirmed.clear();
    }
  }
  std::erase_if(sources_, [&](const auto& item) {
    const Source& source = item.second;
    if (!source.lost || now - source.lost_at < options_.lost_source_timeout) {
      return false;
    }
    for (const auto* records : {&source.records, &source.unconfirmed}) {
      for (const auto& [leaf, record] : *records) {
        stale_.insert(leaf);
      }
    }
    return true;
  });
  Changed(now);
}

uint64_t LeafView::VersionOf(const std::string& source) const {
  const auto it = sources_.find(source);
  return it == sources_.end() ? 0 : it->second.version;
}

bool LeafView::IsLeaving(const std::string& leaf) const {
  const auto it = leafs_.find(leaf);
  return it == leafs_.end() || IsClosed(it->second);
}

const std::vector<std::string>& LeafView::UsableLeafs(const std::string& service) const {
  static const auto* const none = new std::vector<std::string>();
  const auto it = by_service_.find(service);
  return it == by_service_.end() ? *none : it->second;
}

uint64_t LeafView::LatestIncarnation(const std::string& leaf) const {
  const auto committed = committed_->reported().find(leaf);
  uint64_t last = committed == committed_->reported().end() ? 0 : committed->second.born_ms;
  for (const auto& [name, source] : sources_) {
    for (const auto* records : {&source.records, &source.unconfirmed}) {
      const auto it = records->find(leaf);
      last = std::max(last, it == records->end() ? 0 : it->second.born_ms);
    }
  }
  return last;
}

std::optional<wire::LeafRecord> LeafView::CombinedRecord(const std::string& leaf) const {
  std::optional<wire::LeafRecord> combined;
  const uint64_t incarnation = LatestIncarnation(leaf);
  const auto committed = committed_->reported().find(leaf);
  if (committed != committed_->reported().end() && committed->second.born_ms == incarnation) {
    const config::ReportedLeaf& reported = committed->second;
    combined = {
        leaf, reported.service, reported.address, reported.zone, reported.slots, /*draining=*/false,
        0,    incarnation};
  }
  for (const auto& [name, source] : sources_) {
    for (const auto* records : {&source.records, &source.unconfirmed}) {
      const auto it = records->find(leaf);
      if (it == records->end() || it->second.born_ms != incarnation) {
        continue;
      }
      const bool draining = it->second.draining || (combined.has_value() && combined->draining);
      combined = combined.has_value() ? *combined : it->second;
      // The most pessimistic report wins: draining is never revoked within one incarnation.
      combined->draining = draining;
    }
  }
  if (combined.has_value() && committed_->IsRetired(leaf, incarnation)) {
    combined->draining = true;
  }
  return combined;
}

bool LeafView::IsReported(const std::string& leaf) const {
  return std::any_of(sources_.begin(), sources_.end(), [&leaf](const auto& item) {
    return item.second.records.contains(leaf) || item.second.unconfirmed.contains(leaf);
  });
}

bool LeafView::Reevaluate(const std::string& leaf) {
  std::optional<wire::LeafRecord> combined = CombinedRecord(leaf);
  if (combined.has_value() && IsReported(leaf)) {
    ClaimAddress(leaf, combined->address);
    return Adopt(leaf, combined);
  }
  ReleaseAddress(leaf);
  if (combined.has_value()) {
    only_committed_at_[combined->address].insert(leaf);
    // Another leaf reports from this address, so this one has stopped and its removal is not
    // committed yet.
    if (address_owners_.contains(combined->address)) {
      combined.reset();
    }
  }
  return Adopt(leaf, combined);
}

void LeafView::ClaimAddress(const std::string& leaf, const std::string& address) {
  const auto held = address_owners_.find(address);
  if (held != address_owners_.end() && held->second.contains(leaf)) {
    return;
  }
  ReleaseAddress(leaf);
  address_owners_[address].insert(leaf);
  ReevaluateCommittedAt(address);
}

void LeafView::ReleaseAddress(const std::string& leaf) {
  const auto known = leafs_.find(leaf);
  if (known == leafs_.end()) {
    return;
  }
  const std::string& address = known->second.address;
  const auto held = address_owners_.find(address);
  if (held == address_owners_.end() || held->second.erase(leaf) == 0) {
    return;
  }
  if (held->second.empty()) {
    address_owners_.erase(held);
    ReevaluateCommittedAt(address);
  }
}

void LeafView::ReevaluateCommittedAt(const std::string& address) {
  const auto committed = only_committed_at_.find(address);
  if (committed != only_committed_at_.end()) {
    stale_.merge(committed->second);
    only_committed_at_.erase(committed);
  }
}

bool LeafView::Adopt(const std::string& leaf, const std::optional<wire::LeafRecord>& record) {
  const auto known = leafs_.find(leaf);
  if (known == leafs_.end() && !record.has_value()) {
    return false;
  }
  // Leafs report again after control has restarted; an unchanged record needs no action.
  if (known != leafs_.end() && record == known->second) {
    return false;
  }
  if (known != leafs_.end()) {
    RemoveUsable(known->second);
    changes_.push_back({leaf, known->second.service});
  }
  if (!record.has_value()) {
    leafs_.erase(known);
    return true;
  }
  const bool restarted = known != leafs_.end() && known->second.born_ms != record->born_ms;
  leafs_[leaf] = *record;
  AddUsable(*record);
  changes_.push_back({leaf, record->service, restarted});
  return true;
}

void LeafView::AddUsable(const wire::LeafRecord& record) {
  if (IsClosed(record)) {
    return;
  }
  std::vector<std::string>& leafs = by_service_[record.service];
  leafs.insert(std::lower_bound(leafs.begin(), leafs.end(), record.leaf), record.leaf);
  ++usable_count_;
}

void LeafView::RemoveUsable(const wire::LeafRecord& record) {
  const auto listed = by_service_.find(record.service);
  if (listed == by_service_.end()) {
    return;
  }
  usable_count_ -= std::erase(listed->second, record.leaf);
  if (listed->second.empty()) {
    by_service_.erase(listed);
  }
}

}  // namespace pumicedyke::gateway
