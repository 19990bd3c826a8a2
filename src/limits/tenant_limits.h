// The limits of tenants over all gateways, from the point of view of one of them: as the one that
// keeps the accounts of some tenants, and as one that borrows from others. No socket, clock or
// thread: events in, output out. docs/design/tenant-limits.md.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/types.h"
#include "limits/keeper_placement.h"
#include "limits/limit_borrower.h"
#include "limits/limit_gateway.h"
#include "limits/limit_keeper.h"
#include "limits/limit_messages.h"
#include "limits/limit_options.h"
#include "tenants/tenant.h"
#include "wire/messages.h"

namespace pumicedyke::limits {

struct LimitOptions {
  LimitBound bound;
  KeeperOptions keeper;
  BorrowerOptions borrower;
};

/// Lives on the event loop's thread.
class TenantLimits {
 public:
  /// @param node name of this gateway. @param incarnation of this life of it.
  TenantLimits(LimitOptions options, std::string node, uint64_t incarnation);
  TenantLimits(const TenantLimits&) = delete;
  TenantLimits& operator=(const TenantLimits&) = delete;

  /// The tenants of the newest document.
  void SetTenants(Timestamp now, const std::vector<tenants::Tenant>& tenants);
  /// All gateways that serve, by word of control, this one among them if it does.
  void SetGateways(Timestamp now, const std::vector<LimitGateway>& gateways);

  /// A request of a tenant wants to begin.
  /// @param proven_at when this gateway's configuration was last proved current: one that is cut
  /// off keeps no accounts.
  LimitAnswer Admit(Timestamp now, RequestId id, const tenants::Tenant& tenant,
                    Timestamp proven_at);
  /// A request that waits is not wanted any more.
  void Withdraw(Timestamp now, RequestId id);

  /// Another gateway asks.
  void OnAsk(Timestamp now, uint64_t session, const wire::LimitAsk& ask, Timestamp proven_at);
  void OnGrant(Timestamp now, const std::string& address, const wire::LimitGrant& grant);
  /// The connection to a gateway broke.
  void OnGatewayLost(Timestamp now, const std::string& address);

  /// @param proven_at as for Admit().
  void Tick(Timestamp now, Timestamp proven_at);
  Timestamp NextWake(Timestamp now) const;
  LimitOutput TakeOutput();

  const LimitKeeper& keeper() const { return keeper_; }

 private:
  bool off() const { return options_.bound.window.count() == 0; }
  /// Takes over who keeps what.
  void SyncRoles(Timestamp now);
  void SendClaims(Timestamp now);

  LimitOptions options_;
  std::string node_;
  uint64_t next_id_;
  KeeperPlacement placement_;
  LimitKeeper keeper_;
  LimitBorrower borrower_;
  /// The accounts this gateway kept, first or second, and who kept them first.
  std::map<AccountId, std::string> kept_;
  LimitOutput output_;
};

}  // namespace pumicedyke::limits
