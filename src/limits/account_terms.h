// Splits a tenant's limit and the bound over all gateways into independent accounts whose sum stays
// within the bound. Free functions over plain data; safe on any thread. For the derivation see
// docs/design/tenant-limits.md.
#pragma once

#include <cstdint>
#include <string>

#include "common/types.h"
#include "limits/limit_options.h"
#include "tenants/tenant.h"

namespace pumicedyke::limits {

/// One of a tenant's accounts. A large tenant has several, which spreads its load over gateways and
/// limits the effect of a lost one.
struct AccountId {
  std::string tenant;
  uint32_t part = 0;
  auto operator<=>(const AccountId&) const = default;
};

/// The token buckets of one account.
struct AccountTerms {
  /// Bucket of the primary lender: the account's share of the limit, and slightly more than that of
  /// the burst.
  double rate = 0;
  double cap = 0;
  /// Bucket of the reserve lender: the headroom that the bound leaves above the limit.
  double reserve_rate = 0;
  double reserve_cap = 0;
  /// Unused tokens are returned within this time or expire.
  Duration loan{};
  bool operator==(const AccountTerms&) const = default;
};

/// Requests per second of one account.
inline constexpr double kRatePerPart = 4;
inline constexpr uint32_t kMaxParts = 64;

/// Returns the number of accounts of a limit, at least 1; zero if there is no limit.
uint32_t PartCount(const tenants::Tenant& tenant);

/// Returns the terms of each of a tenant's accounts.
/// @param tenant has a limit. @param bound with a window above zero.
AccountTerms TermsOf(const LimitBound& bound, const tenants::Tenant& tenant);

/// Returns the maximum number of requests in a window that one account allows, including its
/// reserve.
double MaxRequestsInWindow(const AccountTerms& terms, Duration window);

}  // namespace pumicedyke::limits
