// The gateways that clients may be sent to, as one control machine hears of them. Soft state fed by
// the gateways' own heartbeats. No clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/types.h"
#include "wire/messages.h"

namespace pumicedyke::directory {

struct DirectoryOptions {
  /// A gateway that was not heard of for this long is no longer named.
  Duration silence_limit = Milliseconds(1800);
  /// Addresses in one answer.
  size_t max_addresses = 64;
};

class GatewayDirectory {
 public:
  explicit GatewayDirectory(DirectoryOptions options) : options_(options) {}

  /// @return whether the set of gateways that clients may use changed.
  bool OnPresence(Timestamp now, const wire::GatewayPresence& presence);
  /// The gateway's connection ended. A later life of it, heard meanwhile, stays.
  /// @return whether the set of gateways that clients may use changed.
  bool OnLost(const std::string& node, uint64_t incarnation);

  /// Addresses for a client in `zone`: gateways of its zone first, then the others.
  std::vector<std::string> AddressesFor(Timestamp now, const std::string& zone) const;
  /// Gateways that are there, serving or not.
  size_t size() const { return gateways_.size(); }
  /// Drops gateways that have been silent for too long.
  void DropSilent(Timestamp now);

 private:
  struct Entry {
    wire::GatewayPresence presence;
    Timestamp heard{};
  };
  DirectoryOptions options_;
  std::map<std::string, Entry> gateways_;
};

}  // namespace pumicedyke::directory
