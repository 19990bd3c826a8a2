#include "directory/gateway_directory.h"

namespace pumicedyke::directory {

bool GatewayDirectory::OnPresence(Timestamp now, const wire::GatewayPresence& presence) {
  Entry& entry = gateways_[presence.node];
  const bool changed =
      entry.presence.serving != presence.serving || entry.presence.address != presence.address;
  entry.presence = presence;
  entry.heard = now;
  return changed;
}

bool GatewayDirectory::OnLost(const std::string& node, uint64_t incarnation) {
  const auto it = gateways_.find(node);
  if (it == gateways_.end() || it->second.presence.incarnation != incarnation) {
    return false;
  }
  const bool was_serving = it->second.presence.serving;
  gateways_.erase(it);
  return was_serving;
}

void GatewayDirectory::DropSilent(Timestamp now) {
  std::erase_if(gateways_, [&](const auto& item) {
    return now - item.second.heard >= options_.silence_limit;
  });
}

std::vector<std::string> GatewayDirectory::AddressesFor(Timestamp now,
                                                        const std::string& zone) const {
  std::vector<std::string> addresses;
  const auto add = [&](bool same_zone) {
    for (const auto& [node, entry] : gateways_) {
      const bool usable = entry.presence.serving && now - entry.heard < options_.silence_limit &&
                          (entry.presence.zone == zone) == same_zone &&
                          addresses.size() < options_.max_addresses;
      if (usable) {
        addresses.push_back(entry.presence.address);
      }
    }
  };
  add(true);
  add(false);
  return addresses;
}

}  // namespace pumicedyke::directory
