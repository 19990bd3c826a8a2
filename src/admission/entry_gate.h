// Whether a request may begin: whose it is, whether its key may still be served, and whether its
// tenant's limit allows it, in this order. No socket, clock or thread.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/result_code.h"
#include "common/types.h"
#include "limits/tenant_limits.h"
#include "routing/route_table.h"
#include "tenants/key_lease.h"
#include "tenants/tenant.h"

namespace pumicedyke::admission {

struct EntryOptions {
  tenants::KeyLeaseOptions key_lease;
  limits::LimitOptions limits;
};

enum class EntryVerdict { kAdmitted, kWaiting, kRefused };

struct EntryDecision {
  EntryVerdict verdict = EntryVerdict::kAdmitted;
  /// If refused: why, and when to come back (zero: not said).
  ResultCode code = ResultCode::kOk;
  Duration retry_after{};
  /// Whose request it is; null: it is nobody's, which the route or the document allows. Lives as
  /// long as the table.
  const tenants::Tenant* tenant = nullptr;
};

/// Lives on the event loop's thread.
class EntryGate {
 public:
  EntryGate(EntryOptions options, std::string node, uint64_t incarnation);

  /// Never holds what it can refuse. What waits is decided by a LimitDecision of limits().
  /// @param key the client's; empty: it sent none.
  /// @param proven_at when the configuration was last proved current.
  EntryDecision Enter(Timestamp now, RequestId id, const routing::RouteTable& table,
                      const routing::Route& route, std::string_view key, Timestamp proven_at);

  /// Whether a request whose limit has been waited for may still begin under its key.
  /// @return kOk, or why not.
  ResultCode Recheck(Timestamp now, const routing::RouteTable& table, const routing::Route& route,
                     std::string_view key, Timestamp proven_at) const;

  /// When to come back after a refusal with this code by Recheck(); zero: not said.
  Duration RetryAfter(ResultCode code, Timestamp now, Timestamp proven_at) const;

  limits::TenantLimits& limits() { return limits_; }
  const limits::TenantLimits& limits() const { return limits_; }
  const EntryOptions& options() const { return options_; }

 private:
  EntryOptions options_;
  limits::TenantLimits limits_;
};

}  // namespace pumicedyke::admission
