#include "directory/gateway_directory.h"

#include <optional>
#include <utility>

namespace pumicedyke::directory {
namespace {

/// Returns the record for other gateways; unset if they must not connect to this gateway.
std::optional<wire::GatewayRecord> RecordOf(const wire::GatewayPresence& presence) {
  if (!presence.serving || presence.peer_address.empty()) {
    return std::nullopt;
  }
  return wire::GatewayRecord{presence.node, presence.zone, presence.peer_address, presence.address};
}

}  // namespace

bool GatewayDirectory::OnPresence(Timestamp now, const wire::GatewayPresence& presence) {
  Entry& entry = gateways_[presence.node];
  const bool changed =
      entry.presence.serving != presence.serving || entry.presence.address != presence.address;
  const std::optional<wire::GatewayRecord> before = RecordOf(entry.presence);
  const std::optional<wire::GatewayRecord> record = RecordOf(presence);
  entry.presence = presence;
  entry.last_heartbeat = now;
  used_ |= presence.used;
  if (record.has_value() && record != before) {
    RecordChange(&entry);
  } else if (before.has_value() && !record.has_value()) {
    RecordRemoval(presence.node);
  }
  return changed;
}

bool GatewayDirectory::OnLost(const std::string& node, uint64_t incarnation) {
  const auto it = gateways_.find(node);
  if (it == gateways_.end() || it->second.presence.incarnation != incarnation) {
    return false;
  }
  const bool was_serving = it->second.presence.serving;
  if (RecordOf(it->second.presence).has_value()) {
    RecordRemoval(node);
  }
  EraseChange(it->second);
  gateways_.erase(it);
  return was_serving;
}

void GatewayDirectory::DropSilent(Timestamp now) {
  std::erase_if(gateways_, [&](const auto& item) {
    const bool silent = now - item.second.last_heartbeat >= options_.silence_limit;
    if (silent && RecordOf(item.second.presence).has_value()) {
      RecordRemoval(item.first);
    }
    if (silent) {
      EraseChange(item.second);
    }
    return silent;
  });
}

void GatewayDirectory::RecordChange(Entry* entry) {
  by_change_.erase(entry->changed);
  entry->changed = ++version_;
  by_change_[entry->changed] = entry->presence.node;
}

void GatewayDirectory::RecordRemoval(const std::string& node) {
  removals_.push_back({node, ++version_});
  if (removals_.size() > options_.retained_removals) {
    discarded_version_ = removals_.front().version;
    removals_.pop_front();
  }
}

bool GatewayDirectory::IsReachablePeer(const std::string& node) const {
  const auto it = gateways_.find(node);
  return it != gateways_.end() && RecordOf(it->second.presence).has_value();
}

wire::GatewayFeed GatewayDirectory::ChangesSince(uint64_t version) const {
  const bool all = version == 0 || version < discarded_version_ || version > version_;
  wire::GatewayFeed feed;
  feed.from_version = all ? 0 : version;
  feed.version = version_;
  for (auto it = by_change_.upper_bound(all ? 0 : version); it != by_change_.end(); ++it) {
    const Entry& entry = gateways_.at(it->second);
    if (std::optional<wire::GatewayRecord> record = RecordOf(entry.presence)) {
      feed.peers.push_back(*std::move(record));
    }
  }
  for (auto it = removals_.rbegin(); !all && it != removals_.rend() && it->version > version;
       ++it) {
    if (!IsReachablePeer(it->node)) {
      feed.removed.push_back(it->node);
    }
  }
  return feed;
}

std::vector<std::string> GatewayDirectory::AddressesFor(Timestamp now,
                                                        const ClientLocation& client) const {
  std::vector<GatewayLocation> gateways;
  for (const auto& [node, entry] : gateways_) {
    if (entry.presence.serving && now - entry.last_heartbeat < options_.silence_limit) {
      const std::string& zone = entry.presence.zone;
      gateways.push_back({entry.presence.address, zone, options_.regions.Of(zone)});
    }
  }
  return NearFirst(gateways, client, options_.max_addresses);
}

}  // namespace pumicedyke::directory
