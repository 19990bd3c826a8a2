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
  /// Keys that identify the tenant's requests. May be empty.
  std::vector<std::string> api_keys;
  /// Overrides the priority of the route if set. Zero is the most urgent.
  std::optional<int> priority;
  /// Requests per second over all gateways together; zero means no limit.
  double requests_per_second = 0;
  /// Number of requests above that rate that are allowed in a burst.
  double burst = 0;
  /// Allowed regions of the tenant's requests, in addition to the restriction of the route; empty
  /// means any.
  std::set<std::string> allowed_regions;

  bool limited() const { return requests_per_second > 0; }
  bool operator==(const Tenant&) const = default;
};

enum class TenantField { kName, kKeys, kRequestsPerSecond, kBurst };

/// Returns the field's name in the product's own configuration. Platforms use other names.
std::string_view FieldName(TenantField field);

/// A problem of a tenant. Never contains a key.
struct TenantProblem {
  std::string tenant;
  TenantField field = TenantField::kName;
  std::string reason;
};

/// Checks a list of tenants: names are present, unique and valid in an HTTP header; no key is empty
/// or belongs to two tenants; no number is negative.
/// @return the first problem, if any.
std::optional<TenantProblem> FindProblem(const std::vector<Tenant>& tenants);

/// Checks a list of tenants as FindProblem() does.
/// @return kInvalidConfig naming the tenant and the field, never a key.
absl::Status Validate(const std::vector<Tenant>& tenants);

/// Returns the status for a problem. @param field the field's name for the reader of the message.
absl::Status InvalidTenant(const TenantProblem& problem, std::string_view field);

}  // namespace pumicedyke::tenants
