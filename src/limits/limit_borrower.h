// Borrows the tokens for a gateway's requests of limited tenants from the lenders of the tenants'
// accounts. Prefetches tokens for busy tenants and remembers exhausted accounts. Uses no socket,
// clock or thread.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/types.h"
#include "limits/account_terms.h"
#include "limits/lender_placement.h"
#include "limits/limit_lender.h"
#include "limits/limit_messages.h"
#include "wire/messages.h"

namespace pumicedyke::limits {

struct BorrowerOptions {
  /// Time after which a lender that has not replied is skipped.
  Duration lender_timeout = Milliseconds(25);
  /// Time for which a lender that has not replied is tried only after the others.
  Duration suspicion = Seconds(1);
  /// Maximum number of remote lenders that one request tries.
  size_t max_lenders_tried = 5;
  /// Maximum number of concurrent limit requests of one tenant; further requests are queued.
  size_t max_open_requests = 2;
  /// Maximum number of queued requests of one tenant; further ones are refused.
  size_t max_queued = 512;
  uint32_t max_prefetch = 64;
  /// Time constant of the demand average.
  Duration demand_window = Seconds(1);
  /// Retry delay if no lender could give one.
  Duration default_retry_after = Milliseconds(250);
  /// Maximum time for which an exhausted reserve is remembered, since the primary lender may be
  /// reachable again.
  Duration max_reserve_hold = Milliseconds(500);
};

/// Used on the event loop's thread only.
class LimitBorrower {
 public:
  /// @param placement, lender must outlive this object; the lender belongs to the same gateway.
  LimitBorrower(BorrowerOptions options, std::string node, const LenderPlacement* placement,
                LimitLender* lender, uint64_t* next_id);

  /// Sets the limited tenants with the number of their accounts.
  void SetTenants(const std::map<std::string, uint32_t>& parts);
  LimitResult Admit(Timestamp now, RequestId id, const std::string& tenant);
  void Withdraw(RequestId id);
  void OnGrant(Timestamp now, const wire::LimitGrant& grant);
  void OnGatewayLost(Timestamp now, const std::string& address);
  void Tick(Timestamp now);
  Timestamp NextWake(Timestamp now) const;
  /// Moves decisions and limit requests to `output`.
  void CollectInto(LimitOutput* output);

 private:
  /// A lender of one of a tenant's accounts.
  struct Candidate {
    uint32_t part = 0;
    bool reserve = false;
  };
  /// A lender that was tried, identified by its node because the roles may change meanwhile.
  struct Tried {
    uint32_t part = 0;
    std::string node;
    bool operator==(const Tried&) const = default;
  };
  /// A search for the tokens of some requests.
  struct TokenSearch {
    std::string tenant;
    std::vector<RequestId> requests;
    std::vector<Tried> tried;
    size_t requests_sent = 0;
    Duration retry_after{};
  };
  struct PendingRequest {
    TokenSearch search;
    Candidate candidate;
    std::string address;
    Timestamp sent{};
    /// The reply is no longer awaited, but a late one may still bring tokens.
    bool abandoned = false;
  };
  struct Batch {
    uint64_t request = 0;
    uint32_t part = 0;
    std::string address;
    uint32_t count = 0;
    Timestamp until{};
  };
  struct TenantState {
    uint32_t parts = 1;
    /// First part to try; differs between gateways so that the parts are used evenly.
    uint32_t preferred = 0;
    /// By part: the time until which its account is exhausted.
    std::vector<Timestamp> exhausted_until;
    std::deque<Batch> batches;
    std::deque<RequestId> queued;
    size_t open_requests = 0;
    double demand = 0;
    Timestamp demand_at{};
    uint64_t refusals = 0;
  };

  /// Sets the number of the tenant's accounts.
  void SetParts(uint32_t parts, TenantState* state) const;
  /// Returns the state of the tenant; null if it has no limit.
  TenantState* FindOrAddTenant(const std::string& tenant);
  void RecordDemand(Timestamp now, TenantState* state) const;
  static bool TakeFromBatch(Timestamp now, TenantState* state);
  uint32_t PrefetchCount(const TenantState& state, const AccountId& account) const;
  const LimitGateway* GatewayOf(const std::string& tenant, Candidate candidate) const;
  bool IsSuspected(Timestamp now, const LimitGateway& gateway) const;
  /// Returns the lender to try next, if any is left.
  std::optional<Candidate> Next(Timestamp now, const TokenSearch& search,
                                const TenantState& state) const;
  /// Continues the search until a reply must be awaited or all requests are decided.
  void ContinueSearch(Timestamp now, TokenSearch search);
  void Send(Timestamp now, TokenSearch search, Candidate candidate, const LimitGateway& gateway);
  /// Grants the search's requests with the lent tokens. @return the number of tokens left over.
  uint32_t GrantRequests(uint32_t count, TokenSearch* search);
  void RecordExhausted(Timestamp now, Candidate candidate, Duration retry_after,
                       TokenSearch* search);
  void RefuseAll(Timestamp now, TokenSearch* search);
  Duration RetryAfter(Timestamp now, TenantState* state, Duration hint) const;
  /// Stops waiting for a reply and continues the search of its requests.
  void Abandon(Timestamp now, uint64_t id);
  void SearchForQueued(Timestamp now, const std::string& tenant);
  void ReturnTokens(const Batch& batch, const std::string& tenant);
  void ReturnExpired(Timestamp now);

  BorrowerOptions options_;
  std::string node_;
  const LenderPlacement* placement_;
  LimitLender* lender_;
  uint64_t* next_id_;
  std::map<std::string, uint32_t> parts_;
  /// The tenants that have sent requests to this gateway.
  std::map<std::string, TenantState> tenants_;
  std::map<uint64_t, PendingRequest> pending_;
  std::map<std::string, Timestamp> suspected_until_;
  /// Limit requests by the time of their next check.
  std::multimap<Timestamp, uint64_t> due_;
  /// Tenants by the time when one of their batches expires and is returned.
  std::multimap<Timestamp, std::string> expiring_;
  LimitOutput output_;
};

}  // namespace pumicedyke::limits
