#include "registry/leaf_registry.h"

#include <algorithm>

namespace pumicedyke::registry {

bool LeafRegistry::IsStale(const LeafReport& report, const Entry& known) {
  const bool previous_incarnation = report.record.born_ms < known.record.born_ms;
  return previous_incarnation || report.sequence <= known.sequence;
}

const LeafRegistry::Entry* LeafRegistry::OtherHolder(const wire::LeafRecord& record) const {
  const auto holder = holders_.find(record.address);
  if (holder == holders_.end() || holder->second == record.leaf) {
    return nullptr;
  }
  const auto it = leafs_.find(holder->second);
  return it == leafs_.end() ? nullptr : &it->second;
}

bool LeafRegistry::MayTakeAddress(Timestamp now, const LeafReport& report,
                                  const std::string* other_holder) {
  const Entry* holder = OtherHolder(report.record);
  const bool held_here = holder != nullptr && !holder->record.draining &&
                         now - holder->last_heartbeat < options_.holder_freshness;
  const bool held_by_other_holder = holder == nullptr && other_holder != nullptr;
  const bool starts = report.sequence <= options_.initial_sequences;
  if (starts || (!held_here && !held_by_other_holder)) {
    return true;
  }
  Claim& claim = claims_[report.record.leaf];
  if (claim.first_report == Timestamp{}) {
    claim = {now, report.sequence};
    return false;
  }
  if (holder != nullptr && holder->last_heartbeat > claim.first_report) {
    // The holder is still active, so the claim came from a late heartbeat of a stopped leaf.
    claim.first_report = now;
    return false;
  }
  return report.sequence > claim.sequence && now - claim.first_report >= options_.confirmation_time;
}

void LeafRegistry::ReplaceHolder(const LeafReport& report) {
  const Entry* holder = OtherHolder(report.record);
  if (holder != nullptr) {
    Remove(std::string(holder->record.leaf));
  }
  holders_[report.record.address] = report.record.leaf;
  claims_.erase(report.record.leaf);
}

void LeafRegistry::DiscardOldClaims(Timestamp now) {
  std::erase_if(claims_, [&](const auto& item) {
    return now - item.second.first_report >= options_.silence_limit;
  });
}

ReportResult LeafRegistry::OnReport(Timestamp now, const LeafReport& report,
                                    const std::string* other_holder) {
  const auto known = leafs_.find(report.record.leaf);
  const bool inserted = known == leafs_.end();
  const bool restarted = !inserted && report.record.born_ms > known->second.record.born_ms;
  if ((inserted || restarted) && !MayTakeAddress(now, report, other_holder)) {
    return ReportResult::kUnconfirmed;
  }
  Entry& entry = leafs_[report.record.leaf];
  if (!inserted && !restarted && IsStale(report, entry)) {
    return ReportResult::kStale;
  }
  if (restarted) {
    DropPreviousIncarnation(&entry);
  }
  if (inserted || restarted) {
    ReplaceHolder(report);
  }
  wire::LeafRecord record = report.record;
  const Timestamp cold_until = now + Milliseconds(static_cast<int64_t>(record.cold_milliseconds));
  record.cold_milliseconds = 0;
  // Draining is never revoked within one incarnation.
  record.draining |= entry.record.draining;
  entry.sequence = report.sequence;
  entry.last_heartbeat = now;
  reported_.insert(report.record.leaf);
  const Duration cold_change =
      std::chrono::abs(std::max(cold_until, now) - std::max(entry.cold_until, now));
  const bool cold_changed = cold_change >= options_.cold_tolerance;
  if (cold_changed) {
    entry.cold_until = cold_until;
  }
  if (!inserted && record == entry.record && !cold_changed) {
    return ReportResult::kUnchanged;
  }
  entry.record = std::move(record);
  RecordChange(&entry);
  if (restarted) {
    return ReportResult::kRestarted;
  }
  return inserted ? ReportResult::kNew : ReportResult::kChanged;
}

bool LeafRegistry::OnDeparture(Timestamp now, const std::string& leaf, uint64_t born_ms) {
  const auto it = leafs_.find(leaf);
  if (it == leafs_.end()) {
    return false;
  }
  const bool previous_incarnation = born_ms != 0 && born_ms < it->second.record.born_ms;
  if (previous_incarnation) {
    return false;
  }
  if (born_ms > it->second.record.born_ms) {
    DropPreviousIncarnation(&it->second);
    it->second.record.born_ms = born_ms;
  }
  it->second.last_heartbeat = now;
  reported_.insert(leaf);
  if (!it->second.record.draining) {
    it->second.record.draining = true;
    RecordChange(&it->second);
  }
  return true;
}

void LeafRegistry::DropPreviousIncarnation(Entry* entry) {
  const auto holder = holders_.find(entry->record.address);
  if (holder != holders_.end() && holder->second == entry->record.leaf) {
    holders_.erase(holder);
  }
  entry->sequence = 0;
  entry->record.draining = false;
  entry->cold_until = Timestamp{};
}

void LeafRegistry::RecordChange(Entry* entry) {
  by_change_.erase(entry->changed);
  entry->changed = ++version_;
  by_change_[entry->changed] = entry->record.leaf;
}

std::vector<std::string> LeafRegistry::DropSilent(Timestamp now) {
  std::vector<std::string> silent;
  DiscardOldClaims(now);
  for (const auto& [leaf, entry] : leafs_) {
    if (now - entry.last_heartbeat >= options_.silence_limit) {
      silent.push_back(leaf);
    }
  }
  for (const std::string& leaf : silent) {
    Remove(leaf);
  }
  return silent;
}

void LeafRegistry::ResetSilence(Timestamp now) {
  for (auto& [leaf, entry] : leafs_) {
    entry.last_heartbeat = now;
    reported_.insert(leaf);
  }
}

void LeafRegistry::Remove(const std::string& leaf) {
  const auto it = leafs_.find(leaf);
  const auto holder = holders_.find(it->second.record.address);
  if (holder != holders_.end() && holder->second == leaf) {
    holders_.erase(holder);
  }
  by_change_.erase(it->second.changed);
  leafs_.erase(it);
  reported_.erase(leaf);
  removed_.insert(leaf);
  removals_.push_back({leaf, ++version_});
  if (removals_.size() > options_.retained_removals) {
    discarded_version_ = removals_.front().version;
    removals_.pop_front();
  }
}

void LeafRegistry::ForEach(
    const std::function<void(const wire::LeafRecord&, Timestamp last_heartbeat)>& visit) const {
  for (const auto& [leaf, entry] : leafs_) {
    visit(entry.record, entry.last_heartbeat);
  }
}

const wire::LeafRecord* LeafRegistry::Find(const std::string& leaf) const {
  const auto it = leafs_.find(leaf);
  return it == leafs_.end() ? nullptr : &it->second.record;
}

wire::LeafRecord LeafRegistry::RecordOf(const Entry& entry, Timestamp now) const {
  wire::LeafRecord record = entry.record;
  const Duration cold_left = std::max(Duration(0), entry.cold_until - now);
  record.cold_milliseconds = static_cast<uint64_t>(ToMilliseconds(cold_left));
  return record;
}

wire::LeafFeed LeafRegistry::ChangesSince(Timestamp now, uint64_t version) const {
  const bool all = version == 0 || version < discarded_version_ || version > version_;
  wire::LeafFeed feed;
  feed.from_version = all ? 0 : version;
  feed.version = version_;
  if (all) {
    for (const auto& [leaf, entry] : leafs_) {
      feed.records.push_back(RecordOf(entry, now));
    }
    return feed;
  }
  for (auto it = by_change_.upper_bound(version); it != by_change_.end(); ++it) {
    feed.records.push_back(RecordOf(leafs_.at(it->second), now));
  }
  for (auto it = removals_.rbegin(); it != removals_.rend() && it->version > version; ++it) {
    if (!leafs_.contains(it->leaf)) {
      feed.removed.push_back(it->leaf);
    }
  }
  return feed;
}

}  // namespace pumicedyke::registry
