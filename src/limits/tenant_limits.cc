#include "limits/tenant_limits.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pumicedyke::limits {

TenantLimits::TenantLimits(LimitOptions options, std::string node, uint64_t incarnation)
    : options_(options),
      node_(std::move(node)),
      // Questions of two lives of a gateway never share a number.
      next_id_((incarnation << 32) + 1),
      keeper_(options.keeper),
      borrower_(options.borrower, node_, &placement_, &keeper_, &next_id_) {}

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
    parts[tenant.name] = PartsOf(tenant);
    for (uint32_t part = 0; part < parts[tenant.name]; ++part) {
      accounts.push_back({tenant.name, part});
      terms[accounts.back()] = shared;
    }
  }
  keeper_.SetTerms(now, terms);
  borrower_.SetTenants(parts);
  placement_.SetAccounts(accounts);
  std::erase_if(kept_, [&](const auto& item) { return !terms.contains(item.first); });
  SyncRoles(now);
}

void TenantLimits::SetGateways(Timestamp now, const std::vector<LimitGateway>& gateways) {
  if (off()) {
    return;
  }
  placement_.SetGateways(gateways);
  SyncRoles(now);
}

void TenantLimits::SyncRoles(Timestamp now) {
  std::map<AccountId, std::string> kept;
  for (const AccountId& account : placement_.KeptBy(node_)) {
    const Keepers keepers = placement_.Find(account);
    const bool first = keepers.first->node == node_;
    std::vector<std::string> rivals;
    if (first && keepers.second != nullptr) {
      rivals.push_back(keepers.second->address);
    }
    // It may not know yet that it was dropped.
    const auto before = kept_.find(account);
    if (first && before != kept_.end() && !before->second.empty()) {
      rivals.push_back(before->second);
    }
    kept[account] = first ? std::string() : keepers.first->address;
    keeper_.SetRole(now, account, first ? KeeperRole::kFirst : KeeperRole::kSecond,
                    std::move(rivals));
  }
  for (const auto& [account, first] : kept_) {
    if (!kept.contains(account)) {
      keeper_.SetRole(now, account, KeeperRole::kNone, {});
    }
  }
  kept_ = std::move(kept);
  SendClaims(now);
}

void TenantLimits::SendClaims(Timestamp now) {
  for (AccountClaim& claim : keeper_.Tick(now, &next_id_)) {
    output_.questions.push_back({std::move(claim.address), std::move(claim.ask)});
  }
}

LimitAnswer TenantLimits::Admit(Timestamp now, RequestId id, const tenants::Tenant& tenant,
                                Timestamp proven_at) {
  if (off() || !tenant.limited()) {
    return {};
  }
  keeper_.OnProof(now, proven_at);
  return borrower_.Admit(now, id, tenant.name);
}

void TenantLimits::Withdraw(Timestamp /*now*/, RequestId id) { borrower_.Withdraw(id); }

void TenantLimits::OnAsk(Timestamp now, uint64_t session, const wire::LimitAsk& ask,
                         Timestamp proven_at) {
  if (off()) {
    return;
  }
  keeper_.OnProof(now, proven_at);
  const AccountId account{ask.tenant, ask.part};
  if (ask.returned > 0) {
    keeper_.TakeBack(now, account, ask.returned, {session, ask.returned_of});
  }
  if (!ask.claim && ask.wanted == 0) {
    return;
  }
  const Lent lent = ask.claim ? keeper_.OnClaim(now, account)
                              : keeper_.LendTo(now, account, ask.wanted, {session, ask.id});
  wire::LimitGrant grant;
  grant.id = ask.id;
  grant.tenant = ask.tenant;
  grant.stage = lent.stage;
  grant.granted = lent.count;
  grant.lifetime = keeper_.LifetimeOf(account);
  grant.retry_after = lent.retry_after;
  output_.words.push_back({session, std::move(grant)});
}

void TenantLimits::OnGrant(Timestamp now, const std::string& /*address*/,
                           const wire::LimitGrant& grant) {
  if (off() || keeper_.OnClaimAnswer(now, grant)) {
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
  keeper_.OnProof(now, proven_at);
  borrower_.Tick(now);
  SendClaims(now);
}

Timestamp TenantLimits::NextWake(Timestamp now) const {
  if (off()) {
    return now + Seconds(1);
  }
  return std::min(keeper_.NextWake(now), borrower_.NextWake(now));
}

LimitOutput TenantLimits::TakeOutput() {
  borrower_.CollectInto(&output_);
  return std::exchange(output_, {});
}

}  // namespace pumicedyke::limits
