// The other gateways that serve, by word of one control machine at a time. No clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/region_map.h"
#include "directory/near_first.h"
#include "wire/messages.h"

namespace pumicedyke::gateway {

/// Lives on the event loop's thread.
class PeerView {
 public:
  /// Takes over the word of `source`. A first full list from another source replaces what is known.
  /// @return false if changes in between were missed: ask with version 0 to get everything.
  bool OnFeed(const std::string& source, const wire::GatewayFeed& feed);
  /// The control machine cannot be reached: it may count anew. What is known stays.
  void OnSourceLost(const std::string& source);

  /// Version of the list of `source` that is held here; zero: none.
  uint64_t VersionOf(const std::string& source) const;
  /// Names of the gateways of a zone, in order.
  const std::vector<std::string>& InZone(const std::string& zone) const;
  /// @return null if it is not known.
  const wire::GatewayRecord* Find(const std::string& node) const;
  /// Addresses for a client, best first; empty: no gateway is known.
  std::vector<std::string> AddressesFor(const directory::ClientPlace& client,
                                        const RegionMap& regions) const;
  /// Names of all gateways, in order.
  std::vector<std::string> Names() const;
  size_t size() const { return peers_.size(); }
  /// Counts changes.
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
