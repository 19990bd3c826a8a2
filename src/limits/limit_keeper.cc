#include "limits/limit_keeper.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace pumicedyke::limits {
namespace {

/// What is lent may be used for this part of the time that a loan counts, so that it can be given
/// back within the rest.
constexpr double kUsablePart = 0.75;
/// Those that are turned away are told to come back so many times as often as tokens come, so that
/// none is left for want of somebody who asks.
constexpr double kAskersPerToken = 4;
/// An account answers so many a second whatever its rate.
constexpr double kLeastAskers = 40;

}  // namespace

void LimitKeeper::Settle(Timestamp now, Account* account) {
  Refill(&account->bucket, now);
  account->settled = true;
  ++changes_;
  account->was_first = false;
  const bool first = account->role == KeeperRole::kFirst;
  account->bucket.rate = first ? account->terms.rate : account->terms.reserve_rate;
  account->bucket.cap = first ? account->terms.cap : account->terms.reserve_cap;
  account->bucket.level = std::min(account->bucket.level, account->bucket.cap);
}

void LimitKeeper::Unsettle(Timestamp now, Account* account) {
  Refill(&account->bucket, now);
  changes_ += account->settled ? 1 : 0;
  account->settled = false;
  account->settles_at = now + options_.settling;
  account->bucket.rate = 0;
  account->next_claim = now;
}

void LimitKeeper::SetTerms(Timestamp now, const std::map<AccountId, AccountTerms>& terms) {
  terms_ = terms;
  std::erase_if(accounts_, [&](const auto& item) { return !terms_.contains(item.first); });
  for (auto& [id, account] : accounts_) {
    const AccountTerms& changed = terms_.at(id);
    if (changed == account.terms) {
      continue;
    }
    account.terms = changed;
    account.last_slot = Timestamp{};
    Refill(&account.bucket, now);
    if (account.settled) {
      Settle(now, &account);
    } else {
      account.bucket.cap = std::max(changed.cap, changed.reserve_cap);
      account.bucket.level = std::min(account.bucket.level, account.bucket.cap);
    }
  }
}

void LimitKeeper::SetRole(Timestamp now, const AccountId& account, KeeperRole role,
                          std::vector<std::string> rivals) {
  const auto terms = terms_.find(account);
  const auto found = accounts_.find(account);
  if (terms == terms_.end() || (found == accounts_.end() && role == KeeperRole::kNone)) {
    return;
  }
  Account& kept = found == accounts_.end() ? accounts_[account] : found->second;
  if (found == accounts_.end()) {
    kept.terms = terms->second;
    kept.bucket = {0, std::max(kept.terms.cap, kept.terms.reserve_cap), 0, now};
  }
  kept.rivals = std::move(rivals);
  if (kept.role == role) {
    return;
  }
  if (kept.settled && kept.role == KeeperRole::kFirst) {
    kept.was_first = true;
    kept.kept_until = now + options_.kept_for_claim;
  }
  kept.role = role;
  ++changes_;
  if (MayResume(now, kept)) {
    Settle(now, &kept);
    return;
  }
  Unsettle(now, &kept);
  if (role == KeeperRole::kNone && !kept.was_first) {
    accounts_.erase(account);
  }
}

void LimitKeeper::OnProof(Timestamp now, Timestamp proven_at) {
  const bool lapsed = now - proven_at > options_.lease || proven_at - proven_at_ > options_.lease;
  proven_at_ = std::max(proven_at_, proven_at);
  if (!lapsed) {
    SettleDue(now);
    return;
  }
  for (auto& [id, account] : accounts_) {
    Unsettle(now, &account);
    account.bucket.level = 0;
    account.was_first = false;
    account.loans.clear();
  }
}

void LimitKeeper::SettleDue(Timestamp now) {
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    Account& account = it->second;
    if (account.was_first && now >= account.kept_until) {
      account.bucket.level = 0;
    }
    const bool due = !account.settled && now >= account.settles_at;
    if (due && account.role == KeeperRole::kNone) {
      it = accounts_.erase(it);
      continue;
    }
    if (due) {
      Settle(account.settles_at, &account);
    }
    ++it;
  }
}

Duration LimitKeeper::NextSlot(Timestamp now, Account* account) const {
  const Duration token = TimeToToken(account->bucket, options_.longest_retry);
  const double askers = std::max(kLeastAskers, account->bucket.rate * kAskersPerToken);
  const Duration apart(static_cast<int64_t>(1e6 / askers));
  account->last_slot =
      std::min(std::max(now + token, account->last_slot + apart), now + options_.longest_retry);
  return account->last_slot - now;
}

Lent LimitKeeper::Lend(Timestamp now, const AccountId& id, uint32_t wanted) {
  const auto it = accounts_.find(id);
  if (it == accounts_.end() || !Proven(now)) {
    return {};
  }
  Account& account = it->second;
  if (account.was_first && now >= account.kept_until) {
    account.bucket.level = 0;
  }
  Refill(&account.bucket, now);
  Lent lent;
  lent.count = Take(&account.bucket, wanted);
  account.lent += lent.count;
  if (lent.count > 0) {
    lent.stage = wire::LimitStage::kGranted;
  } else if (account.settled) {
    lent.stage = wire::LimitStage::kExhausted;
  }
  if (account.settled && lent.count < wanted) {
    ++account.exhausted;
    lent.retry_after = NextSlot(now, &account);
  }
  return lent;
}

Lent LimitKeeper::LendTo(Timestamp now, const AccountId& id, uint32_t wanted, Borrower borrower) {
  const Lent lent = Lend(now, id, wanted);
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

void LimitKeeper::TakeBack(Timestamp now, const AccountId& id, uint32_t count, Borrower borrower) {
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

Lent LimitKeeper::OnClaim(Timestamp now, const AccountId& id) {
  const auto it = accounts_.find(id);
  if (it == accounts_.end() || !Proven(now)) {
    return {};
  }
  Account& account = it->second;
  const bool filled = account.settled && account.role == KeeperRole::kFirst;
  if (!filled && !account.was_first) {
    return {};
  }
  if (filled) {
    Unsettle(now, &account);
    account.next_claim = now + options_.claim_back_after;
  }
  const bool kept = filled || now < account.kept_until;
  const uint32_t held = kept ? Take(&account.bucket, std::numeric_limits<uint32_t>::max()) : 0;
  account.was_first = false;
  account.bucket.level = 0;
  return {wire::LimitStage::kGranted, held, {}};
}

bool LimitKeeper::OnClaimAnswer(Timestamp now, const wire::LimitGrant& grant) {
  const auto found = claims_.find(grant.id);
  if (found == claims_.end()) {
    return false;
  }
  const Claim claim = found->second;
  claims_.erase(found);
  const auto it = accounts_.find(claim.account);
  const bool counts = grant.stage == wire::LimitStage::kGranted &&
                      now - claim.sent <= options_.claim_patience && it != accounts_.end() &&
                      it->second.role == KeeperRole::kFirst && !it->second.settled && Proven(now);
  if (counts) {
    Settle(now, &it->second);
    TokenBucket& bucket = it->second.bucket;
    bucket.level = std::min(bucket.cap, bucket.level + grant.granted);
  }
  return true;
}

std::vector<AccountClaim> LimitKeeper::Tick(Timestamp now, uint64_t* next_id) {
  std::erase_if(claims_,
                [&](const auto& item) { return now - item.second.sent > options_.claim_patience; });
  std::vector<AccountClaim> claims;
  for (auto& [id, account] : accounts_) {
    const bool claims_it = account.role == KeeperRole::kFirst && !account.settled && Proven(now);
    if (!claims_it || now < account.next_claim) {
      continue;
    }
    account.next_claim = now + options_.claim_interval;
    for (const std::string& rival : account.rivals) {
      wire::LimitAsk ask;
      ask.id = (*next_id)++;
      ask.tenant = id.tenant;
      ask.part = id.part;
      ask.claim = true;
      claims_[ask.id] = {id, now};
      claims.push_back({rival, std::move(ask)});
    }
  }
  return claims;
}

Timestamp LimitKeeper::NextWake(Timestamp now) const {
  const bool settling = std::any_of(accounts_.begin(), accounts_.end(),
                                    [](const auto& item) { return !item.second.settled; });
  return now + (settling ? options_.claim_interval / 2 : Duration(Seconds(1)));
}

Duration LimitKeeper::LifetimeOf(const AccountId& account) const {
  const auto it = terms_.find(account);
  if (it == terms_.end()) {
    return Duration(0);
  }
  const auto loan = static_cast<double>(it->second.loan.count());
  return Duration(static_cast<int64_t>(loan * kUsablePart));
}

bool LimitKeeper::Keeps(const AccountId& account) const {
  const auto it = accounts_.find(account);
  return it != accounts_.end() && it->second.role != KeeperRole::kNone;
}

std::vector<AccountFigures> LimitKeeper::Figures() const {
  std::vector<AccountFigures> figures;
  for (const auto& [id, account] : accounts_) {
    figures.push_back(
        {id, account.role, account.settled, account.bucket.level, account.lent, account.exhausted});
  }
  return figures;
}

}  // namespace pumicedyke::limits
