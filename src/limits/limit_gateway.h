// A gateway that may keep accounts of tenants. Plain data.
#pragma once

#include <string>

namespace pumicedyke::limits {

struct LimitGateway {
  std::string node;
  /// Where other gateways reach it.
  std::string address;
  std::string zone;
  bool operator==(const LimitGateway&) const = default;
};

}  // namespace pumicedyke::limits
