#include "gateway/peer_view.h"

#include <algorithm>

namespace pumicedyke::gateway {

bool PeerView::OnFeed(const std::string& source, const wire::GatewayFeed& feed) {
  const bool full = feed.from_version == 0;
  const bool follows = source == source_ && version_ != 0 && feed.from_version <= version_;
  if (!full && !follows) {
    if (source == source_) {
      version_ = 0;
    }
    return false;
  }
  if (full) {
    peers_.clear();
    by_zone_.clear();
    source_ = source;
  }
  version_ = feed.version;
  for (const wire::GatewayRecord& record : feed.peers) {
    Remove(record.node);
    Add(record);
  }
  for (const std::string& node : feed.removed) {
    Remove(node);
  }
  if (full || !feed.peers.empty() || !feed.removed.empty()) {
    ++changes_;
  }
  return true;
}

void PeerView::OnSourceLost(const std::string& source) {
  if (source == source_) {
    version_ = 0;
  }
}

uint64_t PeerView::VersionOf(const std::string& source) const {
  return source == source_ ? version_ : 0;
}

const std::vector<std::string>& PeerView::InZone(const std::string& zone) const {
  static const auto* const none = new std::vector<std::string>();
  const auto it = by_zone_.find(zone);
  return it == by_zone_.end() ? *none : it->second;
}

std::vector<std::string> PeerView::AddressesFor(const directory::ClientLocation& client,
                                                const RegionMap& regions) const {
  std::vector<directory::GatewayLocation> places;
  for (const auto& [node, peer] : peers_) {
    if (!peer.address.empty()) {
      places.push_back({peer.address, peer.zone, regions.Of(peer.zone)});
    }
  }
  return directory::NearFirst(places, client);
}

std::vector<std::string> PeerView::Names() const {
  std::vector<std::string> names;
  names.reserve(peers_.size());
  for (const auto& [node, peer] : peers_) {
    names.push_back(node);
  }
  return names;
}

const wire::GatewayRecord* PeerView::Find(const std::string& node) const {
  const auto it = peers_.find(node);
  return it == peers_.end() ? nullptr : &it->second;
}

void PeerView::Add(const wire::GatewayRecord& record) {
  peers_[record.node] = record;
  std::vector<std::string>& nodes = by_zone_[record.zone];
  nodes.insert(std::lower_bound(nodes.begin(), nodes.end(), record.node), record.node);
}

void PeerView::Remove(const std::string& node) {
  const auto known = peers_.find(node);
  if (known == peers_.end()) {
    return;
  }
  std::erase(by_zone_[known->second.zone], node);
  peers_.erase(known);
}

}  // namespace pumicedyke::gateway
