// Maps API keys to tenants. Built once per document.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tenants/tenant.h"

namespace pumicedyke::tenants {

/// Immutable; safe on any thread.
class KeyRing {
 public:
  KeyRing() = default;
  /// @param tenants must be valid and outlive this object.
  explicit KeyRing(const std::vector<Tenant>& tenants);

  /// Returns the tenant that owns the key, or null.
  const Tenant* Find(std::string_view key) const;
  /// Returns the tenant with that name, or null.
  const Tenant* FindByName(const std::string& name) const;

 private:
  std::unordered_map<std::string, const Tenant*> by_key_;
  std::unordered_map<std::string, const Tenant*> by_name_;
};

}  // namespace pumicedyke::tenants
