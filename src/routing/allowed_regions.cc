#include "routing/allowed_regions.h"

#include <algorithm>
#include <iterator>

namespace pumicedyke::routing {

std::optional<std::set<std::string>> AllowedRegionsOf(const Route& route,
                                                      const tenants::Tenant* tenant) {
  if (tenant == nullptr || tenant->allowed_regions.empty()) {
    return route.allowed_regions;
  }
  if (route.allowed_regions.empty()) {
    return tenant->allowed_regions;
  }
  std::set<std::string> common;
  std::set_intersection(route.allowed_regions.begin(), route.allowed_regions.end(),
                        tenant->allowed_regions.begin(), tenant->allowed_regions.end(),
                        std::inserter(common, common.end()));
  return common.empty() ? std::nullopt : std::optional(std::move(common));
}

}  // namespace pumicedyke::routing
