#include "tenants/tenant.h"

#include "common/result_code.h"

namespace pumicedyke::tenants {
namespace {

absl::Status Invalid(const std::string& tenant, const std::string& field, const std::string& why) {
  return MakeStatus(ResultCode::kInvalidConfig,
                    "tenant '" + tenant + "', field '" + field + "': " + why);
}

}  // namespace

absl::Status Validate(const std::vector<Tenant>& tenants) {
  std::set<std::string> names;
  std::set<std::string> keys;
  for (const Tenant& tenant : tenants) {
    if (tenant.name.empty()) {
      return Invalid(tenant.name, "name", "must not be empty");
    }
    if (!names.insert(tenant.name).second) {
      return Invalid(tenant.name, "name", "another tenant has the same");
    }
    for (const std::string& key : tenant.api_keys) {
      if (key.empty()) {
        return Invalid(tenant.name, "api_keys", "a key is empty");
      }
      if (!keys.insert(key).second) {
        return Invalid(tenant.name, "api_keys", "a key stands twice");
      }
    }
    if (tenant.requests_per_second < 0) {
      return Invalid(tenant.name, "requests_per_second", "must not be negative");
    }
    if (tenant.burst < 0) {
      return Invalid(tenant.name, "burst", "must not be negative");
    }
  }
  return absl::OkStatus();
}

}  // namespace pumicedyke::tenants
