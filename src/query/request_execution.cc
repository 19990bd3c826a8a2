#include "query/request_execution.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::query {
namespace {

/// Fraction of the deadline after which a restart on another snapshot is no longer worthwhile.
constexpr double kRestartWindow = 0.5;
/// Maximum number of rounds over the replicas of a shard when they refuse; the pause between rounds
/// grows.
constexpr int kMaxRounds = 8;
constexpr Duration kInitialRoundPause = Milliseconds(2);
constexpr Duration kMaxRoundPause = Milliseconds(32);
constexpr double kMedian = 0.5;
/// How long a request waits for a leaf while its process stops.
constexpr Duration kMaxWaitWhileStopping = Milliseconds(500);
/// After a failure another leaf is waited for at least this long: a busy one may become free.
constexpr Duration kMinRetryWait = Milliseconds(50);
/// Fraction of the extra-load budget that hedges may use in normal operation.
constexpr double kHedgeShare = 0.25;

MissingReason ReasonOf(LeafStatus status) {
  switch (status) {
    case LeafStatus::kSnapshotNotHeld:
    case LeafStatus::kNotOwner:
      return MissingReason::kSnapshotNotHeld;
    case LeafStatus::kShed:
      return MissingReason::kShed;
    case LeafStatus::kDraining:
      return MissingReason::kLeaving;
    case LeafStatus::kNotSent:
    case LeafStatus::kFailed:
      return MissingReason::kUnreachable;
    default:
      return MissingReason::kTimeout;
  }
}

}  // namespace

RequestExecution::RequestExecution(CallerRequest request, policy::QueryPlan plan,
                                   policy::PolicyProgram* program,
                                   std::shared_ptr<const config::Service> service,
                                   const config::PublishedSnapshot& snapshot,
                                   ServiceContext context, ExecutionOptions options, Timestamp now)
    : request_(std::move(request)),
      plan_(plan),
      program_(program),
      service_(std::move(service)),
      context_(std::move(context)),
      options_(options),
      started_(now),
      deadline_(now + plan.deadline),
      idle_since_(now) {
  PinSnapshot(snapshot);
}

RequestExecution::~RequestExecution() {
  for (ShardProgress& shard : shards_) {
    SetWaiting(&shard, false);
  }
}

bool RequestExecution::IsRequested(ShardId id) const {
  const auto& wanted = request_.shards;
  return wanted.empty() || std::find(wanted.begin(), wanted.end(), id) != wanted.end();
}

void RequestExecution::PinSnapshot(const config::PublishedSnapshot& snapshot) {
  snapshot_id_ = snapshot.id;
  shards_.clear();
  shard_of_.clear();
  covered_ = 0;
  abandoned_ = 0;
  budget_denied_ = 0;
  running_ = 0;
  snapshot_unavailable_ = false;
  for (const config::Shard& shard : snapshot.shards) {
    if (IsRequested(shard.id)) {
      ShardProgress& progress = shards_.emplace_back();
      progress.shard = shard;
    }
  }
}

void RequestExecution::Restart(Timestamp now, std::shared_ptr<const config::Service> service,
                               const config::PublishedSnapshot& snapshot) {
  AbandonAll(now, /*timed_out=*/false);
  idle_since_ = idle_since_.value_or(now);
  for (ShardProgress& shard : shards_) {
    SetWaiting(&shard, false);
  }
  // Sub-requests for the previous snapshot ran or may have run.
  run_before_restart_ = CurrentRunState();
  service_ = std::move(service);
  restarted_ = true;
  needs_other_snapshot_ = false;
  PinSnapshot(snapshot);
  Advance(now);
}

void RequestExecution::DeclineRestart(Timestamp now) {
  restarted_ = true;
  needs_other_snapshot_ = false;
  Advance(now);
}

void RequestExecution::SetWaiting(ShardProgress* shard, bool waiting) {
  if (shard->waiting != waiting) {
    shard->waiting = waiting;
    context_.pool->AddWaiting(shard->shard.replicas, waiting ? 1 : -1);
  }
}

size_t RequestExecution::ActiveAttempts(const ShardProgress& shard) const {
  return static_cast<size_t>(std::count_if(
      shard.attempts.begin(), shard.attempts.end(),
      [](const Attempt& attempt) { return attempt.state == AttemptState::kPossiblyRunning; }));
}

void RequestExecution::EndAttempt(Timestamp now, Attempt* attempt, AttemptState state) {
  if (attempt->state == AttemptState::kPossiblyRunning && --running_ == 0) {
    idle_since_ = now;
  }
  attempt->state = state;
  attempt->ended = now;
}

Duration RequestExecution::WaitedAt(Timestamp now) const {
  return waited_ + (idle_since_.has_value() ? now - *idle_since_ : Duration(0));
}

void RequestExecution::AbandonShard(ShardProgress* shard) {
  shard->abandoned = true;
  ++abandoned_;
  snapshot_unavailable_ |= shard->not_held >= shard->shard.replicas.size();
  SetWaiting(shard, false);
  SetBudgetDenied(shard, false);
  if (options_.report_shard_results) {
    new_missing_shards_.push_back({shard->shard.id, shard->reason});
  }
}

void RequestExecution::Advance(Timestamp now) {
  if (answered_ || needs_other_snapshot_) {
    return;
  }
  wake_ = deadline_;
  LimitProbation(now);
  if (sent_ == 0 && now < deadline_) {
    AbandonShardsWithoutLeafs(now);
    Evaluate(now);
    if (answered_ || needs_other_snapshot_) {
      return;
    }
  }
  for (ShardProgress& shard : shards_) {
    AdvanceShard(now, &shard);
    wake_ = std::min(wake_, ShardWake(now, shard));
  }
  Evaluate(now);
}

void RequestExecution::AbandonShardsWithoutLeafs(Timestamp now) {
  for (ShardProgress& shard : shards_) {
    if (!shard.abandoned && NoLeafInTime(now, shard)) {
      AbandonUnreachable(now, &shard);
    }
  }
}

void RequestExecution::AdvanceShard(Timestamp now, ShardProgress* shard) {
  if (shard->covered || shard->abandoned || now >= deadline_) {
    return;
  }
  if (FailedProbation()) {
    if (ActiveAttempts(*shard) == 0) {
      AbandonShard(shard);
    }
  } else if (ActiveAttempts(*shard) == 0) {
    SendPrimaryOrRetry(now, shard);
  } else if (options_.naive_retry_timeout.count() > 0) {
    MaybeNaiveRetry(now, shard);
  } else if (plan_.hedge && plan_.repeatable) {
    MaybeHedge(now, shard);
  }
}

bool RequestExecution::AllReplicasTriedOrLeaving(Timestamp now, const ShardProgress& shard) const {
  const auto& replicas = shard.shard.replicas;
  return std::all_of(replicas.begin(), replicas.end(), [&](const std::string& replica) {
    return shard.tried.contains(replica) ||
           context_.pool->AvailabilityOf(replica, now) == balance::Availability::kLeaving;
  });
}

void RequestExecution::OnStopping(Timestamp now, Timestamp answer_by) {
  if (answer_by < deadline_) {
    deadline_ = answer_by;
    deadline_code_ = ResultCode::kShuttingDown;
  }
  wait_limit_ = now + kMaxWaitWhileStopping;
}

Timestamp RequestExecution::WaitLimit(const ShardProgress& shard) const {
  Timestamp limit = deadline_;
  // Nobody else continues what was begun here, or what is merged for another process. The state of
  // all shards is looked at only while the process stops.
  const bool others_may_serve = wait_limit_ < limit && !options_.report_shard_results &&
                                CurrentRunState() == RunState::kNotRun;
  if (others_may_serve) {
    limit = wait_limit_;
  }
  if (options_.limit_retry_wait && PossibleRuns(shard) > 0) {
    const Timestamp failed = shard.attempts.back().ended.value_or(started_);
    const Duration usual = std::max(ExpectedLatency(), kMinRetryWait);
    limit = std::min(limit, std::max(started_ + plan_.wait, failed + usual));
  }
  return limit;
}

bool RequestExecution::NoLeafInTime(Timestamp now, const ShardProgress& shard) const {
  const Timestamp limit = WaitLimit(shard);
  const bool try_again = MayTryReplicasAgain(shard);
  const auto& replicas = shard.shard.replicas;
  return std::none_of(replicas.begin(), replicas.end(), [&](const std::string& replica) {
    const bool may_try = try_again || !shard.tried.contains(replica);
    return may_try &&
           (context_.pool->AvailableFrom(replica, now) < limit ||
            context_.pool->AvailabilityOf(replica, now) == balance::Availability::kReady);
  });
}

void RequestExecution::AbandonUnreachable(Timestamp now, ShardProgress* shard) {
  if (shard->attempts.empty()) {
    const auto& replicas = shard->shard.replicas;
    const bool all_leave =
        std::all_of(replicas.begin(), replicas.end(), [&](const std::string& replica) {
          return context_.pool->AvailableFrom(replica, now) == Timestamp::max();
        });
    shard->reason = all_leave ? MissingReason::kLeaving : MissingReason::kUnreachable;
  }
  AbandonShard(shard);
}

bool RequestExecution::AnyUntriedReady(Timestamp now, const ShardProgress& shard) const {
  const auto& replicas = shard.shard.replicas;
  return std::any_of(replicas.begin(), replicas.end(), [&](const std::string& replica) {
    return !shard.tried.contains(replica) &&
           context_.pool->AvailabilityOf(replica, now) == balance::Availability::kReady;
  });
}

bool RequestExecution::MayTryReplicasAgain(const ShardProgress& shard) const {
  // Shedding is transient, and a lost connection may be. A leaf that does not hold the snapshot
  // will not hold it soon.
  const bool transient =
      shard.reason == MissingReason::kShed || shard.reason == MissingReason::kUnreachable;
  return transient && shard.rounds < kMaxRounds;
}

bool RequestExecution::IsHeld(const ShardProgress& shard) const {
  return options_.hold_attempts && PossibleRuns(shard) > 0;
}

void RequestExecution::ReleaseAttempts(Timestamp now) {
  options_.hold_attempts = false;
  Advance(now);
}

void RequestExecution::SendPrimaryOrRetry(Timestamp now, ShardProgress* shard) {
  SetBudgetDenied(shard, false);
  if (IsHeld(*shard)) {
    return;
  }
  const bool all_refused =
      std::all_of(shard->attempts.begin(), shard->attempts.end(),
                  [](const Attempt& attempt) { return attempt.state == AttemptState::kRefused; });
  // Unrepeatable work may only be retried if all earlier attempts provably never started.
  const bool may_follow = plan_.repeatable || all_refused;
  // Beyond the maximum number of attempts, another leaf is tried only if one is ready, so that the
  // caller is not kept waiting.
  const bool no_leaf_ready = RefusalLimitReached(*shard) && !AnyUntriedReady(now, *shard);
  if (!may_follow || !MayAttemptAgain(*shard) || no_leaf_ready) {
    AbandonShard(shard);
    return;
  }
  if (NoLeafInTime(now, *shard)) {
    AbandonUnreachable(now, shard);
    return;
  }
  if (now < shard->next_round) {
    return;
  }
  const bool exhausted = AllReplicasTriedOrLeaving(now, *shard);
  // An untried replica may stay ejected for long, so the tried replicas are retried.
  const bool others_unusable = !shard->tried.empty() && !AnyUntriedReady(now, *shard);
  if (exhausted || (others_unusable && MayTryReplicasAgain(*shard))) {
    if (shard->tried.empty()) {
      shard->reason = MissingReason::kLeaving;
    }
    if (!MayTryReplicasAgain(*shard)) {
      AbandonShard(shard);
      return;
    }
    StartNextRound(now, shard);
    return;
  }
  if (LastRefusalTransient(*shard) && !ShouldRetryRefused(now, *shard)) {
    AbandonShard(shard);
    return;
  }
  const bool first = shard->attempts.empty() && !options_.charge_first;
  const SendKind kind = first         ? SendKind::kFirst
                        : all_refused ? SendKind::kReplacement
                                      : SendKind::kExtra;
  const SendResult result = SendTo(now, shard, kind);
  const bool retry_denied = result == SendResult::kBudgetDenied && LastRefusalTransient(*shard);
  if (retry_denied || (result != SendResult::kSent && RefusalLimitReached(*shard))) {
    AbandonShard(shard);
    return;
  }
  SetBudgetDenied(shard, result == SendResult::kBudgetDenied);
  SetWaiting(shard, result != SendResult::kSent);
}

void RequestExecution::StartNextRound(Timestamp now, ShardProgress* shard) {
  shard->tried.clear();
  // The pause grows for leafs without room; others may accept the next attempt.
  const int growth = LastRefusalTransient(*shard) ? 0 : shard->rounds;
  const Duration pause = kInitialRoundPause * (1 << growth);
  shard->next_round = now + std::min(pause, kMaxRoundPause);
  ++shard->rounds;
  SetWaiting(shard, true);
}

bool RequestExecution::OnProbation() const {
  return !proven_harmless_ && (options_.on_probation || lost_ >= options_.losses_before_probation);
}

void RequestExecution::LimitProbation(Timestamp now) {
  if (!OnProbation()) {
    return;
  }
  probation_started_ = probation_started_.value_or(now);
  const bool running =
      std::any_of(shards_.begin(), shards_.end(),
                  [this](const ShardProgress& shard) { return ActiveAttempts(shard) > 0; });
  no_leaf_for_probe_ |= !running && now - *probation_started_ >= options_.max_probe_wait;
}

bool RequestExecution::MayProbe(Timestamp now) const {
  size_t running = 0;
  Timestamp last_sent{};
  for (const ShardProgress& shard : shards_) {
    running += ActiveAttempts(shard);
    if (!shard.attempts.empty()) {
      last_sent = std::max(last_sent, shard.attempts.back().sent);
    }
  }
  // A paused leaf must not block the request, so a second probe may run beside it. All of them may
  // be lost.
  return running == 0 ||
         (running + probes_lost_ < options_.max_lost_probes && now - last_sent >= HedgeDelay());
}

void RequestExecution::RecordLost(const Attempt& attempt) {
  ++lost_;
  probes_lost_ += attempt.probe && !proven_harmless_ ? 1 : 0;
}

RequestExecution::SendResult RequestExecution::SendTo(Timestamp now, ShardProgress* shard,
                                                      SendKind kind) {
  const bool probe = OnProbation();
  if (probe && !MayProbe(now)) {
    return SendResult::kNoLeaf;
  }
  std::set<std::string> excluded = shard->tried;
  const bool others_only = RefusalLimitReached(*shard);
  for (const Attempt& attempt : shard->attempts) {
    if (others_only || attempt.state == AttemptState::kPossiblyRunning) {
      excluded.insert(attempt.leaf);
    }
  }
  const std::optional<std::string> leaf =
      context_.pool->Choose(now, shard->shard.replicas, excluded);
  if (!leaf.has_value()) {
    // A leaf that becomes ready later is of no use if the attempt can't be paid for.
    const bool unpaid = IsCharged(kind) && !BudgetOf(*shard)->Affords(now, BudgetFraction());
    return unpaid ? SendResult::kBudgetDenied : SendResult::kNoLeaf;
  }
  if (!TryChargeBudget(now, *shard, kind)) {
    return SendResult::kBudgetDenied;
  }
  if (kind == SendKind::kFirst) {
    BudgetOf(*shard)->OnRegular(now, plan_.extra_load);
  }
  const SubRequestId id = context_.next_id();
  const Duration budget = std::max(Duration(0), deadline_ - now - options_.hop_latency);
  actions_.sends.push_back({"", id, *leaf, request_.service, shard->shard.id, snapshot_id_,
                            request_.query, budget, request_.idempotency_key, plan_.repeatable});
  Attempt attempt;
  attempt.id = id;
  attempt.leaf = *leaf;
  attempt.sent = now;
  attempt.probe = probe;
  shard->attempts.push_back(std::move(attempt));
  if (idle_since_.has_value()) {
    waited_ += now - *std::exchange(idle_since_, std::nullopt);
  }
  ++running_;
  shard_of_[id] = static_cast<size_t>(shard - shards_.data());
  context_.pool->OnSent(now, *leaf, id, ExpectedLatency());
  ++sent_;
  extra_ += kind == SendKind::kFirst ? 0 : 1;
  return SendResult::kSent;
}

Duration RequestExecution::ExpectedLatency() const {
  return options_.expect_median ? context_.latencies->Quantile(kMedian) : Duration(0);
}

Duration RequestExecution::HedgeDelay() const {
  if (options_.fixed_hedge_delay.count() > 0) {
    return options_.fixed_hedge_delay;
  }
  // In normal operation hedges leave part of the budget for the times when a replica is paused.
  const double quantile = std::max(plan_.hedge_quantile, 1 - kHedgeShare * plan_.extra_load);
  const Duration delay = context_.latencies->Quantile(quantile);
  if (options_.hedge_median_factor <= 0) {
    return delay;
  }
  const auto median = static_cast<double>(context_.latencies->Quantile(kMedian).count());
  return std::min(delay, Duration(static_cast<int64_t>(median * options_.hedge_median_factor)));
}

void RequestExecution::MaybeHedge(Timestamp now, ShardProgress* shard) {
  const bool single_attempt =
      ActiveAttempts(*shard) == 1 && shard->shard.replicas.size() > 1 && !IsHeld(*shard);
  const bool due = single_attempt && MayAttemptAgain(*shard) &&
                   now - shard->attempts.back().sent >= HedgeDelay();
  if (due && MayHedge(now, *shard)) {
    SendTo(now, shard, SendKind::kExtra);
  }
}

void RequestExecution::MaybeNaiveRetry(Timestamp now, ShardProgress* shard) {
  if (plan_.repeatable && now - shard->attempts.back().sent >= options_.naive_retry_timeout) {
    SendTo(now, shard, SendKind::kExtra);
  }
}

void RequestExecution::OnReply(Timestamp now, const LeafReply& reply) {
  const auto found = shard_of_.find(reply.id);
  if (found == shard_of_.end()) {
    return;
  }
  ShardProgress& shard = shards_[found->second];
  const auto attempt =
      std::find_if(shard.attempts.begin(), shard.attempts.end(),
                   [&reply](const Attempt& candidate) { return candidate.id == reply.id; });
  if (attempt->state != AttemptState::kPossiblyRunning && options_.coverage_dedupe) {
    return;
  }
  const bool was_on_probation = OnProbation();
  attempt->failure = reply.failure;
  if (reply.status == LeafStatus::kOk) {
    EndAttempt(now, &*attempt, AttemptState::kDone);
    proven_harmless_ = true;
    Merge(now, &shard, reply);
  } else {
    if (reply.connection_lost) {
      RecordLost(*attempt);
    }
    const bool refused = ProvesNotRun(reply.status);
    EndAttempt(now, &*attempt,
               refused                 ? AttemptState::kRefused
               : reply.connection_lost ? AttemptState::kLost
                                       : AttemptState::kFailed);
    attempt->transient_refusal = options_.retry_refusing_leafs &&
                                 reply.status == LeafStatus::kShed &&
                                 !context_.pool->IsFull(reply.leaf);
    HandleRefusal(&shard, reply);
  }
  if (was_on_probation != OnProbation() || FailedProbation()) {
    // The condition that the other shards wait for has changed.
    Advance(now);
  } else if (!answered_ && !needs_other_snapshot_) {
    // Only this shard has changed. Advancing all shards for each reply is expensive with hundreds
    // of them.
    AdvanceShard(now, &shard);
    wake_ = std::min(wake_, ShardWake(now, shard));
    Evaluate(now);
  }
}

void RequestExecution::Merge(Timestamp now, ShardProgress* shard, const LeafReply& reply) {
  const bool wrong_snapshot = reply.snapshot != snapshot_id_ || reply.shard != shard->shard.id;
  if (wrong_snapshot && options_.snapshot_pin) {
    shard->reason = MissingReason::kSnapshotNotHeld;
    shard->tried.insert(reply.leaf);
    ++shard->not_held;
    return;
  }
  if (reply.truncated) {
    shard->reason = MissingReason::kTruncated;
    shard->tried.insert(reply.leaf);
    return;
  }
  if (shard->covered && options_.coverage_dedupe) {
    return;
  }
  shard->covered = true;
  shard->payload = reply.payload;
  shard->reason = MissingReason::kNone;
  ++covered_;
  if (options_.report_shard_results && reply.payload != nullptr) {
    new_shard_results_.push_back({shard->shard.id, reply.payload});
  }
  shard->results.insert(shard->results.end(), reply.results.begin(), reply.results.end());
  CancelOthers(now, shard, reply.id);
}

void RequestExecution::HandleRefusal(ShardProgress* shard, const LeafReply& reply) {
  if (shard->covered) {
    return;
  }
  shard->reason = ReasonOf(reply.status);
  if (reply.payload != nullptr) {
    shard->failure = reply.payload;
    shard->failure_is_refusal = ProvesNotRun(reply.status);
  }
  shard->tried.insert(reply.leaf);
  const bool not_held =
      reply.status == LeafStatus::kSnapshotNotHeld || reply.status == LeafStatus::kNotOwner;
  shard->not_held += not_held ? 1 : 0;
}

bool RequestExecution::Overdue(Timestamp now, const Attempt& attempt) const {
  const Duration expected = ExpectedLatency();
  return expected.count() > 0 &&
         now - attempt.sent >= std::max(expected * options_.overdue_factor, options_.min_overdue);
}

void RequestExecution::CancelOthers(Timestamp now, ShardProgress* shard, SubRequestId winner) {
  for (Attempt& attempt : shard->attempts) {
    const bool superseded = attempt.id != winner && attempt.state == AttemptState::kPossiblyRunning;
    if (superseded && options_.coverage_dedupe) {
      actions_.cancels.push_back({attempt.id, attempt.leaf, {}, Overdue(now, attempt)});
      context_.pool->OnAbandoned(now, attempt.leaf, attempt.id, /*timed_out=*/false);
      attempt.failure = "superseded";
      EndAttempt(now, &attempt, AttemptState::kFailed);
    }
  }
}

bool RequestExecution::PolicyAllowsAnswer(Timestamp now) {
  if (program_ == nullptr || !program_->has_decide()) {
    return now - started_ >= plan_.wait;
  }
  const Coverage coverage = CurrentCoverage();
  const policy::Progress progress{now - started_, coverage.share(), coverage.missing.size(),
                                  coverage.total()};
  // A failing program must not delay the answer, since its minimum coverage is reached.
  return program_->Decide(progress).value_or(true) || now - started_ >= plan_.wait;
}

void RequestExecution::Evaluate(Timestamp now) {
  if (answered_) {
    return;
  }
  AbandonBudgetDenied();
  const size_t possible = shards_.size() - abandoned_;
  const auto total = static_cast<double>(shards_.size());
  const bool restart_pays =
      now < started_ + std::chrono::duration_cast<Duration>(plan_.deadline * kRestartWindow);
  const bool may_restart =
      !restarted_ && plan_.repeatable && !request_.snapshot.has_value() && restart_pays;
  if (snapshot_unavailable_ && may_restart) {
    needs_other_snapshot_ = true;
    return;
  }
  if (covered_ == shards_.size()) {
    Finish(now, ResultCode::kOk);
    return;
  }
  const double share = static_cast<double>(covered_) / total;
  const bool enough = share + kCoverageEpsilon >= plan_.min_coverage;
  // The coverage required by the policy is out of reach: answers now instead of at the deadline.
  const bool out_of_reach =
      plan_.repeatable &&
      static_cast<double>(possible) / total + kCoverageEpsilon < plan_.min_coverage;
  if (possible == covered_ || out_of_reach) {
    Finish(now, ResultCode::kCoverageNotReached);
  } else if (now >= deadline_) {
    Finish(now, deadline_code_);
  } else if (enough && covered_ > 0 && plan_.repeatable && PolicyAllowsAnswer(now)) {
    Finish(now, ResultCode::kPartial);
  }
}

void RequestExecution::Finish(Timestamp now, ResultCode failure) {
  Answer answer = CurrentAnswer(now);
  answer.code = FinalCode(answer.coverage, failure);
  answered_ = true;
  actions_.answer = std::move(answer);
  for (ShardProgress& shard : shards_) {
    SetWaiting(&shard, false);
  }
  // Unrepeatable work is not cancelled, since its outcome is still needed for the ledger.
  if (plan_.repeatable) {
    AbandonAll(now, failure == ResultCode::kDeadlineExceeded);
  }
  if (failure == ResultCode::kShuttingDown) {
    StopCancelledWork();
  }
}

void RequestExecution::StopCancelledWork() {
  for (SubRequestCancel& cancel : actions_.cancels) {
    cancel.overdue = true;
  }
}

void RequestExecution::Stop(Timestamp now, ResultCode code) {
  if (answered_) {
    return;
  }
  Finish(now, code);
  StopCancelledWork();
}

void RequestExecution::AbandonAll(Timestamp now, bool timed_out) {
  for (ShardProgress& shard : shards_) {
    for (Attempt& attempt : shard.attempts) {
      if (attempt.state == AttemptState::kPossiblyRunning) {
        actions_.cancels.push_back({attempt.id, attempt.leaf, {}, Overdue(now, attempt)});
        context_.pool->OnAbandoned(now, attempt.leaf, attempt.id, timed_out);
      }
    }
  }
}

ExecutionActions RequestExecution::TakeActions() { return std::exchange(actions_, {}); }

Timestamp RequestExecution::ShardWake(Timestamp now, const ShardProgress& shard) const {
  if (shard.covered || shard.abandoned) {
    return deadline_;
  }
  if (IsHeld(shard)) {
    return deadline_;
  }
  const size_t active = ActiveAttempts(shard);
  if (active == 0) {
    return shard.next_round > now ? shard.next_round : now + options_.poll_interval;
  }
  const Timestamp sent = shard.attempts.back().sent;
  if (options_.naive_retry_timeout.count() > 0) {
    return std::max(sent + options_.naive_retry_timeout, now + options_.poll_interval);
  }
  const bool may_hedge =
      plan_.hedge && active == 1 && shard.shard.replicas.size() > 1 && MayAttemptAgain(shard);
  return may_hedge ? std::max(sent + HedgeDelay(), now + options_.poll_interval) : deadline_;
}

Timestamp RequestExecution::NextWake(Timestamp now) const {
  Timestamp wake = std::min(deadline_, wake_);
  const Timestamp wait_over = started_ + plan_.wait;
  if (wait_over > now) {
    wake = std::min(wake, wait_over);
  }
  const bool asks_program = program_ != nullptr && program_->has_decide();
  if (asks_program) {
    wake = std::min(wake, now + options_.poll_interval);
  }
  return std::max(wake, now);
}

}  // namespace pumicedyke::query
