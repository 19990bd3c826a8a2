#include "tenants/tenant_view.h"

namespace pumicedyke::tenants {

Json Describe(const std::vector<Tenant>& tenants) {
  Json list = Json::array();
  for (const Tenant& tenant : tenants) {
    list.push_back({{"name", tenant.name},
                    {"keys", tenant.api_keys.size()},
                    {"priority", tenant.priority.has_value() ? Json(*tenant.priority) : Json()},
                    {"requests_per_second", tenant.requests_per_second},
                    {"burst", tenant.burst},
                    {"regions", tenant.allowed_regions}});
  }
  return list;
}

}  // namespace pumicedyke::tenants
