#include "tenants/tenant.h"

#include <algorithm>
#include <map>

#include "common/result_code.h"

namespace pumicedyke::tenants {
namespace {

using KeyOwners = std::map<std::string_view, const Tenant*>;

bool IsValidInHeader(std::string_view name) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return std::all_of(name.begin(), name.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return byte >= kFirstPrintable && byte != kDelete;
  });
}

std::optional<TenantProblem> FindKeyProblem(const Tenant& tenant, KeyOwners* owners) {
  for (const std::string& key : tenant.api_keys) {
    if (key.empty()) {
      return TenantProblem{tenant.name, TenantField::kKeys, "a key is empty"};
    }
    const Tenant* owner = owners->emplace(key, &tenant).first->second;
    if (owner != &tenant) {
      return TenantProblem{tenant.name, TenantField::kKeys,
                           "one of the keys also belongs to tenant '" + owner->name + "'"};
    }
  }
  return std::nullopt;
}

std::optional<TenantProblem> FindNumberProblem(const Tenant& tenant) {
  constexpr char kNegative[] = "must not be negative";
  if (!(tenant.requests_per_second >= 0)) {
    return TenantProblem{tenant.name, TenantField::kRequestsPerSecond, kNegative};
  }
  if (!(tenant.burst >= 0)) {
    return TenantProblem{tenant.name, TenantField::kBurst, kNegative};
  }
  return std::nullopt;
}

}  // namespace

std::string_view FieldName(TenantField field) {
  switch (field) {
    case TenantField::kName:
      return "name";
    case TenantField::kKeys:
      return "keys";
    case TenantField::kRequestsPerSecond:
      return "requests_per_second";
    case TenantField::kBurst:
      return "burst";
  }
  return "";
}

std::optional<TenantProblem> FindProblem(const std::vector<Tenant>& tenants) {
  std::set<std::string_view> names;
  KeyOwners owners;
  for (const Tenant& tenant : tenants) {
    if (tenant.name.empty()) {
      return TenantProblem{tenant.name, TenantField::kName, "must not be empty"};
    }
    if (!IsValidInHeader(tenant.name)) {
      return TenantProblem{tenant.name, TenantField::kName, "must not contain control characters"};
    }
    if (!names.insert(tenant.name).second) {
      return TenantProblem{tenant.name, TenantField::kName, "another tenant has the same name"};
    }
    if (std::optional<TenantProblem> problem = FindKeyProblem(tenant, &owners)) {
      return problem;
    }
    if (std::optional<TenantProblem> problem = FindNumberProblem(tenant)) {
      return problem;
    }
  }
  return std::nullopt;
}

absl::Status InvalidTenant(const TenantProblem& problem, std::string_view field) {
  return MakeStatus(ResultCode::kInvalidConfig, "tenant '" + problem.tenant + "', field '" +
                                                    std::string(field) + "': " + problem.reason);
}

absl::Status Validate(const std::vector<Tenant>& tenants) {
  const std::optional<TenantProblem> problem = FindProblem(tenants);
  return problem.has_value() ? InvalidTenant(*problem, FieldName(problem->field))
                             : absl::OkStatus();
}

}  // namespace pumicedyke::tenants
