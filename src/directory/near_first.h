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
};

/// Addresses in one answer: as many as clients read.
inline constexpr size_t kMostAddresses = 64;

/// Up to `most` addresses for a client in `zone`: gateways of its zone first, then the others.
std::vector<std::string> NearFirst(const std::vector<GatewayPlace>& gateways,
                                   const std::string& zone, size_t most = kMostAddresses);

}  // namespace pumicedyke::directory
