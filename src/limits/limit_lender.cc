#include "limits/limit_lender.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace pumicedyke::limits {
namespace {

/// Share of a loan's duration in which its tokens may be used; the rest is left for returning them.
constexpr double kUsablePart = 0.75;
/// Retries scheduled per new token; more than one, so that no token stays unused for lack of
/// requests.
constexpr double kRetriesPerToken = 4;
/// Minimum rate of scheduled retries, in retries per second, regardless of the account's rate.
constexpr double kMinRetriesPerSecond = 40;

}  // namespace

void LimitLender::StartRefilling(Timestamp now, Account* account) {
  Refill(&account->bucket, now);
  account->settled = true;
  ++changes_;
  account->was_primary = false;
  const bool primary = account->role == LenderRole::kPrimary;
  account->bucket.rate = primary ? account->terms.rate : account->terms.reserve_rate;
  account->bucket.cap = primary ? account->terms.cap : account->terms.reserve_cap;
  account->bucket.level = std::min(account->bucket.level, account->bucket.cap);
}

void LimitLender::StopRefilling(Timestamp now, Account* account) {
  Refill(&account->bucket, now);
  changes_ += account->settled ? 1 : 0;
  account->settled = false;
  account->settles_at = now + options_.settling;
  account->bucket.rate = 0;
  account->next_claim = now;
}

void LimitLender::SetTerms(Timestamp now, const std::map<AccountId, AccountTerms>& terms) {
  terms_ = terms;
  std::erase_if(accounts_, [&](const auto& item) { return !terms_.contains(item.first); });
  for (auto& [id, account] : accounts_) {
    const AccountTerms& changed = terms_.at(id);
    if (changed == account.terms) {
      continue;
    }
    account.terms = changed;
    account.last_retry = Timestamp{};
    Refill(&account.bucket, now);
    if (account.settled) {
      StartRefilling(now, &account);
    } else {
      account.bucket.cap = std::max(changed.cap, changed.reserve_cap);
      account.bucket.level = std::min(account.bucket.level, account.bucket.cap);
    }
  }
}

void LimitLender::SetRole(Timestamp now, const AccountId& account, LenderRole role,
                          std::vector<std::string> claim_targets) {
  const auto terms = terms_.find(account);
  const auto found = accounts_.find(account);
  if (terms == terms_.end() || (found == accounts_.end() && role == LenderRole::kNone)) {
    return;
  }
  Account& entry = found == accounts_.end() ? accounts_[account] : found->second;
  if (found == accounts_.end()) {
    entry.terms = terms->second;
    entry.bucket = {0, std::max(entry.terms.cap, entry.terms.reserve_cap), 0, now};
  }
  entry.claim_targets = std::move(claim_targets);
  if (entry.role == role) {
    return;
  }
  if (entry.settled && entry.role == LenderRole::kPrimary) {
    entry.was_primary = true;
    entry.claimable_until = now + options_.claimable_time;
  }
  entry.role = role;
  ++changes_;
  if (MayResume(now, entry)) {
    StartRefilling(now, &entry);
    return;
  }
  StopRefilling(now, &entry);
  if (role == LenderRole::kNone && !entry.was_primary) {
    accounts_.erase(account);
  }
}

void LimitLender::OnProof(Timestamp now, Timestamp proven_at) {
  const bool lapsed = now - proven_at > options_.lease || proven_at - proven_at_ > options_.lease;
  proven_at_ = std::max(proven_at_, proven_at);
  if (!lapsed) {
    StartDueAccounts(now);
    return;
  }
  for (auto& [id, account] : accounts_) {
    StopRefilling(now, &account);
    account.bucket.level = 0;
    account.was_primary = false;
    account.loans.clear();
  }
}

void LimitLender::StartDueAccounts(Timestamp now) {
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    Account& account = it->second;
    if (account.was_primary && now >= account.claimable_until) {
      account.bucket.level = 0;
    }
    const bool due = !account.settled && now >= account.settles_at;
    if (due && account.role == LenderRole::kNone) {
      it = accounts_.erase(it);
      continue;
    }
    if (due) {
      StartRefilling(account.settles_at, &account);
    }
    ++it;
  }
}

Duration LimitLender::NextRetry(Timestamp now, Account* account) const {
  const Duration token = TimeToToken(account->bucket, options_.max_retry_after);
  const double retries_per_second =
      std::max(kMinRetriesPerSecond, account->bucket.rate * kRetriesPerToken);
  const Duration interval(static_cast<int64_t>(1e6 / retries_per_second));
  account->last_retry = std::min(std::max(now + token, account->last_retry + interval),
                                 now + options_.max_retry_after);
  return account->last_retry - now;
}

LendResult LimitLender::Lend(Timestamp now, const AccountId& id, uint32_t wanted) {
  const auto it = accounts_.find(id);
  if (it == accounts_.end() || !Proven(now)) {
    return {};
  }
  Account& account = it->second;
  if (account.was_primary && now >= account.claimable_until) {
    account.bucket.level = 0;
  }
  Refill(&account.bucket, now);
  LendResult lent;
  lent.count = Take(&account.bucket, wanted);
  account.lent += lent.count;
  if (lent.count > 0) {
    lent.stage = wire::LimitStage::kGranted;
  } else if (account.settled) {
    lent.stage = wire::LimitStage::kExhausted;
  }
  if (account.settled && lent.count < wanted) {
    ++account.exhausted;
    lent.retry_after = NextRetry(now, &account);
  }
  return lent;
}

LendResult LimitLender::LendTo(Timestamp now, const AccountId& id, uint32_t wanted,
                               BorrowerId borrower) {
  const LendResult lent = Lend(now, id, wanted);
  if (lent.count > 0) {
    std::deque<Loan>& loans = accounts_.at(id).loans;
    const Duration loan = accounts_.at(id).terms.loan;
    while (!loans.empty() && now - loans.front().at > loan) {
      loans.pop_front();
    }
    loans.push_back({borrower, lent.count, now});
  }
  return lent;
}

void LimitLender::TakeBack(Timestamp now, const AccountId& id, uint32_t count,
                           BorrowerId borrower) {
  const auto it = accounts_.find(id);
  if (it == accounts_.end()) {
    return;
  }
  Account& account = it->second;
  for (Loan& loan : account.loans) {
    if (loan.borrower != borrower || now - loan.at > account.terms.loan) {
      continue;
    }
    const uint32_t back = std::min(count, loan.count);
    loan.count -= back;
    account.lent -= back;
    Refill(&account.bucket, now);
    account.bucket.level = std::min(account.bucket.cap, account.bucket.level + back);
    return;
  }
}

LendResult LimitLender::OnClaim(Timestamp now, const AccountId& id) {
  const auto it = accounts_.find(id);
  if (it == accounts_.end() || !Proven(now)) {
    return {};
  }
  Account& account = it->second;
  const bool refilling = account.settled && account.role == LenderRole::kPrimary;
  if (!refilling && !account.was_primary) {
    return {};
  }
  if (refilling) {
    StopRefilling(now, &account);
    account.next_claim = now + options_.claim_back_after;
  }
  const bool available = refilling || now < account.claimable_until;
  const uint32_t available_tokens =
      available ? Take(&account.bucket, std::numeric_limits<uint32_t>::max()) : 0;
  account.was_primary = false;
  account.bucket.level = 0;
  return {wire::LimitStage::kGranted, available_tokens, {}};
}

bool LimitLender::OnClaimAnswer(Timestamp now, const wire::LimitGrant& grant) {
  const auto found = claims_.find(grant.id);
  if (found == claims_.end()) {
    return false;
  }
  const Claim claim = found->second;
  claims_.erase(found);
  const auto it = accounts_.find(claim.account);
  const bool accepted = grant.stage == wire::LimitStage::kGranted &&
                        now - claim.sent <= options_.claim_timeout && it != accounts_.end() &&
                        it->second.role == LenderRole::kPrimary && !it->second.settled &&
                        Proven(now);
  if (accepted) {
    StartRefilling(now, &it->second);
    TokenBucket& bucket = it->second.bucket;
    bucket.level = std::min(bucket.cap, bucket.level + grant.granted);
  }
  return true;
}

std::vector<AccountClaim> LimitLender::Tick(Timestamp now, uint64_t* next_id) {
  std::erase_if(claims_,
                [&](const auto& item) { return now - item.second.sent > options_.claim_timeout; });
  std::vector<AccountClaim> claims;
  for (auto& [id, account] : accounts_) {
    const bool should_claim =
        account.role == LenderRole::kPrimary && !account.settled && Proven(now);
    if (!should_claim || now < account.next_claim) {
      continue;
    }
    account.next_claim = now + options_.claim_interval;
    for (const std::string& target : account.claim_targets) {
      wire::LimitRequest ask;
      ask.id = (*next_id)++;
      ask.tenant = id.tenant;
      ask.part = id.part;
      ask.claim = true;
      claims_[ask.id] = {id, now};
      claims.push_back({target, std::move(ask)});
    }
  }
  return claims;
}

Timestamp LimitLender::NextWake(Timestamp now) const {
  const bool settling = std::any_of(accounts_.begin(), accounts_.end(),
                                    [](const auto& item) { return !item.second.settled; });
  return now + (settling ? options_.claim_interval / 2 : Duration(Seconds(1)));
}

Duration LimitLender::LifetimeOf(const AccountId& account) const {
  const auto it = terms_.find(account);
  if (it == terms_.end()) {
    return Duration(0);
  }
  const auto loan = static_cast<double>(it->second.loan.count());
  return Duration(static_cast<int64_t>(loan * kUsablePart));
}

bool LimitLender::IsLender(const AccountId& account) const {
  const auto it = accounts_.find(account);
  return it != accounts_.end() && it->second.role != LenderRole::kNone;
}

std::vector<AccountStats> LimitLender::Stats() const {
  std::vector<AccountStats> figures;
  for (const auto& [id, account] : accounts_) {
    figures.push_back(
        {id, account.role, account.settled, account.bucket.level, account.lent, account.exhausted});
  }
  return figures;
}

}  // namespace pumicedyke::limits
