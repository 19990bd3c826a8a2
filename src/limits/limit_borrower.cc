#include "limits/limit_borrower.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace pumicedyke::limits {
namespace {

/// Tokens for this part of what is expected within their lifetime are asked for ahead.
constexpr double kAheadPart = 0.5;
/// Of the golden ratio: its multiples spread evenly over the unit interval, however many are taken.
constexpr double kSpread = 0.6180339887498949;
/// Gateways begin at different multiples.
constexpr uint64_t kSpreadStarts = 1000000;
/// An answer that comes this long after its question brings nothing that may still be used.
constexpr Duration kAnswersCount = Seconds(2);

/// A tenant may have gone and come again since the question was sent.
template <typename Borrowing>
void Close(Borrowing* borrowing) {
  borrowing->open -= std::min<size_t>(borrowing->open, 1);
}

double InSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

LimitBorrower::LimitBorrower(BorrowerOptions options, std::string node,
                             const KeeperPlacement* placement, LimitKeeper* keeper,
                             uint64_t* next_id)
    : options_(options),
      node_(std::move(node)),
      placement_(placement),
      keeper_(keeper),
      next_id_(next_id) {}

void LimitBorrower::SetTenants(const std::map<std::string, uint32_t>& parts) {
  parts_ = parts;
  for (auto it = borrowings_.begin(); it != borrowings_.end();) {
    const auto found = parts_.find(it->first);
    if (found != parts_.end()) {
      Cut(found->second, &it->second);
      ++it;
      continue;
    }
    for (const RequestId id : it->second.queued) {
      output_.decisions.push_back({id, false, options_.unknown_retry});
    }
    it = borrowings_.erase(it);
  }
}

void LimitBorrower::Cut(uint32_t parts, Borrowing* borrowing) const {
  const uint64_t hash = XXH64(node_.data(), node_.size(), 0);
  borrowing->parts = parts;
  borrowing->preferred = static_cast<uint32_t>(hash % parts);
  borrowing->spent_until.assign(parts, Timestamp{});
  if (borrowing->refusals == 0) {
    borrowing->refusals = hash % kSpreadStarts;
  }
}

LimitBorrower::Borrowing* LimitBorrower::BorrowingOf(const std::string& tenant) {
  const auto parts = parts_.find(tenant);
  if (parts == parts_.end()) {
    return nullptr;
  }
  const auto [it, is_new] = borrowings_.try_emplace(tenant);
  if (is_new) {
    Cut(parts->second, &it->second);
  }
  return &it->second;
}

void LimitBorrower::NoteDemand(Timestamp now, Borrowing* borrowing) const {
  const double passed = InSeconds(now - borrowing->demand_at) / InSeconds(options_.demand_window);
  borrowing->demand = borrowing->demand * std::exp(-std::max(0.0, passed)) + 1;
  borrowing->demand_at = now;
}

bool LimitBorrower::UseBatch(Timestamp now, Borrowing* borrowing) {
  for (Batch& batch : borrowing->batches) {
    if (batch.count > 0 && now < batch.until) {
      --batch.count;
      return true;
    }
  }
  return false;
}

uint32_t LimitBorrower::Ahead(const Borrowing& borrowing, const AccountId& account) const {
  const double a_second = borrowing.demand / InSeconds(options_.demand_window);
  const double expected = a_second * InSeconds(keeper_->LifetimeOf(account)) * kAheadPart;
  return std::min(options_.max_ahead, static_cast<uint32_t>(std::max(0.0, expected)));
}

const LimitGateway* LimitBorrower::GatewayOf(const std::string& tenant, Candidate candidate) const {
  const Keepers keepers = placement_->Find({tenant, candidate.part});
  return candidate.second ? keepers.second : keepers.first;
}

bool LimitBorrower::Suspected(Timestamp now, const LimitGateway& gateway) const {
  const auto it = suspected_until_.find(gateway.address);
  return it != suspected_until_.end() && now < it->second;
}

std::optional<LimitBorrower::Candidate> LimitBorrower::Next(Timestamp now, const Pursuit& pursuit,
                                                            const Borrowing& borrowing) const {
  const auto tried = [&](const Tried& one) {
    return std::find(pursuit.tried.begin(), pursuit.tried.end(), one) != pursuit.tried.end();
  };
  // The reserve is for accounts whose keeper cannot be had; suspects come last.
  for (const bool suspects : {false, true}) {
    for (const bool second : {false, true}) {
      for (uint32_t i = 0; i < borrowing.parts; ++i) {
        const Candidate candidate{(borrowing.preferred + i) % borrowing.parts, second};
        const LimitGateway* gateway = GatewayOf(pursuit.tenant, candidate);
        const bool spent = now < borrowing.spent_until[candidate.part];
        if (gateway == nullptr || spent || tried({candidate.part, gateway->node})) {
          continue;
        }
        const bool local = gateway->node == node_;
        if (local || Suspected(now, *gateway) == suspects) {
          return candidate;
        }
      }
    }
  }
  return std::nullopt;
}

uint32_t LimitBorrower::Spend(uint32_t count, Pursuit* pursuit) {
  const auto served = std::min<size_t>(count, pursuit->requests.size());
  for (size_t i = 0; i < served; ++i) {
    output_.decisions.push_back({pursuit->requests[i], true, {}});
  }
  pursuit->requests.erase(pursuit->requests.begin(),
                          pursuit->requests.begin() + static_cast<long>(served));
  return count - static_cast<uint32_t>(served);
}

void LimitBorrower::NoteSpent(Timestamp now, Candidate candidate, Duration retry_after,
                              Pursuit* pursuit) {
  const auto it = borrowings_.find(pursuit->tenant);
  if (it == borrowings_.end() || candidate.part >= it->second.parts) {
    return;
  }
  const Duration holds =
      candidate.second ? std::min(retry_after, options_.longest_without_keeper) : retry_after;
  it->second.spent_until[candidate.part] = now + holds;
  pursuit->retry_after =
      pursuit->retry_after.count() == 0 ? holds : std::min(pursuit->retry_after, holds);
}

Duration LimitBorrower::RetryAfter(Timestamp now, Borrowing* borrowing, Duration hint) const {
  Duration soonest = hint;
  for (const Timestamp until : borrowing->spent_until) {
    if (until > now) {
      soonest = soonest.count() == 0 ? until - now : std::min(soonest, until - now);
    }
  }
  soonest = std::max(soonest, options_.unknown_retry);
  const double turn = static_cast<double>(++borrowing->refusals) * kSpread;
  const double spread = (turn - std::floor(turn)) * static_cast<double>(soonest.count());
  return soonest + Duration(static_cast<int64_t>(spread));
}

void LimitBorrower::RefuseAll(Timestamp now, Pursuit* pursuit) {
  const auto it = borrowings_.find(pursuit->tenant);
  for (const RequestId id : pursuit->requests) {
    const Duration retry_after = it == borrowings_.end()
                                     ? options_.unknown_retry
                                     : RetryAfter(now, &it->second, pursuit->retry_after);
    output_.decisions.push_back({id, false, retry_after});
  }
  pursuit->requests.clear();
}

void LimitBorrower::Send(Timestamp now, Pursuit pursuit, Candidate candidate,
                         const LimitGateway& gateway) {
  Borrowing& borrowing = borrowings_.at(pursuit.tenant);
  const AccountId account{pursuit.tenant, candidate.part};
  wire::LimitAsk ask;
  ask.id = (*next_id_)++;
  ask.tenant = pursuit.tenant;
  ask.part = candidate.part;
  ask.wanted = static_cast<uint32_t>(pursuit.requests.size()) +
               (candidate.second ? 0 : Ahead(borrowing, account));
  ++borrowing.open;
  ++pursuit.questions;
  due_.emplace(now + options_.patience, ask.id);
  questions_[ask.id] = {std::move(pursuit), candidate, gateway.address, now, false};
  output_.questions.push_back({gateway.address, std::move(ask)});
}

void LimitBorrower::Pursue(Timestamp now, Pursuit pursuit) {
  while (!pursuit.requests.empty()) {
    const auto it = borrowings_.find(pursuit.tenant);
    const std::optional<Candidate> candidate =
        it == borrowings_.end() ? std::nullopt : Next(now, pursuit, it->second);
    if (!candidate.has_value() || pursuit.questions >= options_.max_questions) {
      RefuseAll(now, &pursuit);
      return;
    }
    const LimitGateway* gateway = GatewayOf(pursuit.tenant, *candidate);
    pursuit.tried.push_back({candidate->part, gateway->node});
    if (gateway->node != node_) {
      Send(now, std::move(pursuit), *candidate, *gateway);
      return;
    }
    const Lent lent = keeper_->Lend(now, {pursuit.tenant, candidate->part},
                                    static_cast<uint32_t>(pursuit.requests.size()));
    Spend(lent.count, &pursuit);
    if (lent.retry_after.count() > 0) {
      NoteSpent(now, *candidate, lent.retry_after, &pursuit);
    }
  }
}

LimitAnswer LimitBorrower::Admit(Timestamp now, RequestId id, const std::string& tenant) {
  Borrowing* found = BorrowingOf(tenant);
  if (found == nullptr) {
    return {LimitVerdict::kRefused, options_.unknown_retry};
  }
  Borrowing& borrowing = *found;
  NoteDemand(now, &borrowing);
  if (UseBatch(now, &borrowing)) {
    return {};
  }
  const bool spent = std::all_of(borrowing.spent_until.begin(), borrowing.spent_until.end(),
                                 [&](Timestamp until) { return now < until; });
  if (spent || borrowing.queued.size() >= options_.max_queued) {
    return {LimitVerdict::kRefused, RetryAfter(now, &borrowing, {})};
  }
  if (borrowing.open >= options_.max_open) {
    borrowing.queued.push_back(id);
    return {LimitVerdict::kWaiting, {}};
  }
  Pursue(now, {tenant, {id}, {}, 0, {}});
  if (output_.decisions.empty() || output_.decisions.back().id != id) {
    return {LimitVerdict::kWaiting, {}};
  }
  const LimitDecision decision = output_.decisions.back();
  output_.decisions.pop_back();
  return {decision.granted ? LimitVerdict::kGranted : LimitVerdict::kRefused, decision.retry_after};
}

void LimitBorrower::Withdraw(RequestId id) {
  for (auto& [question_id, question] : questions_) {
    std::erase(question.pursuit.requests, id);
  }
  for (auto& [tenant, borrowing] : borrowings_) {
    std::erase(borrowing.queued, id);
  }
}

void LimitBorrower::PursueQueued(Timestamp now, const std::string& tenant) {
  const auto it = borrowings_.find(tenant);
  if (it == borrowings_.end() || it->second.queued.empty() ||
      it->second.open >= options_.max_open) {
    return;
  }
  Pursuit pursuit{tenant, {}, {}, 0, {}};
  for (const RequestId id : std::exchange(it->second.queued, {})) {
    if (UseBatch(now, &it->second)) {
      output_.decisions.push_back({id, true, {}});
    } else {
      pursuit.requests.push_back(id);
    }
  }
  Pursue(now, std::move(pursuit));
}

void LimitBorrower::OnGrant(Timestamp now, const wire::LimitGrant& grant) {
  const auto found = questions_.find(grant.id);
  if (found == questions_.end()) {
    return;
  }
  Question question = std::move(found->second);
  questions_.erase(found);
  suspected_until_.erase(question.address);
  const auto it = borrowings_.find(question.pursuit.tenant);
  if (it == borrowings_.end()) {
    RefuseAll(now, &question.pursuit);
    return;
  }
  Borrowing& borrowing = it->second;
  if (!question.given_up) {
    Close(&borrowing);
  }
  const Timestamp until = question.sent + grant.lifetime;
  if (grant.stage == wire::LimitStage::kGranted && now < until) {
    const uint32_t left = Spend(grant.granted, &question.pursuit);
    if (left > 0) {
      borrowing.batches.push_back(
          {grant.id, question.candidate.part, question.address, left, until});
      expiring_.emplace(until, question.pursuit.tenant);
    }
  }
  if (grant.retry_after.count() > 0) {
    NoteSpent(now, question.candidate, grant.retry_after, &question.pursuit);
  }
  const std::string tenant = question.pursuit.tenant;
  Pursue(now, std::move(question.pursuit));
  PursueQueued(now, tenant);
}

void LimitBorrower::GiveUp(Timestamp now, uint64_t id) {
  Question& question = questions_.at(id);
  question.given_up = true;
  suspected_until_[question.address] = now + options_.suspicion;
  due_.emplace(question.sent + kAnswersCount, id);
  const std::string tenant = question.pursuit.tenant;
  const auto it = borrowings_.find(tenant);
  if (it != borrowings_.end()) {
    Close(&it->second);
  }
  Pursuit pursuit = question.pursuit;
  question.pursuit.requests.clear();
  Pursue(now, std::move(pursuit));
  PursueQueued(now, tenant);
}

void LimitBorrower::OnGatewayLost(Timestamp now, const std::string& address) {
  suspected_until_[address] = now + options_.suspicion;
  std::vector<uint64_t> lost;
  for (const auto& [id, question] : questions_) {
    if (question.address == address && !question.given_up) {
      lost.push_back(id);
    }
  }
  for (const uint64_t id : lost) {
    GiveUp(now, id);
  }
}

void LimitBorrower::GiveBack(const Batch& batch, const std::string& tenant) {
  wire::LimitAsk ask;
  ask.id = (*next_id_)++;
  ask.tenant = tenant;
  ask.part = batch.part;
  ask.returned = batch.count;
  ask.returned_of = batch.question;
  output_.questions.push_back({batch.address, std::move(ask)});
}

void LimitBorrower::ReturnExpired(Timestamp now) {
  while (!expiring_.empty() && expiring_.begin()->first <= now) {
    const std::string tenant = expiring_.begin()->second;
    expiring_.erase(expiring_.begin());
    const auto it = borrowings_.find(tenant);
    if (it == borrowings_.end()) {
      continue;
    }
    std::erase_if(it->second.batches, [&](const Batch& batch) {
      if (batch.count > 0 && batch.until <= now) {
        GiveBack(batch, tenant);
      }
      return batch.count == 0 || batch.until <= now;
    });
  }
}

void LimitBorrower::Tick(Timestamp now) {
  ReturnExpired(now);
  while (!due_.empty() && due_.begin()->first <= now) {
    const uint64_t id = due_.begin()->second;
    due_.erase(due_.begin());
    const auto found = questions_.find(id);
    if (found == questions_.end()) {
      continue;
    }
    if (!found->second.given_up) {
      GiveUp(now, id);
    } else if (now >= found->second.sent + kAnswersCount) {
      questions_.erase(found);
    }
  }
  std::erase_if(suspected_until_, [&](const auto& item) { return item.second <= now; });
}

Timestamp LimitBorrower::NextWake(Timestamp now) const {
  Timestamp wake = now + Seconds(1);
  if (!due_.empty()) {
    wake = std::min(wake, due_.begin()->first);
  }
  if (!expiring_.empty()) {
    wake = std::min(wake, expiring_.begin()->first);
  }
  return wake;
}

void LimitBorrower::CollectInto(LimitOutput* output) {
  std::move(output_.decisions.begin(), output_.decisions.end(),
            std::back_inserter(output->decisions));
  std::move(output_.questions.begin(), output_.questions.end(),
            std::back_inserter(output->questions));
  output_ = {};
}

}  // namespace pumicedyke::limits
