// Where a request may go, by the word of its route and of its tenant. Safe on any thread.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "routing/route_table.h"
#include "tenants/tenant.h"

namespace pumicedyke::routing {

/// Regions that a request must not leave: both words bind.
/// @param tenant null: it is nobody's request.
/// @return empty: it may go anywhere. Unset: route and tenant have no region in common, no leaf may
/// get it.
std::optional<std::set<std::string>> HomesOf(const Route& route, const tenants::Tenant* tenant);

}  // namespace pumicedyke::routing
