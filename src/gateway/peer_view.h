// The other serving gateways, as reported by one control machine at a time. Has no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/region_map.h"
#include "directory/near_first.h"
#include "wire/messages.h"

namespace pumicedyke::gateway {

/// Confined to the event loop's thread.
class PeerView {
 public:
  /// Applies an update from `source`. A full list from a different source replaces the current one.
  /// @return false if updates were missed; the caller must then request the full list with version
  /// 0.
  bool OnFeed(const std::string& source, const wire::GatewayFeed& feed);
  /// Marks the control machine as unreachable. It may restart with version 1, so the next update
  /// must be a full list; the current list is retained.
  void OnSourceLost(const std::string& source);

  /// Returns the version held of the list of `source`; zero: none.
  uint64_t VersionOf(const std::string& source) const;
  /// Returns the names of the gateways of a zone, sorted.
  const std::vector<std::string>& InZone(const std::string& zone) const;
  /// @return null if the gateway is unknown.
  const wire::GatewayRecord* Find(const std::string& node) const;
  /// Returns the addresses for a client, best first; empty if no gateway is known.
  std::vector<std::string> AddressesFor(const directory::ClientLocation& client,
                                        const RegionMap& regions) const;
  /// Returns the names of all gateways, sorted.
  std::vector<std::string> Names() const;
  size_t size() const { return peers_.size(); }
  /// Number of changes so far.
  uint64_t changes() const { return changes_; }

 private:
  void Add(const wire::GatewayRecord& record);
  void Remove(const std::string& node);

  std::string source_;
  uint64_t version_ = 0;
  std::map<std::string, wire::GatewayRecord> peers_;
  std::map<std::string, std::vector<std::string>> by_zone_;
  uint64_t changes_ = 0;
};

}  // namespace pumicedyke::gateway
