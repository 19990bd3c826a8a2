#include "limits/tenant_limits.h"

#include <utility>

namespace pumicedyke::limits {

TenantLimits::TenantLimits(LimitOptions options, std::string node, uint64_t incarnation)
    : options_(options), node_(std::move(node)), incarnation_(incarnation) {}

void TenantLimits::SetTenants(Timestamp /*now*/, const std::vector<tenants::Tenant>& /*tenants*/) {}

void TenantLimits::SetGateways(Timestamp /*now*/, std::vector<LimitGateway> /*gateways*/) {}

LimitAnswer TenantLimits::Admit(Timestamp /*now*/, RequestId /*id*/,
                                const tenants::Tenant& /*tenant*/, Timestamp /*proven_at*/,
                                bool /*urgent*/) {
  return {};
}

void TenantLimits::Withdraw(Timestamp /*now*/, RequestId /*id*/) {}

void TenantLimits::OnAsk(Timestamp /*now*/, uint64_t /*session*/, const wire::LimitAsk& /*ask*/,
                         Timestamp /*proven_at*/) {}

void TenantLimits::OnGrant(Timestamp /*now*/, const std::string& /*address*/,
                           const wire::LimitGrant& /*grant*/) {}

void TenantLimits::OnGatewayLost(Timestamp /*now*/, const std::string& /*address*/) {}

void TenantLimits::Tick(Timestamp /*now*/) {}

Timestamp TenantLimits::NextWake(Timestamp now) const { return now + Seconds(1); }

LimitOutput TenantLimits::TakeOutput() { return std::exchange(output_, {}); }

}  // namespace pumicedyke::limits
