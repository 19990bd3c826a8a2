#include "routing/homes.h"

#include <algorithm>
#include <iterator>

namespace pumicedyke::routing {

std::optional<std::set<std::string>> HomesOf(const Route& route, const tenants::Tenant* tenant) {
  if (tenant == nullptr || tenant->homes.empty()) {
    return route.homes;
  }
  if (route.homes.empty()) {
    return tenant->homes;
  }
  std::set<std::string> common;
  std::set_intersection(route.homes.begin(), route.homes.end(), tenant->homes.begin(),
                        tenant->homes.end(), std::inserter(common, common.end()));
  return common.empty() ? std::nullopt : std::optional(std::move(common));
}

}  // namespace pumicedyke::routing
