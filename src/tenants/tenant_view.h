// What operators are shown of tenants: everything but their keys. Safe on any thread.
#pragma once

#include <vector>

#include "common/json.h"
#include "tenants/tenant.h"

namespace pumicedyke::tenants {

/// A list of tenants with their limits, priorities, regions and the number of their keys.
Json Describe(const std::vector<Tenant>& tenants);

}  // namespace pumicedyke::tenants
