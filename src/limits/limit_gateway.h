// A gateway that may lend from accounts of tenants. Plain data.
#pragma once

#include <string>

namespace pumicedyke::limits {

struct LimitGateway {
  std::string node;
  /// Address for other gateways.
  std::string address;
  std::string zone;
  bool operator==(const LimitGateway&) const = default;
};

}  // namespace pumicedyke::limits
