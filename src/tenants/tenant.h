// A customer of the system: its API keys, its priority and its limit. Plain data.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"

namespace pumicedyke::tenants {

struct Tenant {
  std::string name;
  /// Whoever sends one of these is the tenant. May be empty: nobody is.
  std::vector<std::string> api_keys;
  /// Goes before the priority of the route, if it is set. Zero is the most urgent.
  std::optional<int> priority;
  /// Requests a second over all gateways together; zero: no limit.
  double requests_per_second = 0;
  /// Requests beyond that rate that may come at once.
  double burst = 0;
  /// Regions that the tenant's requests must not leave, besides those of the route; empty: any.
  std::set<std::string> homes;

  bool limited() const { return requests_per_second > 0; }
  bool operator==(const Tenant&) const = default;
};

/// Whether the tenants make sense together: names and keys are there and stand once, no figure is
/// negative.
/// @return kInvalidConfig naming the tenant and the field, never a key.
absl::Status Validate(const std::vector<Tenant>& tenants);

}  // namespace pumicedyke::tenants
