#include "limits/tenant_limits.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pumicedyke::limits {

TenantLimits::TenantLimits(LimitOptions options, std::string node, uint64_t incarnation)
    : options_(options),
      node_(std::move(node)),
      // Ids are unique across incarnations of a gateway.
      next_id_((incarnation << 32) + 1),
      lender_(options.lender),
      borrower_(options.borrower, node_, &placement_, &lender_, &next_id_) {}

void TenantLimits::SetTenants(Timestamp now, const std::vector<tenants::Tenant>& tenants) {
  if (off()) {
    return;
  }
  std::map<AccountId, AccountTerms> terms;
  std::map<std::string, uint32_t> parts;
  std::vector<AccountId> accounts;
  for (const tenants::Tenant& tenant : tenants) {
    if (!tenant.limited()) {
      continue;
    }
    const AccountTerms shared = TermsOf(options_.bound, tenant);
    parts[tenant.name] = PartCount(tenant);
    for (uint32_t part = 0; part < parts[tenant.name]; ++part) {
      accounts.push_back({tenant.name, part});
      terms[accounts.back()] = shared;
    }
  }
  lender_.SetTerms(now, terms);
  borrower_.SetTenants(parts);
  placement_.SetAccounts(accounts);
  std::erase_if(lender_accounts_, [&](const auto& item) { return !terms.contains(item.first); });
  UpdateRoles(now);
}

void TenantLimits::SetGateways(Timestamp now, const std::vector<LimitGateway>& gateways) {
  if (off()) {
    return;
  }
  placement_.SetGateways(gateways);
  UpdateRoles(now);
}

void TenantLimits::UpdateRoles(Timestamp now) {
  std::map<AccountId, std::string> accounts;
  for (const AccountId& account : placement_.AccountsLentBy(node_)) {
    const Lenders lenders = placement_.Find(account);
    const bool primary = lenders.primary->node == node_;
    std::vector<std::string> claim_targets;
    if (primary && lenders.reserve != nullptr) {
      claim_targets.push_back(lenders.reserve->address);
    }
    // The previous primary lender may not know yet that it was dropped.
    const auto before = lender_accounts_.find(account);
    if (primary && before != lender_accounts_.end() && !before->second.empty()) {
      claim_targets.push_back(before->second);
    }
    accounts[account] = primary ? std::string() : lenders.primary->address;
    lender_.SetRole(now, account, primary ? LenderRole::kPrimary : LenderRole::kReserve,
                    std::move(claim_targets));
  }
  for (const auto& [account, primary] : lender_accounts_) {
    if (!accounts.contains(account)) {
      lender_.SetRole(now, account, LenderRole::kNone, {});
    }
  }
  lender_accounts_ = std::move(accounts);
  SendClaims(now);
}

void TenantLimits::SendClaims(Timestamp now) {
  for (AccountClaim& claim : lender_.Tick(now, &next_id_)) {
    output_.requests.push_back({std::move(claim.address), std::move(claim.ask)});
  }
}

LimitResult TenantLimits::Admit(Timestamp now, RequestId id, const tenants::Tenant& tenant,
                                Timestamp proven_at) {
  if (off() || !tenant.limited()) {
    return {};
  }
  lender_.OnProof(now, proven_at);
  return borrower_.Admit(now, id, tenant.name);
}

void TenantLimits::Withdraw(Timestamp /*now*/, RequestId id) { borrower_.Withdraw(id); }

void TenantLimits::OnLimitRequest(Timestamp now, uint64_t session, const wire::LimitRequest& ask,
                                  Timestamp proven_at) {
  if (off()) {
    return;
  }
  lender_.OnProof(now, proven_at);
  const AccountId account{ask.tenant, ask.part};
  if (ask.returned > 0) {
    lender_.TakeBack(now, account, ask.returned, {session, ask.returned_of});
  }
  if (!ask.claim && ask.wanted == 0) {
    return;
  }
  const LendResult lent = ask.claim ? lender_.OnClaim(now, account)
                                    : lender_.LendTo(now, account, ask.wanted, {session, ask.id});
  wire::LimitGrant grant;
  grant.id = ask.id;
  grant.tenant = ask.tenant;
  grant.stage = lent.stage;
  grant.granted = lent.count;
  grant.lifetime = lender_.LifetimeOf(account);
  grant.retry_after = lent.retry_after;
  output_.grants.push_back({session, std::move(grant)});
}

void TenantLimits::OnGrant(Timestamp now, const std::string& /*address*/,
                           const wire::LimitGrant& grant) {
  if (off() || lender_.OnClaimAnswer(now, grant)) {
    return;
  }
  borrower_.OnGrant(now, grant);
}

void TenantLimits::OnGatewayLost(Timestamp now, const std::string& address) {
  borrower_.OnGatewayLost(now, address);
}

void TenantLimits::Tick(Timestamp now, Timestamp proven_at) {
  if (off()) {
    return;
  }
  lender_.OnProof(now, proven_at);
  borrower_.Tick(now);
  SendClaims(now);
}

Timestamp TenantLimits::NextWake(Timestamp now) const {
  if (off()) {
    return now + Seconds(1);
  }
  return std::min(lender_.NextWake(now), borrower_.NextWake(now));
}

LimitOutput TenantLimits::TakeOutput() {
  borrower_.CollectInto(&output_);
  return std::exchange(output_, {});
}

}  // namespace pumicedyke::limits
