// Which further sub-requests RequestExecution may send: limited by the attempts that may have run,
// by the budget for extra sub-requests, and by its spending order where leafs refuse.
#include <algorithm>
#include <utility>
#include <vector>

#include "query/request_execution.h"

namespace pumicedyke::query {
namespace {

/// Fraction of the budget available to requests that were running when leafs crashed. One of them
/// may be the cause, and the budget that it uses is not available to other requests that lost a
/// leaf.
constexpr double kSuspectBudgetFraction = 0.5;

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

bool RequestExecution::IsCharged(SendKind kind) const {
  const bool budgeted =
      options_.naive_retry_timeout.count() == 0 && options_.fixed_hedge_delay.count() == 0;
  const bool extra =
      kind == SendKind::kExtra || (kind == SendKind::kReplacement && options_.charge_replacements);
  return budgeted && extra;
}

bool RequestExecution::TryChargeBudget(Timestamp now, const ShardProgress& shard,
                                       SendKind kind) const {
  return !IsCharged(kind) || BudgetOf(shard)->TrySpendFraction(now, BudgetFraction());
}

double RequestExecution::BudgetFraction() const {
  return options_.has_uncleared_losses ? kSuspectBudgetFraction : 1.0;
}

void RequestExecution::SetBudgetDenied(ShardProgress* shard, bool budget_denied) {
  if (shard->budget_denied != budget_denied) {
    shard->budget_denied = budget_denied;
    budget_denied_ += budget_denied ? 1 : -1;
  }
}

void RequestExecution::AbandonBudgetDenied() {
  if (budget_denied_ == 0 || covered_ + abandoned_ + budget_denied_ < shards_.size()) {
    return;
  }
  for (ShardProgress& shard : shards_) {
    if (shard.budget_denied) {
      ++abandoned_for_budget_;
      AbandonShard(&shard);
    }
  }
}

bool RequestExecution::MayAttemptAgain(const ShardProgress& shard) const {
  return plan_.max_attempts == 0 || PossibleRuns(shard) < plan_.max_attempts;
}

bool RequestExecution::RefusalLimitReached(const ShardProgress& shard) const {
  const auto attempts =
      std::count_if(shard.attempts.begin(), shard.attempts.end(),
                    [](const Attempt& attempt) { return !attempt.transient_refusal; });
  return plan_.max_attempts > 0 && static_cast<uint32_t>(attempts) >= plan_.max_attempts;
}

bool RequestExecution::LastRefusalTransient(const ShardProgress& shard) const {
  return !shard.attempts.empty() && shard.attempts.back().transient_refusal;
}

bool RequestExecution::AllReplicasRefuseOften(Timestamp now, const ShardProgress& shard) const {
  const auto& replicas = shard.shard.replicas;
  return std::all_of(replicas.begin(), replicas.end(), [&](const std::string& replica) {
    return context_.pool->RefusalRateOf(now, replica) >= kFrequentRefusalRate;
  });
}

bool RequestExecution::QualifiesForBudget(Timestamp now) {
  if (!qualifies_for_budget_.has_value()) {
    std::vector<double> remaining;
    for (const ShardProgress& shard : shards_) {
      if (AllReplicasRefuseOften(now, shard)) {
        remaining.push_back(BudgetOf(shard)->RemainingFraction(now));
      }
    }
    qualifies_for_budget_ =
        RankQualifies(options_.rank, std::move(remaining), options_.max_missing);
  }
  return *qualifies_for_budget_;
}

bool RequestExecution::ShouldRetryRefused(Timestamp now, const ShardProgress& shard) {
  // Some leaf of the shard does not refuse often.
  if (!AllReplicasRefuseOften(now, shard)) {
    return true;
  }
  const GatherProgress progress{options_.max_missing, shards_.size() - covered_};
  return QualifiesForBudget(now) &&
         ShouldReplace(progress, BudgetOf(shard)->RemainingFraction(now));
}

bool RequestExecution::MayHedge(Timestamp now, const ShardProgress& shard) const {
  if (!options_.retry_refusing_leafs) {
    return true;
  }
  const auto& replicas = shard.shard.replicas;
  const bool refusals =
      std::any_of(replicas.begin(), replicas.end(), [&](const std::string& replica) {
        return context_.pool->RefusalRateOf(now, replica) >= kFrequentRefusalRate;
      });
  return ShouldHedge(refusals, BudgetOf(shard)->RemainingFraction(now));
}

}  // namespace pumicedyke::query
