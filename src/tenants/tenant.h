// A customer of the system: its API keys, its priority and its limit. Plain data.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
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

enum class TenantField { kName, kKeys, kRequestsPerSecond, kBurst };

/// The field's name in the product's own configuration. A platform has names of its own.
std::string_view FieldName(TenantField field);

/// What is wrong with a tenant. Holds no key.
struct TenantProblem {
  std::string tenant;
  TenantField field = TenantField::kName;
  std::string why;
};

/// Whether the tenants make sense together: names are there, stand once and can be sent as a header
/// of HTTP; no key is empty or of two tenants; no figure is negative.
/// @return the first problem; unset: there is none.
std::optional<TenantProblem> FindProblem(const std::vector<Tenant>& tenants);

/// As FindProblem().
/// @return kInvalidConfig naming the tenant and the field, never a key.
absl::Status Validate(const std::vector<Tenant>& tenants);

/// The status that says so. @param field as the reader of the message knows it.
absl::Status InvalidTenant(const TenantProblem& problem, std::string_view field);

}  // namespace pumicedyke::tenants
