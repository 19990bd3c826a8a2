#include "gateway/leaf_pool_updater.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pumicedyke::gateway {

balance::ConnectionBound LeafPoolUpdater::BoundOf(const std::string& service,
                                                  const PoolContext& context) {
  const routing::ServiceSpec* spec =
      context.table == nullptr ? nullptr : context.table->FindService(service);
  return {spec == nullptr ? 0 : spec->max_connections, context.gateways};
}

bool LeafPoolUpdater::IsPreferred(const std::string& service, const std::string& leaf) const {
  const auto it = preferred_.find(service);
  return it != preferred_.end() && it->second.contains(leaf);
}

void LeafPoolUpdater::Sync(Timestamp now, const LeafView& view,
                           const std::vector<LeafChange>& changes, const PoolContext& context) {
  std::set<std::string> services;
  for (const LeafChange& change : changes) {
    if (change.restarted) {
      pool_->Remove(change.leaf);
    }
    UpdateLeaf(now, view, change.leaf);
    services.insert(change.service);
  }
  const bool revised = context.document_version() != document_version_;
  const bool resized =
      context.gateways != gateways_ && now - subsets_resized_at_ >= kResizeInterval;
  if (revised || resized) {
    services.merge(ServicesToResize(view, context));
    document_version_ = context.document_version();
    gateways_ = context.gateways;
    subsets_resized_at_ = now;
  }
  for (const std::string& service : services) {
    SelectPreferred(now, view, service, context);
  }
}

void LeafPoolUpdater::UpdateLeaf(Timestamp now, const LeafView& view, const std::string& leaf) {
  const auto known = view.leafs().find(leaf);
  if (known == view.leafs().end()) {
    pool_->Remove(leaf);
    pool_->SetLeafLeavingOnPlatform(leaf, false);
    return;
  }
  ConfigureLeaf(now, known->second, /*preferred=*/false);
  pool_->SetLeafLeavingOnPlatform(leaf, view.IsClosed(known->second));
}

void LeafPoolUpdater::ConfigureLeaf(Timestamp now, const wire::LeafRecord& record, bool preferred) {
  const balance::LeafPlacement placement{record.zone != zone_, preferred};
  pool_->Configure(now, record.leaf, std::max(1U, record.slots), placement);
  ++placements_;
}

void LeafPoolUpdater::SelectPreferred(Timestamp now, const LeafView& view,
                                      const std::string& service, const PoolContext& context) {
  std::vector<balance::SubsetCandidate> candidates;
  for (const std::string& leaf : view.UsableLeafs(service)) {
    candidates.push_back({leaf, view.leafs().at(leaf).zone != zone_});
  }
  if (candidates.empty()) {
    preferred_.erase(service);
    return;
  }
  std::set<std::string>& preferred = preferred_[service];
  preferred = balance::PreferredLeafs(node_, candidates, BoundOf(service, context));
  for (const balance::SubsetCandidate& candidate : candidates) {
    ConfigureLeaf(now, view.leafs().at(candidate.leaf), preferred.contains(candidate.leaf));
  }
}

std::set<std::string> LeafPoolUpdater::ServicesToResize(const LeafView& view,
                                                        const PoolContext& context) const {
  std::set<std::string> services;
  for (const auto& [service, leafs] : view.usable()) {
    const auto known = preferred_.find(service);
    const size_t size = known == preferred_.end() ? 0 : known->second.size();
    if (size != balance::SubsetSize(leafs.size(), BoundOf(service, context))) {
      services.insert(service);
    }
  }
  return services;
}

}  // namespace pumicedyke::gateway
