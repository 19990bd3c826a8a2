// Keeps the pool of leafs that a gateway sends to in step with the leafs that it knows of, and
// chooses among them those that it works with as a rule. Work grows with what changes: a gateway of
// a fleet knows thousands of leafs and hears of changes all the time. No clock.
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

/// What is known of the services and of those that share them.
struct PoolSetting {
  /// Null: none yet.
  const routing::RouteTable* table = nullptr;
  /// Gateways that share each leaf's connections, 1 or more.
  uint32_t gateways = 1;

  uint64_t document_version() const { return table == nullptr ? 0 : table->version(); }
};

/// Lives on the event loop's thread.
class PoolKeeper {
 public:
  /// @param node, zone the gateway's own; @param pool outlives this object.
  PoolKeeper(std::string node, std::string zone, balance::LeafPool* pool)
      : node_(std::move(node)), zone_(std::move(zone)), pool_(pool) {}

  /// Takes over what has changed since the last call.
  /// @param changes as LeafView::TakeChanges() gave them.
  void Sync(Timestamp now, const LeafView& view, const std::vector<LeafChange>& changes,
            const PoolSetting& setting);

  /// Whether the gateway works with this leaf as a rule.
  bool IsPreferred(const std::string& service, const std::string& leaf) const;
  /// Leafs that were taken over or placed anew so far.
  uint64_t placements() const { return placements_; }

 private:
  /// How many gateways there are matters only for how many leafs of a service each prefers. While
  /// a fleet starts, that number changes with every message.
  static constexpr Duration kResizeInterval = Milliseconds(500);

  void Take(Timestamp now, const LeafView& view, const std::string& leaf);
  void Place(Timestamp now, const wire::LeafRecord& record, bool preferred);
  /// Chooses the preferred leafs of a service anew.
  void Rank(Timestamp now, const LeafView& view, const std::string& service,
            const PoolSetting& setting);
  /// Services of which as many leafs as before are not preferred any more.
  std::set<std::string> Resized(const LeafView& view, const PoolSetting& setting) const;
  static balance::ConnectionBound BoundOf(const std::string& service, const PoolSetting& setting);

  std::string node_;
  std::string zone_;
  balance::LeafPool* pool_;
  std::map<std::string, std::set<std::string>> preferred_;
  uint64_t document_version_ = 0;
  uint32_t gateways_ = 0;
  Timestamp resized_{};
  uint64_t placements_ = 0;
};

}  // namespace pumicedyke::gateway
