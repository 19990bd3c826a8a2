// Decides whether a request may start. Checks the tenant of its API key, whether the key may still
// be served, and the tenant's limit, in this order. Uses no socket, clock or thread.
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

enum class EntryResult { kAdmitted, kWaiting, kRefused };

struct EntryDecision {
  EntryResult result = EntryResult::kAdmitted;
  /// If refused: the reason, and the retry delay (zero: none).
  ResultCode code = ResultCode::kOk;
  Duration retry_after{};
  /// The tenant of the request; null if it has none, which the route or the document allows. Valid
  /// as long as the table.
  const tenants::Tenant* tenant = nullptr;
};

/// Used on the event loop's thread only.
class EntryGate {
 public:
  EntryGate(EntryOptions options, std::string node, uint64_t incarnation);

  /// Decides on a request; refuses at once where possible. A waiting request is decided later by a
  /// LimitDecision of limits().
  /// @param key API key of the client; empty if it sent none.
  /// @param proven_at time at which the configuration was last proven current.
  EntryDecision Admit(Timestamp now, RequestId id, const routing::RouteTable& table,
                      const routing::Route& route, std::string_view key, Timestamp proven_at);

  /// Checks whether a request that has waited for its limit may still start with its key.
  /// @return kOk, or the reason for refusing it.
  ResultCode Recheck(Timestamp now, const routing::RouteTable& table, const routing::Route& route,
                     std::string_view key, Timestamp proven_at) const;

  /// Returns the retry delay after a refusal with this code by Recheck(); zero if none.
  Duration RetryAfter(ResultCode code, Timestamp now, Timestamp proven_at) const;

  limits::TenantLimits& limits() { return limits_; }
  const limits::TenantLimits& limits() const { return limits_; }
  const EntryOptions& options() const { return options_; }

 private:
  EntryOptions options_;
  limits::TenantLimits limits_;
};

}  // namespace pumicedyke::admission
