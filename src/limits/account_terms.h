// How a tenant's limit and the bound over all gateways are cut into accounts that may be kept
// apart: the arithmetic by which their sum stays within the bound. Free functions over plain data;
// safe on any thread. docs/design/tenant-limits.md derives it.
#pragma once

#include <cstdint>
#include <string>

#include "common/types.h"
#include "limits/limit_options.h"
#include "tenants/tenant.h"

namespace pumicedyke::limits {

/// One of a tenant's accounts. A large tenant has several, so that no gateway answers for all of it
/// and the loss of one costs a part.
struct AccountId {
  std::string tenant;
  uint32_t part = 0;
  auto operator<=>(const AccountId&) const = default;
};

/// What an account of a tenant lends.
struct AccountTerms {
  /// By the gateway that keeps it: the limit itself, and a little beyond the burst.
  double rate = 0;
  double cap = 0;
  /// By the one that keeps its reserve: what the bound leaves beyond the limit.
  double reserve_rate = 0;
  double reserve_cap = 0;
  /// What is lent and not used comes back within this time or is lost.
  Duration loan{};
  bool operator==(const AccountTerms&) const = default;
};

/// Requests a second that one account carries.
inline constexpr double kRatePerPart = 4;
inline constexpr uint32_t kMostParts = 64;

/// @return how many accounts a limit is cut into, from 1; zero: there is no limit.
uint32_t PartsOf(const tenants::Tenant& tenant);

/// The terms of each of a tenant's accounts.
/// @param tenant limited. @param bound with a window above zero.
AccountTerms TermsOf(const LimitBound& bound, const tenants::Tenant& tenant);

/// The most requests that can be made of one account's lending in a window, its reserve included.
double MostInWindow(const AccountTerms& terms, Duration window);

}  // namespace pumicedyke::limits
