// What RequestExecution may send once more: by attempts that may have run, by the allowance of
// extra sub-requests, and by the order in which that is spent where leafs refuse.
#include <algorithm>
#include <utility>
#include <vector>

#include "query/request_execution.h"

namespace pumicedyke::query {
namespace {

/// Part of the allowance that requests may use which were there when leafs ended. One of them may
/// be what ends them, and what it spends is missing to all others that lose a leaf.
constexpr double kPartOfAccused = 0.5;

}  // namespace

uint32_t RequestExecution::PossibleRuns(const ShardProgress& shard) {
  return static_cast<uint32_t>(std::count_if(
      shard.attempts.begin(), shard.attempts.end(),
      [](const Attempt& attempt) { return attempt.state != AttemptState::kRefused; }));
}

balance::ExtraLoadLimit* RequestExecution::BudgetOf(const ShardProgress& shard) const {
  const auto index = static_cast<size_t>(&shard - shards_.data());
  return index < context_.shard_budgets.size() ? context_.shard_budgets[index] : context_.budget;
}

bool RequestExecution::MayPay(Timestamp now, const ShardProgress& shard, SendKind kind) const {
  const bool budgeted =
      options_.naive_retry_timeout.count() == 0 && options_.fixed_hedge_delay.count() == 0;
  const bool charged =
      kind == SendKind::kExtra || (kind == SendKind::kReplacement && options_.charge_replacements);
  const double part = options_.accused ? kPartOfAccused : 1.0;
  return !budgeted || !charged || BudgetOf(shard)->TrySpendPart(now, part);
}

void RequestExecution::SetUnpaid(ShardProgress* shard, bool unpaid) {
  if (shard->unpaid != unpaid) {
    shard->unpaid = unpaid;
    unpaid_ += unpaid ? 1 : -1;
  }
}

void RequestExecution::GiveUpUnpaid() {
  if (unpaid_ == 0 || covered_ + given_up_ + unpaid_ < shards_.size()) {
    return;
  }
  for (ShardProgress& shard : shards_) {
    if (shard.unpaid) {
      ++given_up_unpaid_;
      GiveUp(&shard);
    }
  }
}

bool RequestExecution::MayAttemptAgain(const ShardProgress& shard) const {
  return plan_.max_attempts == 0 || PossibleRuns(shard) < plan_.max_attempts;
}

bool RequestExecution::RefusedOften(const ShardProgress& shard) const {
  const auto counted = std::count_if(shard.attempts.begin(), shard.attempts.end(),
                                     [](const Attempt& attempt) { return !attempt.passing; });
  return plan_.max_attempts > 0 && static_cast<uint32_t>(counted) >= plan_.max_attempts;
}

bool RequestExecution::RefusedInPassing(const ShardProgress& shard) const {
  return !shard.attempts.empty() && shard.attempts.back().passing;
}

bool RequestExecution::RefusedEverywhere(Timestamp now, const ShardProgress& shard) const {
  const auto& replicas = shard.shard.replicas;
  return std::all_of(replicas.begin(), replicas.end(), [&](const std::string& replica) {
    return context_.pool->RefusalRateOf(now, replica) >= kFrequentRefusals;
  });
}

bool RequestExecution::IsPaidFor(Timestamp now) {
  if (!paid_for_.has_value()) {
    std::vector<double> left;
    for (const ShardProgress& shard : shards_) {
      if (RefusedEverywhere(now, shard)) {
        left.push_back(BudgetOf(shard)->PartLeft(now));
      }
    }
    paid_for_ = PaidFor(options_.rank, std::move(left), options_.may_miss);
  }
  return *paid_for_;
}

bool RequestExecution::WorthAskingAgain(Timestamp now, const ShardProgress& shard) {
  // Elsewhere a leaf is left that takes it.
  if (!RefusedEverywhere(now, shard)) {
    return true;
  }
  const GatherNeed need{options_.may_miss, shards_.size() - covered_};
  return IsPaidFor(now) && WorthReplacing(need, BudgetOf(shard)->PartLeft(now));
}

bool RequestExecution::WorthHedge(Timestamp now, const ShardProgress& shard) const {
  if (!options_.ask_refusing_again) {
    return true;
  }
  const auto& replicas = shard.shard.replicas;
  const bool refusals =
      std::any_of(replicas.begin(), replicas.end(), [&](const std::string& replica) {
        return context_.pool->RefusalRateOf(now, replica) >= kFrequentRefusals;
      });
  return WorthHedging(refusals, BudgetOf(shard)->PartLeft(now));
}

}  // namespace pumicedyke::query
