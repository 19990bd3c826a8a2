// One gateway's side of the tenant limits over all gateways: it lends from the accounts of some
// tenants and borrows from other gateways. Uses no socket, clock or thread: it handles events and
// returns output. See docs/design/tenant-limits.md.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/types.h"
#include "limits/lender_placement.h"
#include "limits/limit_borrower.h"
#include "limits/limit_gateway.h"
#include "limits/limit_lender.h"
#include "limits/limit_messages.h"
#include "limits/limit_options.h"
#include "tenants/tenant.h"
#include "wire/messages.h"

namespace pumicedyke::limits {

struct LimitOptions {
  LimitBound bound;
  LenderOptions lender;
  BorrowerOptions borrower;
};

/// Used on the event loop's thread only.
class TenantLimits {
 public:
  /// @param node name of this gateway. @param incarnation of this process.
  TenantLimits(LimitOptions options, std::string node, uint64_t incarnation);
  TenantLimits(const TenantLimits&) = delete;
  TenantLimits& operator=(const TenantLimits&) = delete;

  /// Sets the tenants of the newest document.
  void SetTenants(Timestamp now, const std::vector<tenants::Tenant>& tenants);
  /// Sets all serving gateways according to control, including this one if it serves.
  void SetGateways(Timestamp now, const std::vector<LimitGateway>& gateways);

  /// Decides whether a tenant's request may start.
  /// @param proven_at time at which this gateway's configuration was last proven current. A gateway
  /// that is partitioned from control must not lend.
  LimitResult Admit(Timestamp now, RequestId id, const tenants::Tenant& tenant,
                    Timestamp proven_at);
  /// Cancels a waiting request.
  void Withdraw(Timestamp now, RequestId id);

  /// Handles a limit request of another gateway.
  void OnLimitRequest(Timestamp now, uint64_t session, const wire::LimitRequest& ask,
                      Timestamp proven_at);
  void OnGrant(Timestamp now, const std::string& address, const wire::LimitGrant& grant);
  /// Handles the loss of the connection to a gateway.
  void OnGatewayLost(Timestamp now, const std::string& address);

  /// @param proven_at as for Admit().
  void Tick(Timestamp now, Timestamp proven_at);
  Timestamp NextWake(Timestamp now) const;
  LimitOutput TakeOutput();

  const LimitLender& lender() const { return lender_; }

 private:
  bool off() const { return options_.bound.window.count() == 0; }
  /// Updates the roles of this gateway from the placement.
  void UpdateRoles(Timestamp now);
  void SendClaims(Timestamp now);

  LimitOptions options_;
  std::string node_;
  uint64_t next_id_;
  LenderPlacement placement_;
  LimitLender lender_;
  LimitBorrower borrower_;
  /// The accounts of which this gateway is a lender, with the address of the primary lender; empty
  /// if that is this gateway.
  std::map<AccountId, std::string> lender_accounts_;
  LimitOutput output_;
};

}  // namespace pumicedyke::limits
