// The allowed regions of a request, from its route and its tenant. Safe on any thread.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "routing/route_table.h"
#include "tenants/tenant.h"

namespace pumicedyke::routing {

/// Returns the allowed regions of a request: the restrictions of route and tenant both apply.
/// @param tenant null if the request has no tenant.
/// @return empty if any region is allowed; unset if route and tenant have no region in common, so
/// that no leaf may get the request.
std::optional<std::set<std::string>> AllowedRegionsOf(const Route& route,
                                                      const tenants::Tenant* tenant);

}  // namespace pumicedyke::routing
