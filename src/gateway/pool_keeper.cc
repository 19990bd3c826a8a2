#include "gateway/pool_keeper.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pumicedyke::gateway {

balance::ConnectionBound PoolKeeper::BoundOf(const std::string& service,
                                             const PoolSetting& setting) {
  const routing::ServiceSpec* spec =
      setting.table == nullptr ? nullptr : setting.table->FindService(service);
  return {spec == nullptr ? 0 : spec->max_connections, setting.gateways};
}

bool PoolKeeper::IsPreferred(const std::string& service, const std::string& leaf) const {
  const auto it = preferred_.find(service);
  return it != preferred_.end() && it->second.contains(leaf);
}

void PoolKeeper::Sync(Timestamp now, const LeafView& view, const std::vector<LeafChange>& changes,
                      const PoolSetting& setting) {
  std::set<std::string> services;
  for (const LeafChange& change : changes) {
    if (change.new_life) {
      pool_->Remove(change.leaf);
    }
    Take(now, view, change.leaf);
    services.insert(change.service);
  }
  const bool revised = setting.document_version() != document_version_;
  const bool resized = setting.gateways != gateways_ && now - resized_ >= kResizeInterval;
  if (revised || resized) {
    services.merge(Resized(view, setting));
    document_version_ = setting.document_version();
    gateways_ = setting.gateways;
    resized_ = now;
  }
  for (const std::string& service : services) {
    Rank(now, view, service, setting);
  }
}

void PoolKeeper::Take(Timestamp now, const LeafView& view, const std::string& leaf) {
  const auto known = view.leafs().find(leaf);
  if (known == view.leafs().end()) {
    pool_->Remove(leaf);
    pool_->SetLeafLeavingOnPlatform(leaf, false);
    return;
  }
  Place(now, known->second, /*preferred=*/false);
  pool_->SetLeafLeavingOnPlatform(leaf, view.IsClosed(known->second));
}

void PoolKeeper::Place(Timestamp now, const wire::LeafRecord& record, bool preferred) {
  const balance::LeafPlacement placement{record.zone != zone_, preferred};
  pool_->Configure(now, record.leaf, std::max(1U, record.slots), placement);
  ++placements_;
}

void PoolKeeper::Rank(Timestamp now, const LeafView& view, const std::string& service,
                      const PoolSetting& setting) {
  std::vector<balance::SubsetCandidate> candidates;
  for (const std::string& leaf : view.UsableLeafs(service)) {
    candidates.push_back({leaf, view.leafs().at(leaf).zone != zone_});
  }
  if (candidates.empty()) {
    preferred_.erase(service);
    return;
  }
  std::set<std::string>& preferred = preferred_[service];
  preferred = balance::PreferredLeafs(node_, candidates, BoundOf(service, setting));
  for (const balance::SubsetCandidate& candidate : candidates) {
    Place(now, view.leafs().at(candidate.leaf), preferred.contains(candidate.leaf));
  }
}

std::set<std::string> PoolKeeper::Resized(const LeafView& view, const PoolSetting& setting) const {
  std::set<std::string> services;
  for (const auto& [service, leafs] : view.usable()) {
    const auto known = preferred_.find(service);
    const size_t size = known == preferred_.end() ? 0 : known->second.size();
    if (size != balance::SubsetSize(leafs.size(), BoundOf(service, setting))) {
      services.insert(service);
    }
  }
  return services;
}

}  // namespace pumicedyke::gateway
