#include "directory/near_first.h"

namespace pumicedyke::directory {
namespace {

enum class Distance { kSameZone, kSameRegion, kElsewhere };

Distance DistanceOf(const GatewayLocation& gateway, const ClientLocation& client) {
  if (gateway.zone == client.zone) {
    return Distance::kSameZone;
  }
  return gateway.region == client.region ? Distance::kSameRegion : Distance::kElsewhere;
}

}  // namespace

std::vector<std::string> NearFirst(const std::vector<GatewayLocation>& gateways,
                                   const ClientLocation& client, size_t max_addresses) {
  std::vector<std::string> addresses;
  for (const Distance distance :
       {Distance::kSameZone, Distance::kSameRegion, Distance::kElsewhere}) {
    if (distance == Distance::kElsewhere && !addresses.empty()) {
      break;
    }
    for (const GatewayLocation& gateway : gateways) {
      if (DistanceOf(gateway, client) == distance && addresses.size() < max_addresses) {
        addresses.push_back(gateway.address);
      }
    }
  }
  return addresses;
}

}  // namespace pumicedyke::directory
