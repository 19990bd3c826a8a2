// Orders gateways by their distance to a client. Free function without state; safe on any thread.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pumicedyke::directory {

/// A gateway that clients may use.
struct GatewayLocation {
  std::string address;
  std::string zone;
  std::string region;
};

/// The location of a client; empty if unknown.
struct ClientLocation {
  std::string zone;
  std::string region;
};

/// Maximum number of addresses in one answer; clients read no more.
inline constexpr size_t kMaxAddresses = 64;

/// Returns up to `max_addresses` addresses for a client: gateways of its zone first, then those of
/// its region. Other gateways are listed only if there are none of these, because some requests
/// must not leave their regions.
std::vector<std::string> NearFirst(const std::vector<GatewayLocation>& gateways,
                                   const ClientLocation& client,
                                   size_t max_addresses = kMaxAddresses);

}  // namespace pumicedyke::directory
