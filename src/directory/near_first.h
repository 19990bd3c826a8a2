// In which order a client is told of gateways. Free function; no state, safe on any thread.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pumicedyke::directory {

/// A gateway that clients may be sent to.
struct GatewayPlace {
  std::string address;
  std::string zone;
  std::string region;
};

/// Where a client is; empty: it did not say.
struct ClientPlace {
  std::string zone;
  std::string region;
};

/// Addresses in one answer: as many as clients read.
inline constexpr size_t kMostAddresses = 64;

/// Up to `most` addresses for a client: gateways of its zone first, then those of its region.
/// Others are named only if there are none of these: some requests must not leave their regions.
std::vector<std::string> NearFirst(const std::vector<GatewayPlace>& gateways,
                                   const ClientPlace& client, size_t most = kMostAddresses);

}  // namespace pumicedyke::directory
