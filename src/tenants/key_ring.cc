#include "tenants/key_ring.h"

namespace pumicedyke::tenants {

KeyRing::KeyRing(const std::vector<Tenant>& tenants) {
  for (const Tenant& tenant : tenants) {
    by_name_[tenant.name] = &tenant;
    for (const std::string& key : tenant.api_keys) {
      by_key_[key] = &tenant;
    }
  }
}

const Tenant* KeyRing::Find(std::string_view key) const {
  const auto it = by_key_.find(std::string(key));
  return it == by_key_.end() ? nullptr : it->second;
}

const Tenant* KeyRing::FindByName(const std::string& name) const {
  const auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : it->second;
}

}  // namespace pumicedyke::tenants
