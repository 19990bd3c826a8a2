#include "limits/account_terms.h"

#include <algorithm>
#include <cmath>

namespace pumicedyke::limits {
namespace {

constexpr Duration kShortestLoan = Milliseconds(50);
constexpr Duration kLongestLoan = Seconds(1);
/// Parts of what the bound leaves beyond the limit: for what is lent before a window and used in
/// it, and for a burst a little larger than the limit's. The rest is the reserve.
constexpr double kLoanPart = 0.25;
constexpr double kBurstPart = 0.25;
/// Part of the reserve that may come at once; the rest comes over the window.
constexpr double kReserveAtOnce = 0.6;

double InSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration LoanFor(double spare, double rate) {
  const double seconds = rate > 0 ? spare / rate : InSeconds(kLongestLoan);
  const double bounded = std::clamp(seconds, InSeconds(kShortestLoan), InSeconds(kLongestLoan));
  return Duration(static_cast<int64_t>(bounded * 1e6));
}

}  // namespace

uint32_t PartsOf(const tenants::Tenant& tenant) {
  if (!tenant.limited()) {
    return 0;
  }
  const double parts = std::ceil(tenant.requests_per_second / kRatePerPart);
  return static_cast<uint32_t>(std::clamp(parts, 1.0, static_cast<double>(kMostParts)));
}

AccountTerms TermsOf(const LimitBound& bound, const tenants::Tenant& tenant) {
  const double parts = PartsOf(tenant);
  const double rate = tenant.requests_per_second / parts;
  const double burst = tenant.burst / parts;
  const double window = InSeconds(bound.window);
  const double limit = rate * window + burst;
  const double spare = limit * bound.overage + bound.slack / parts;
  AccountTerms terms;
  terms.loan = LoanFor(spare * kLoanPart, rate);
  const double reach = window + InSeconds(terms.loan);
  const double usual_cap = burst + spare * kBurstPart;
  // Below one token nothing could ever be lent.
  terms.cap = std::max(1.0, usual_cap);
  const double reserve =
      std::max(0.0, spare * (1 - kLoanPart - kBurstPart) - (terms.cap - usual_cap));
  terms.rate = std::clamp((limit + spare - reserve - terms.cap) / reach, 0.0, rate);
  const double unused = limit + spare - reserve - terms.cap - terms.rate * reach;
  terms.reserve_cap = reserve * kReserveAtOnce + std::max(0.0, unused);
  terms.reserve_rate = reserve * (1 - kReserveAtOnce) / reach;
  return terms;
}

double MostInWindow(const AccountTerms& terms, Duration window) {
  const double reach = InSeconds(window) + InSeconds(terms.loan);
  return (terms.rate + terms.reserve_rate) * reach + terms.cap + terms.reserve_cap;
}

}  // namespace pumicedyke::limits
