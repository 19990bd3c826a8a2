// The operators' view of tenants, without their keys. Safe on any thread.
#pragma once

#include <vector>

#include "common/json.h"
#include "tenants/tenant.h"

namespace pumicedyke::tenants {

/// Returns the tenants with their limits, priorities, regions and number of keys.
Json Describe(const std::vector<Tenant>& tenants);

}  // namespace pumicedyke::tenants
