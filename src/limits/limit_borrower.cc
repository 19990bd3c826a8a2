#include "limits/limit_borrower.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace pumicedyke::limits {
namespace {

/// Share of the demand expected within the tokens' lifetime that is requested in advance.
constexpr double kPrefetchShare = 0.5;
/// Fractional part of the golden ratio: any number of its multiples, modulo 1, spread evenly over
/// the unit interval.
constexpr double kRetrySpreadStep = 0.6180339887498949;
/// Number of multiples at which gateways may start.
constexpr uint64_t kRetrySpreadOffsets = 1000000;
/// A reply that arrives later than this contains no tokens that may still be used.
constexpr Duration kReplyTimeout = Seconds(2);

/// Closes a limit request. The count may be zero: the tenant may have been removed and added again
/// since the request was sent.
template <typename TenantState>
void CloseRequest(TenantState* state) {
  state->open_requests -= std::min<size_t>(state->open_requests, 1);
}

double InSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

LimitBorrower::LimitBorrower(BorrowerOptions options, std::string node,
                             const LenderPlacement* placement, LimitLender* lender,
                             uint64_t* next_id)
    : options_(options),
      node_(std::move(node)),
      placement_(placement),
      lender_(lender),
      next_id_(next_id) {}

void LimitBorrower::SetTenants(const std::map<std::string, uint32_t>& parts) {
  parts_ = parts;
  for (auto it = tenants_.begin(); it != tenants_.end();) {
    const auto found = parts_.find(it->first);
    if (found != parts_.end()) {
      SetParts(found->second, &it->second);
      ++it;
      continue;
    }
    for (const RequestId id : it->second.queued) {
      output_.decisions.push_back({id, false, options_.default_retry_after});
    }
    it = tenants_.erase(it);
  }
}

void LimitBorrower::SetParts(uint32_t parts, TenantState* state) const {
  const uint64_t hash = XXH64(node_.data(), node_.size(), 0);
  state->parts = parts;
  state->preferred = static_cast<uint32_t>(hash % parts);
  state->exhausted_until.assign(parts, Timestamp{});
  if (state->refusals == 0) {
    state->refusals = hash % kRetrySpreadOffsets;
  }
}

LimitBorrower::TenantState* LimitBorrower::FindOrAddTenant(const std::string& tenant) {
  const auto parts = parts_.find(tenant);
  if (parts == parts_.end()) {
    return nullptr;
  }
  const auto [it, is_new] = tenants_.try_emplace(tenant);
  if (is_new) {
    SetParts(parts->second, &it->second);
  }
  return &it->second;
}

void LimitBorrower::RecordDemand(Timestamp now, TenantState* state) const {
  const double elapsed = InSeconds(now - state->demand_at) / InSeconds(options_.demand_window);
  state->demand = state->demand * std::exp(-std::max(0.0, elapsed)) + 1;
  state->demand_at = now;
}

bool LimitBorrower::TakeFromBatch(Timestamp now, TenantState* state) {
  for (Batch& batch : state->batches) {
    if (batch.count > 0 && now < batch.until) {
      --batch.count;
      return true;
    }
  }
  return false;
}

uint32_t LimitBorrower::PrefetchCount(const TenantState& state, const AccountId& account) const {
  const double per_second = state.demand / InSeconds(options_.demand_window);
  const double expected = per_second * InSeconds(lender_->LifetimeOf(account)) * kPrefetchShare;
  return std::min(options_.max_prefetch, static_cast<uint32_t>(std::max(0.0, expected)));
}

const LimitGateway* LimitBorrower::GatewayOf(const std::string& tenant, Candidate candidate) const {
  const Lenders lenders = placement_->Find({tenant, candidate.part});
  return candidate.reserve ? lenders.reserve : lenders.primary;
}

bool LimitBorrower::IsSuspected(Timestamp now, const LimitGateway& gateway) const {
  const auto it = suspected_until_.find(gateway.address);
  return it != suspected_until_.end() && now < it->second;
}

std::optional<LimitBorrower::Candidate> LimitBorrower::Next(Timestamp now,
                                                            const TokenSearch& search,
                                                            const TenantState& state) const {
  const auto tried = [&](const Tried& one) {
    return std::find(search.tried.begin(), search.tried.end(), one) != search.tried.end();
  };
  // The reserve is for accounts whose primary lender is unreachable; suspected gateways come last.
  for (const bool suspects : {false, true}) {
    for (const bool reserve : {false, true}) {
      for (uint32_t i = 0; i < state.parts; ++i) {
        const Candidate candidate{(state.preferred + i) % state.parts, reserve};
        const LimitGateway* gateway = GatewayOf(search.tenant, candidate);
        const bool exhausted = now < state.exhausted_until[candidate.part];
        if (gateway == nullptr || exhausted || tried({candidate.part, gateway->node})) {
          continue;
        }
        const bool local = gateway->node == node_;
        if (local || IsSuspected(now, *gateway) == suspects) {
          return candidate;
        }
      }
    }
  }
  return std::nullopt;
}

uint32_t LimitBorrower::GrantRequests(uint32_t count, TokenSearch* search) {
  const auto served = std::min<size_t>(count, search->requests.size());
  for (size_t i = 0; i < served; ++i) {
    output_.decisions.push_back({search->requests[i], true, {}});
  }
  search->requests.erase(search->requests.begin(),
                         search->requests.begin() + static_cast<long>(served));
  return count - static_cast<uint32_t>(served);
}

void LimitBorrower::RecordExhausted(Timestamp now, Candidate candidate, Duration retry_after,
                                    TokenSearch* search) {
  const auto it = tenants_.find(search->tenant);
  if (it == tenants_.end() || candidate.part >= it->second.parts) {
    return;
  }
  const Duration hold =
      candidate.reserve ? std::min(retry_after, options_.max_reserve_hold) : retry_after;
  it->second.exhausted_until[candidate.part] = now + hold;
  search->retry_after =
      search->retry_after.count() == 0 ? hold : std::min(search->retry_after, hold);
}

Duration LimitBorrower::RetryAfter(Timestamp now, TenantState* state, Duration hint) const {
  Duration soonest = hint;
  for (const Timestamp until : state->exhausted_until) {
    if (until > now) {
      soonest = soonest.count() == 0 ? until - now : std::min(soonest, until - now);
    }
  }
  soonest = std::max(soonest, options_.default_retry_after);
  const double position = static_cast<double>(++state->refusals) * kRetrySpreadStep;
  const double spread = (position - std::floor(position)) * static_cast<double>(soonest.count());
  return soonest + Duration(static_cast<int64_t>(spread));
}

void LimitBorrower::RefuseAll(Timestamp now, TokenSearch* search) {
  const auto it = tenants_.find(search->tenant);
  for (const RequestId id : search->requests) {
    const Duration retry_after = it == tenants_.end()
                                     ? options_.default_retry_after
                                     : RetryAfter(now, &it->second, search->retry_after);
    output_.decisions.push_back({id, false, retry_after});
  }
  search->requests.clear();
}

void LimitBorrower::Send(Timestamp now, TokenSearch search, Candidate candidate,
                         const LimitGateway& gateway) {
  TenantState& state = tenants_.at(search.tenant);
  const AccountId account{search.tenant, candidate.part};
  wire::LimitRequest ask;
  ask.id = (*next_id_)++;
  ask.tenant = search.tenant;
  ask.part = candidate.part;
  ask.wanted = static_cast<uint32_t>(search.requests.size()) +
               (candidate.reserve ? 0 : PrefetchCount(state, account));
  ++state.open_requests;
  ++search.requests_sent;
  due_.emplace(now + options_.lender_timeout, ask.id);
  pending_[ask.id] = {std::move(search), candidate, gateway.address, now, false};
  output_.requests.push_back({gateway.address, std::move(ask)});
}

void LimitBorrower::ContinueSearch(Timestamp now, TokenSearch search) {
  while (!search.requests.empty()) {
    const auto it = tenants_.find(search.tenant);
    const std::optional<Candidate> candidate =
        it == tenants_.end() ? std::nullopt : Next(now, search, it->second);
    if (!candidate.has_value() || search.requests_sent >= options_.max_lenders_tried) {
      RefuseAll(now, &search);
      return;
    }
    const LimitGateway* gateway = GatewayOf(search.tenant, *candidate);
    search.tried.push_back({candidate->part, gateway->node});
    if (gateway->node != node_) {
      Send(now, std::move(search), *candidate, *gateway);
      return;
    }
    const LendResult lent = lender_->Lend(now, {search.tenant, candidate->part},
                                          static_cast<uint32_t>(search.requests.size()));
    GrantRequests(lent.count, &search);
    if (lent.retry_after.count() > 0) {
      RecordExhausted(now, *candidate, lent.retry_after, &search);
    }
  }
}

LimitResult LimitBorrower::Admit(Timestamp now, RequestId id, const std::string& tenant) {
  TenantState* found = FindOrAddTenant(tenant);
  if (found == nullptr) {
    return {LimitStatus::kRefused, options_.default_retry_after};
  }
  TenantState& state = *found;
  RecordDemand(now, &state);
  if (TakeFromBatch(now, &state)) {
    return {};
  }
  const bool exhausted = std::all_of(state.exhausted_until.begin(), state.exhausted_until.end(),
                                     [&](Timestamp until) { return now < until; });
  if (exhausted || state.queued.size() >= options_.max_queued) {
    return {LimitStatus::kRefused, RetryAfter(now, &state, {})};
  }
  if (state.open_requests >= options_.max_open_requests) {
    state.queued.push_back(id);
    return {LimitStatus::kWaiting, {}};
  }
  ContinueSearch(now, {tenant, {id}, {}, 0, {}});
  if (output_.decisions.empty() || output_.decisions.back().id != id) {
    return {LimitStatus::kWaiting, {}};
  }
  const LimitDecision decision = output_.decisions.back();
  output_.decisions.pop_back();
  return {decision.granted ? LimitStatus::kGranted : LimitStatus::kRefused, decision.retry_after};
}

void LimitBorrower::Withdraw(RequestId id) {
  for (auto& [request_id, request] : pending_) {
    std::erase(request.search.requests, id);
  }
  for (auto& [tenant, state] : tenants_) {
    std::erase(state.queued, id);
  }
}

void LimitBorrower::SearchForQueued(Timestamp now, const std::string& tenant) {
  const auto it = tenants_.find(tenant);
  if (it == tenants_.end() || it->second.queued.empty() ||
      it->second.open_requests >= options_.max_open_requests) {
    return;
  }
  TokenSearch search{tenant, {}, {}, 0, {}};
  for (const RequestId id : std::exchange(it->second.queued, {})) {
    if (TakeFromBatch(now, &it->second)) {
      output_.decisions.push_back({id, true, {}});
    } else {
      search.requests.push_back(id);
    }
  }
  ContinueSearch(now, std::move(search));
}

void LimitBorrower::OnGrant(Timestamp now, const wire::LimitGrant& grant) {
  const auto found = pending_.find(grant.id);
  if (found == pending_.end()) {
    return;
  }
  PendingRequest request = std::move(found->second);
  pending_.erase(found);
  suspected_until_.erase(request.address);
  const auto it = tenants_.find(request.search.tenant);
  if (it == tenants_.end()) {
    RefuseAll(now, &request.search);
    return;
  }
  TenantState& state = it->second;
  if (!request.abandoned) {
    CloseRequest(&state);
  }
  const Timestamp until = request.sent + grant.lifetime;
  if (grant.stage == wire::LimitStage::kGranted && now < until) {
    const uint32_t left = GrantRequests(grant.granted, &request.search);
    if (left > 0) {
      state.batches.push_back({grant.id, request.candidate.part, request.address, left, until});
      expiring_.emplace(until, request.search.tenant);
    }
  }
  if (grant.retry_after.count() > 0) {
    RecordExhausted(now, request.candidate, grant.retry_after, &request.search);
  }
  const std::string tenant = request.search.tenant;
  ContinueSearch(now, std::move(request.search));
  SearchForQueued(now, tenant);
}

void LimitBorrower::Abandon(Timestamp now, uint64_t id) {
  PendingRequest& request = pending_.at(id);
  request.abandoned = true;
  suspected_until_[request.address] = now + options_.suspicion;
  due_.emplace(request.sent + kReplyTimeout, id);
  const std::string tenant = request.search.tenant;
  const auto it = tenants_.find(tenant);
  if (it != tenants_.end()) {
    CloseRequest(&it->second);
  }
  TokenSearch search = request.search;
  request.search.requests.clear();
  ContinueSearch(now, std::move(search));
  SearchForQueued(now, tenant);
}

void LimitBorrower::OnGatewayLost(Timestamp now, const std::string& address) {
  suspected_until_[address] = now + options_.suspicion;
  std::vector<uint64_t> lost;
  for (const auto& [id, request] : pending_) {
    if (request.address == address && !request.abandoned) {
      lost.push_back(id);
    }
  }
  for (const uint64_t id : lost) {
    Abandon(now, id);
  }
}

void LimitBorrower::ReturnTokens(const Batch& batch, const std::string& tenant) {
  wire::LimitRequest ask;
  ask.id = (*next_id_)++;
  ask.tenant = tenant;
  ask.part = batch.part;
  ask.returned = batch.count;
  ask.returned_of = batch.request;
  output_.requests.push_back({batch.address, std::move(ask)});
}

void LimitBorrower::ReturnExpired(Timestamp now) {
  while (!expiring_.empty() && expiring_.begin()->first <= now) {
    const std::string tenant = expiring_.begin()->second;
    expiring_.erase(expiring_.begin());
    const auto it = tenants_.find(tenant);
    if (it == tenants_.end()) {
      continue;
    }
    std::erase_if(it->second.batches, [&](const Batch& batch) {
      if (batch.count > 0 && batch.until <= now) {
        ReturnTokens(batch, tenant);
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
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
      continue;
    }
    if (!found->second.abandoned) {
      Abandon(now, id);
    } else if (now >= found->second.sent + kReplyTimeout) {
      pending_.erase(found);
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
  std::move(output_.requests.begin(), output_.requests.end(), std::back_inserter(output->requests));
  output_ = {};
}

}  // namespace pumicedyke::limits
