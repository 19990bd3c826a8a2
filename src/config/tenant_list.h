// Reads and writes the list of tenants, both as operators submit it and as it is stored. Safe on
// any thread.
#pragma once

#include <optional>
#include <vector>

#include "absl/status/status.h"
#include "common/json.h"
#include "tenants/tenant.h"

namespace pumicedyke::config {

/// Reads the field "tenants": a list of objects with "name", "keys" and an optional "priority" (0
/// to 9, the most urgent, as in policy programs). Null: callers need no key.
/// @return kInvalidConfig naming tenant and field, never a key.
absl::Status ReadTenants(const Json& json, std::optional<std::vector<tenants::Tenant>>* tenants);

/// Writes the list, including the keys. For the control log and the configuration feed only, never
/// for output that people read.
Json TenantsJson(const std::optional<std::vector<tenants::Tenant>>& tenants);

}  // namespace pumicedyke::config
