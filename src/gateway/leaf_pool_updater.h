// Keeps a gateway's leaf pool in sync with its leaf view, and selects the preferred leafs of each
// service. The work is proportional to what changes, because a gateway of a fleet knows thousands
// of leafs and constantly receives updates. Has no clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "balance/connection_subset.h"
#include "balance/leaf_pool.h"
#include "common/types.h"
#include "gateway/leaf_view.h"
#include "routing/route_table.h"

namespace pumicedyke::gateway {

/// Routes and number of gateways that the pool depends on.
struct PoolContext {
  /// Null: none yet.
  const routing::RouteTable* table = nullptr;
  /// Number of gateways that share each leaf's connections; at least 1.
  uint32_t gateways = 1;

  uint64_t document_version() const { return table == nullptr ? 0 : table->version(); }
};

/// Confined to the event loop's thread.
class LeafPoolUpdater {
 public:
  /// @param node, zone of this gateway.
  /// @param pool must outlive this object.
  LeafPoolUpdater(std::string node, std::string zone, balance::LeafPool* pool)
      : node_(std::move(node)), zone_(std::move(zone)), pool_(pool) {}

  /// Applies the changes since the last call.
  /// @param changes as returned by LeafView::TakeChanges().
  void Sync(Timestamp now, const LeafView& view, const std::vector<LeafChange>& changes,
            const PoolContext& context);

  /// Returns whether the leaf is a preferred one of this gateway.
  bool IsPreferred(const std::string& service, const std::string& leaf) const;
  /// Number of leafs configured in the pool so far.
  uint64_t placements() const { return placements_; }

 private:
  /// Minimum time between two adaptations to the number of gateways. It only affects how many leafs
  /// of a service each gateway prefers, and changes with every message while a fleet starts.
  static constexpr Duration kResizeInterval = Milliseconds(500);

  void UpdateLeaf(Timestamp now, const LeafView& view, const std::string& leaf);
  void ConfigureLeaf(Timestamp now, const wire::LeafRecord& record, bool preferred);
  /// Selects the preferred leafs of a service again.
  void SelectPreferred(Timestamp now, const LeafView& view, const std::string& service,
                       const PoolContext& context);
  /// Returns the services whose number of preferred leafs has to change.
  std::set<std::string> ServicesToResize(const LeafView& view, const PoolContext& context) const;
  static balance::ConnectionBound BoundOf(const std::string& service, const PoolContext& context);

  std::string node_;
  std::string zone_;
  balance::LeafPool* pool_;
  std::map<std::string, std::set<std::string>> preferred_;
  uint64_t document_version_ = 0;
  uint32_t gateways_ = 0;
  Timestamp subsets_resized_at_{};
  uint64_t placements_ = 0;
};

}  // namespace pumicedyke::gateway
