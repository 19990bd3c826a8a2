#include "gateway/peer_view.h"

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
    source_ = source;
  }
  version_ = feed.version;
  for (const wire::GatewayRecord& record : feed.peers) {
    peers_[record.node] = record;
  }
  for (const std::string& node : feed.gone) {
    peers_.erase(node);
  }
  Rebuild();
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

std::vector<std::string> PeerView::AddressesFor(const directory::ClientPlace& client,
                                                const RegionMap& regions) const {
  std::vector<directory::GatewayPlace> places;
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

void PeerView::Rebuild() {
  by_zone_.clear();
  for (const auto& [node, record] : peers_) {
    by_zone_[record.zone].push_back(node);
  }
  ++changes_;
}

}  // namespace pumicedyke::gateway
