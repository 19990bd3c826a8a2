// Which tenant an API key belongs to, compiled once per document.
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
  /// @param tenants valid; outlive this object.
  explicit KeyRing(const std::vector<Tenant>& tenants);

  /// @return the tenant whose key it is; null: nobody's.
  const Tenant* Find(std::string_view key) const;
  /// @return the tenant of that name; null: there is none.
  const Tenant* Named(const std::string& name) const;

 private:
  std::unordered_map<std::string, const Tenant*> by_key_;
  std::unordered_map<std::string, const Tenant*> by_name_;
};

}  // namespace pumicedyke::tenants
