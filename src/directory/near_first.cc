#include "directory/near_first.h"

namespace pumicedyke::directory {

std::vector<std::string> NearFirst(const std::vector<GatewayPlace>& gateways,
                                   const std::string& zone, size_t most) {
  std::vector<std::string> addresses;
  for (const bool same_zone : {true, false}) {
    for (const GatewayPlace& gateway : gateways) {
      if ((gateway.zone == zone) == same_zone && addresses.size() < most) {
        addresses.push_back(gateway.address);
      }
    }
  }
  return addresses;
}

}  // namespace pumicedyke::directory
