#include "limits/account_terms.h"

#include <algorithm>
#include <cmath>

namespace pumicedyke::limits {
namespace {

constexpr Duration kMinLoan = Milliseconds(50);
constexpr Duration kMaxLoan = Seconds(1);
/// Shares of the headroom that the bound leaves above the limit: for tokens lent before a window
/// and used within it, and for a burst slightly larger than the limit's. The rest is the reserve.
constexpr double kLoanShare = 0.25;
constexpr double kBurstShare = 0.25;
/// Share of the reserve that is available at once; the rest accrues over the window.
constexpr double kReserveBurstShare = 0.6;

double InSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration LoanDuration(double headroom, double rate) {
  const double seconds = rate > 0 ? headroom / rate : InSeconds(kMaxLoan);
  const double bounded = std::clamp(seconds, InSeconds(kMinLoan), InSeconds(kMaxLoan));
  return Duration(static_cast<int64_t>(bounded * 1e6));
}

}  // namespace

uint32_t PartCount(const tenants::Tenant& tenant) {
  if (!tenant.limited()) {
    return 0;
  }
  const double parts = std::ceil(tenant.requests_per_second / kRatePerPart);
  return static_cast<uint32_t>(std::clamp(parts, 1.0, static_cast<double>(kMaxParts)));
}

AccountTerms TermsOf(const LimitBound& bound, const tenants::Tenant& tenant) {
  const double parts = PartCount(tenant);
  const double rate = tenant.requests_per_second / parts;
  const double burst = tenant.burst / parts;
  const double window = InSeconds(bound.window);
  const double limit = rate * window + burst;
  const double headroom = limit * bound.overage + bound.slack / parts;
  AccountTerms terms;
  terms.loan = LoanDuration(headroom * kLoanShare, rate);
  const double horizon = window + InSeconds(terms.loan);
  const double unrounded_cap = burst + headroom * kBurstShare;
  // A bucket that holds less than one token could never lend.
  terms.cap = std::max(1.0, unrounded_cap);
  const double reserve =
      std::max(0.0, headroom * (1 - kLoanShare - kBurstShare) - (terms.cap - unrounded_cap));
  terms.rate = std::clamp((limit + headroom - reserve - terms.cap) / horizon, 0.0, rate);
  const double unused = limit + headroom - reserve - terms.cap - terms.rate * horizon;
  terms.reserve_cap = reserve * kReserveBurstShare + std::max(0.0, unused);
  terms.reserve_rate = reserve * (1 - kReserveBurstShare) / horizon;
  return terms;
}

double MaxRequestsInWindow(const AccountTerms& terms, Duration window) {
  const double horizon = InSeconds(window) + InSeconds(terms.loan);
  return (terms.rate + terms.reserve_rate) * horizon + terms.cap + terms.reserve_cap;
}

}  // namespace pumicedyke::limits
