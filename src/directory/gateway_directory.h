// The gateways that clients may be sent to, as one control machine hears of them. Soft state fed by
// the gateways' own heartbeats. No clock.
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
  /// A gateway that was not heard of for this long is no longer named.
  Duration silence_limit = Milliseconds(1800);
  /// Addresses in one answer.
  size_t max_addresses = kMostAddresses;
  /// Where the gateways' zones lie.
  RegionMap regions = {};
  /// Removals remembered for gateways that are a little behind; others get everything.
  size_t kept_removals = 1000;
};

class GatewayDirectory {
 public:
  explicit GatewayDirectory(DirectoryOptions options) : options_(options) {}

  /// @return whether the set of gateways that clients may use changed.
  bool OnPresence(Timestamp now, const wire::GatewayPresence& presence);
  /// The gateway's connection ended. A later life of it, heard meanwhile, stays.
  /// @return whether the set of gateways that clients may use changed.
  bool OnLost(const std::string& node, uint64_t incarnation);

  /// Addresses for a client, best first (near_first.h).
  std::vector<std::string> AddressesFor(Timestamp now, const ClientPlace& client) const;
  /// Gateways that are there, serving or not.
  size_t size() const { return gateways_.size(); }
  /// Drops gateways that have been silent for too long.
  void DropSilent(Timestamp now);

  /// Counts changes among the gateways that serve and that other gateways can reach.
  uint64_t version() const { return version_; }
  /// What changed among them since `version`; everything if that is zero or too long ago.
  wire::GatewayFeed ChangesSince(uint64_t version) const;

 private:
  struct Entry {
    wire::GatewayPresence presence;
    Timestamp heard{};
    uint64_t changed = 0;
  };
  struct Removal {
    std::string node;
    uint64_t version = 0;
  };

  void NoteRemoval(const std::string& node);
  /// Counts a change of a gateway that others may turn to.
  void NoteChange(Entry* entry);
  void Forget(const Entry& entry) { by_change_.erase(entry.changed); }
  /// Whether other gateways may turn to it.
  bool Serves(const std::string& node) const;

  DirectoryOptions options_;
  std::map<std::string, Entry> gateways_;
  /// The gateways that serve or did, by the version of their last change: while a fleet starts, all
  /// of them ask ten times a second for the few that have come since.
  std::map<uint64_t, std::string> by_change_;
  std::deque<Removal> removals_;
  /// Version of the newest removal that was forgotten.
  uint64_t forgotten_ = 0;
  uint64_t version_ = 1;
};

}  // namespace pumicedyke::directory
