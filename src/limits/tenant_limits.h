// The limits of tenants over all gateways, from the point of view of one of them: as the one that
// keeps the accounts of some tenants, and as one that borrows from others. No socket, clock or
// thread: events in, output out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/result_code.h"
#include "common/types.h"
#include "limits/limit_options.h"
#include "tenants/tenant.h"
#include "wire/messages.h"

namespace pumicedyke::limits {

struct LimitOptions {
  LimitBound bound;
};

/// A gateway that may keep accounts.
struct LimitGateway {
  std::string node;
  /// Where other gateways reach it.
  std::string address;
  std::string zone;
  bool operator==(const LimitGateway&) const = default;
};

enum class LimitVerdict {
  /// Paid for: it may begin.
  kGranted,
  /// Its keeper is being asked: a LimitDecision with its id will come.
  kWaiting,
  /// Beyond the limit, or nobody can say that it is not.
  kRefused,
};

struct LimitAnswer {
  LimitVerdict verdict = LimitVerdict::kGranted;
  /// If refused: when tokens will be there.
  Duration retry_after{};
};

/// The end of a wait.
struct LimitDecision {
  RequestId id;
  bool granted = false;
  Duration retry_after{};
};

/// A question to the gateway that keeps an account.
struct LimitQuestion {
  std::string address;
  wire::LimitAsk ask;
};

/// Word to a gateway that asked; `session` names its connection.
struct LimitWord {
  uint64_t session = 0;
  wire::LimitGrant grant;
};

struct LimitOutput {
  std::vector<LimitDecision> decisions;
  std::vector<LimitQuestion> questions;
  std::vector<LimitWord> words;
};

/// Lives on the event loop's thread.
class TenantLimits {
 public:
  /// @param node name of this gateway. @param incarnation of this life of it.
  TenantLimits(LimitOptions options, std::string node, uint64_t incarnation);

  /// The tenants of the newest document.
  void SetTenants(Timestamp now, const std::vector<tenants::Tenant>& tenants);
  /// All gateways that serve, by word of control, this one among them.
  void SetGateways(Timestamp now, std::vector<LimitGateway> gateways);

  /// A request of a tenant wants to begin.
  /// @param proven_at when this gateway's configuration was last proved current: one that is cut
  /// off keeps no accounts.
  /// @param urgent its objective leaves no time for a question, if that can be avoided.
  LimitAnswer Admit(Timestamp now, RequestId id, const tenants::Tenant& tenant, Timestamp proven_at,
                    bool urgent);
  /// A request that waits is not wanted any more.
  void Withdraw(Timestamp now, RequestId id);

  /// Another gateway asks.
  void OnAsk(Timestamp now, uint64_t session, const wire::LimitAsk& ask, Timestamp proven_at);
  void OnGrant(Timestamp now, const std::string& address, const wire::LimitGrant& grant);
  /// The connection to a gateway broke.
  void OnGatewayLost(Timestamp now, const std::string& address);

  void Tick(Timestamp now);
  Timestamp NextWake(Timestamp now) const;
  LimitOutput TakeOutput();

 private:
  LimitOptions options_;
  std::string node_;
  uint64_t incarnation_;
  LimitOutput output_;
};

}  // namespace pumicedyke::limits
