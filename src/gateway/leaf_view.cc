#include "gateway/leaf_view.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::gateway {

bool LeafView::OnFeed(Timestamp now, const std::string& source, const wire::LeafFeed& feed) {
  Source& state = sources_[source];
  state.lost = false;
  if (feed.from_version != 0 && feed.from_version > state.version) {
    state.version = 0;
    return false;
  }
  const bool nothing_new = feed.from_version != 0 && feed.records.empty() && feed.gone.empty();
  state.version = feed.version;
  if (nothing_new) {
    return true;
  }
  if (feed.from_version == 0) {
    state.unconfirmed.merge(state.records);
    state.unconfirmed_until = now + options_.unconfirmed_patience;
    state.records.clear();
  }
  for (const wire::LeafRecord& record : feed.records) {
    NoteCold(now, record);
    wire::LeafRecord& kept = state.records[record.leaf] = record;
    kept.cold_milliseconds = 0;
    state.unconfirmed.erase(record.leaf);
    if (record.draining) {
      MarkLeaving(record.leaf);
    }
  }
  for (const std::string& leaf : feed.gone) {
    state.records.erase(leaf);
    state.unconfirmed.erase(leaf);
  }
  Changed(now);
  return true;
}

void LeafView::Changed(Timestamp now) {
  stale_ = true;
  if (now - rebuilt_ >= MergeInterval()) {
    Merge(now);
  }
}

void LeafView::Merge(Timestamp now) {
  if (stale_) {
    rebuilt_ = now;
    Rebuild();
  }
}

void LeafView::NoteCold(Timestamp now, const wire::LeafRecord& record) {
  if (record.cold_milliseconds == 0) {
    return;
  }
  const Timestamp until = now + Milliseconds(static_cast<int64_t>(record.cold_milliseconds));
  Timestamp& known = cold_until_[record.leaf];
  known = std::max(known, until);
  ++cold_words_;
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
  for (const auto& [leaf, record] : leafs_) {
    if (zones.contains(record.zone) && !IsClosed(record)) {
      newly_leaving_.push_back(leaf);
    }
  }
  evacuated_ = zones;
  SortByService();
}

std::optional<Timestamp> LeafView::RestoredAt(const std::string& zone) const {
  const auto it = restored_at_.find(zone);
  return it == restored_at_.end() ? std::nullopt : std::optional(it->second);
}

void LeafView::MarkLeaving(const std::string& leaf) {
  const auto it = leafs_.find(leaf);
  if (it == leafs_.end() || it->second.draining) {
    return;
  }
  it->second.draining = true;
  std::erase(by_service_[it->second.service], leaf);
  newly_leaving_.push_back(leaf);
  ++version_;
}

void LeafView::Retire(const std::string& leaf) {
  retired_.insert(leaf);
  MarkLeaving(leaf);
}

void LeafView::OnSourceLost(Timestamp now, const std::string& source) {
  const auto it = sources_.find(source);
  if (it != sources_.end() && !it->second.lost) {
    it->second.lost = true;
    it->second.lost_at = now;
    // A control machine that restarts counts anew.
    it->second.version = 0;
  }
}

void LeafView::SetCommitted(Timestamp now,
                            const std::map<std::string, config::ReportedLeaf>& reported,
                            const std::set<std::string>& retired) {
  if (retired != retired_) {
    retired_ = retired;
    for (const std::string& leaf : retired_) {
      MarkLeaving(leaf);
    }
    Changed(now);
  }
  if (reported != reported_) {
    reported_ = reported;
    Changed(now);
  }
}

void LeafView::Tick(Timestamp now) {
  std::erase_if(cold_until_, [now](const auto& item) { return now >= item.second; });
  if (stale_) {
    Changed(now);
  }
  const bool any_live = std::any_of(sources_.begin(), sources_.end(),
                                    [](const auto& item) { return !item.second.lost; });
  if (!any_live) {
    return;
  }
  size_t forgotten = 0;
  for (auto& [name, source] : sources_) {
    const bool over = !source.unconfirmed.empty() && now >= source.unconfirmed_until;
    if (over && !source.lost) {
      source.unconfirmed.clear();
      ++forgotten;
    }
  }
  forgotten += std::erase_if(sources_, [&](const auto& item) {
    return item.second.lost && now - item.second.lost_at >= options_.lost_source_patience;
  });
  if (forgotten > 0) {
    Changed(now);
  }
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

std::map<std::string, wire::LeafRecord> LeafView::TakenTogether() const {
  std::map<std::string, wire::LeafRecord> leafs;
  for (const auto& [id, leaf] : reported_) {
    leafs[id] = {id, leaf.service, leaf.address, leaf.zone, leaf.slots, retired_.contains(id), 0};
  }
  for (const auto& [name, source] : sources_) {
    for (const auto* records : {&source.records, &source.unconfirmed}) {
      for (const auto& [leaf, record] : *records) {
        const auto [it, inserted] = leafs.emplace(leaf, record);
        // The most pessimistic word wins: draining is never taken back.
        it->second.draining |= record.draining || retired_.contains(leaf);
      }
    }
  }
  DropReplaced(&leafs);
  return leafs;
}

bool LeafView::IsReported(const std::string& leaf) const {
  return std::any_of(sources_.begin(), sources_.end(), [&leaf](const auto& item) {
    return item.second.records.contains(leaf) || item.second.unconfirmed.contains(leaf);
  });
}

void LeafView::DropReplaced(std::map<std::string, wire::LeafRecord>* leafs) const {
  std::set<std::string> only_committed;
  for (const auto& [leaf, reported] : reported_) {
    if (!IsReported(leaf)) {
      only_committed.insert(leaf);
    }
  }
  if (only_committed.empty() || only_committed.size() == leafs->size()) {
    return;
  }
  std::set<std::string_view> taken;
  for (const auto& [leaf, record] : *leafs) {
    if (!only_committed.contains(leaf)) {
      taken.insert(record.address);
    }
  }
  std::erase_if(*leafs, [&](const auto& item) {
    return only_committed.contains(item.first) && taken.contains(item.second.address);
  });
}

void LeafView::Rebuild() {
  stale_ = false;
  std::map<std::string, wire::LeafRecord> leafs = TakenTogether();
  if (leafs == leafs_) {
    // Known leafs report anew after control has restarted: there is nothing to do for users of
    // this.
    return;
  }
  leafs_ = std::move(leafs);
  SortByService();
}

void LeafView::SortByService() {
  by_service_.clear();
  for (const auto& [leaf, record] : leafs_) {
    if (!IsClosed(record)) {
      by_service_[record.service].push_back(leaf);
    }
  }
  ++version_;
  ++merges_;
}

}  // namespace pumicedyke::gateway
