#include "config/tenant_list.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "common/result_code.h"
#include "policy/priority.h"

namespace pumicedyke::config {
namespace {

/// Fields of a tenant in this list. Limits are not among them: they hold over all gateways, and
/// nodes do not take part in that.
constexpr const char* kFields[] = {"name", "keys", "priority"};

absl::Status Invalid(const std::string& place, const std::string& field, const std::string& why) {
  return MakeStatus(ResultCode::kInvalidConfig, place + ", field '" + field + "': " + why);
}

absl::Status ReadKeys(const Json& json, const std::string& place, tenants::Tenant* tenant) {
  if (!json.contains("keys") || !json["keys"].is_array()) {
    return Invalid(place, "keys", "must be a list of keys");
  }
  for (const Json& key : json["keys"]) {
    if (!key.is_string()) {
      return Invalid(place, "keys", "must contain only strings");
    }
    tenant->api_keys.push_back(key.get<std::string>());
  }
  return absl::OkStatus();
}

absl::Status ReadPriority(const Json& json, const std::string& place, tenants::Tenant* tenant) {
  if (!json.contains("priority") || json["priority"].is_null()) {
    return absl::OkStatus();
  }
  const Json& priority = json["priority"];
  if (!priority.is_number_integer() || priority.get<int64_t>() < 0 ||
      priority.get<int64_t>() > policy::kTopPriority) {
    return Invalid(place, "priority", "must be 0 to 9");
  }
  tenant->priority = policy::kTopPriority - priority.get<int>();
  return absl::OkStatus();
}

absl::Status ReadTenant(const Json& json, size_t index, tenants::Tenant* tenant) {
  const std::string number = "tenant " + std::to_string(index) + " of the list";
  if (!json.is_object() || !json.contains("name") || !json["name"].is_string()) {
    return Invalid(number, "name", "must be a string");
  }
  tenant->name = json["name"].get<std::string>();
  const std::string place = "tenant '" + tenant->name + "'";
  for (const auto& [field, value] : json.items()) {
    if (std::find(std::begin(kFields), std::end(kFields), field) == std::end(kFields)) {
      return Invalid(place, field, "is not a field of a tenant");
    }
  }
  if (absl::Status status = ReadKeys(json, place, tenant); !status.ok()) {
    return status;
  }
  return ReadPriority(json, place, tenant);
}

}  // namespace

absl::Status ReadTenants(const Json& json, std::optional<std::vector<tenants::Tenant>>* tenants) {
  const auto field = json.find("tenants");
  if (field != json.end() && field->is_null()) {
    tenants->reset();
    return absl::OkStatus();
  }
  if (field == json.end() || !field->is_array()) {
    return MakeStatus(ResultCode::kInvalidConfig, "field 'tenants': must be a list, or null");
  }
  std::vector<tenants::Tenant> read(field->size());
  for (size_t i = 0; i < read.size(); ++i) {
    if (absl::Status status = ReadTenant((*field)[i], i, &read[i]); !status.ok()) {
      return status;
    }
  }
  if (absl::Status status = tenants::Validate(read); !status.ok()) {
    return status;
  }
  *tenants = std::move(read);
  return absl::OkStatus();
}

Json TenantsJson(const std::optional<std::vector<tenants::Tenant>>& tenants) {
  if (!tenants.has_value()) {
    return nullptr;
  }
  Json list = Json::array();
  for (const tenants::Tenant& tenant : *tenants) {
    Json item{{"name", tenant.name}, {"keys", tenant.api_keys}};
    if (tenant.priority.has_value()) {
      item["priority"] = policy::kTopPriority - *tenant.priority;
    }
    list.push_back(std::move(item));
  }
  return list;
}

}  // namespace pumicedyke::config
