// The list of tenants as operators write it and as it is kept. Safe on any thread.
#pragma once

#include <optional>
#include <vector>

#include "absl/status/status.h"
#include "common/json.h"
#include "tenants/tenant.h"

namespace pumicedyke::config {

/// Reads the field "tenants": a list of objects with "name", "keys" and, if wanted, "priority" (0
/// to 9, the most urgent, as policy programs have it); null: nobody needs a key.
/// @return kInvalidConfig naming tenant and field, never a key.
absl::Status ReadTenants(const Json& json, std::optional<std::vector<tenants::Tenant>>* tenants);

/// The same list, keys included: for the log and the feed, never for people.
Json TenantsJson(const std::optional<std::vector<tenants::Tenant>>& tenants);

}  // namespace pumicedyke::config
