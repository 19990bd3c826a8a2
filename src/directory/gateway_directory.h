// One control machine's view of the gateways that clients may use. This is soft state, built from
// the gateways' heartbeats. Does not read a clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "common/region_map.h"
#include "common/types.h"
#include "directory/near_first.h"
#include "wire/messages.h"

namespace pumicedyke::directory {

struct DirectoryOptions {
  /// A gateway without a heartbeat for this long is no longer listed.
  Duration silence_limit = Milliseconds(1800);
  /// Maximum number of addresses in one answer.
  size_t max_addresses = kMaxAddresses;
  /// Regions of the gateways' zones.
  RegionMap regions = {};
  /// Number of removals retained for incremental updates; gateways further behind get all records.
  size_t retained_removals = 1000;
};

class GatewayDirectory {
 public:
  explicit GatewayDirectory(DirectoryOptions options) : options_(options) {}

  /// Handles a heartbeat. @return whether the set of gateways that clients may use changed.
  bool OnPresence(Timestamp now, const wire::GatewayPresence& presence);
  /// Removes a gateway whose connection closed, unless a later incarnation has reported since.
  /// @return whether the set of gateways that clients may use changed.
  bool OnLost(const std::string& node, uint64_t incarnation);

  /// Returns addresses for a client, the best first (near_first.h).
  std::vector<std::string> AddressesFor(Timestamp now, const ClientLocation& client) const;
  /// Number of known gateways, serving or not.
  size_t size() const { return gateways_.size(); }
  /// Whether any gateway has told that it has sent a request to a leaf.
  bool used() const { return used_; }
  /// Drops gateways that have been silent for `silence_limit`.
  void DropSilent(Timestamp now);

  /// Rises with each change of the gateways that serve and that other gateways can reach.
  uint64_t version() const { return version_; }
  /// Returns the changes of these gateways since `version`, or all of them if that is zero or too
  /// old.
  wire::GatewayFeed ChangesSince(uint64_t version) const;

 private:
  struct Entry {
    wire::GatewayPresence presence;
    Timestamp last_heartbeat{};
    uint64_t changed = 0;
  };
  struct Removal {
    std::string node;
    uint64_t version = 0;
  };

  void RecordRemoval(const std::string& node);
  /// Gives a gateway that others may connect to a new version.
  void RecordChange(Entry* entry);
  void EraseChange(const Entry& entry) { by_change_.erase(entry.changed); }
  /// Whether other gateways may connect to it.
  bool IsReachablePeer(const std::string& node) const;

  DirectoryOptions options_;
  std::map<std::string, Entry> gateways_;
  /// The gateways that serve or served, by the version of their last change. While a fleet starts,
  /// all gateways poll ten times a second for the few that were added since.
  std::map<uint64_t, std::string> by_change_;
  std::deque<Removal> removals_;
  /// Version of the newest removal that is no longer retained.
  uint64_t discarded_version_ = 0;
  uint64_t version_ = 1;
  bool used_ = false;
};

}  // namespace pumicedyke::directory
