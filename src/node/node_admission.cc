// Admission: the part of NodeServer that refuses a request, claims its key, or starts it.
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "common/result_code.h"
#include "node/node_server.h"
#include "policy/priority.h"

namespace pumicedyke::node {

using query::Answer;
using query::RunState;

namespace {

/// Cannot occur in a header, hence not in the key of a caller.
constexpr char kSeparator = '\x1f';
constexpr Duration kOverloadRetryAfter = Milliseconds(200);
constexpr Duration kMaxRetryAfter = Seconds(5);
constexpr Duration kNotReadyRetryAfter = Milliseconds(500);

uint64_t Fingerprint(const query::CallerRequest& request) {
  const std::string text = request.service + '\0' + request.query + '\0' + request.request_class;
  return XXH64(text.data(), text.size(), 0);
}

const config::PublishedSnapshot* SnapshotFor(const config::Service& service,
                                             const query::CallerRequest& request) {
  if (service.snapshots.empty()) {
    return nullptr;
  }
  return request.snapshot.has_value() ? service.FindSnapshot(*request.snapshot)
                                      : &service.snapshots.back();
}

}  // namespace

absl::StatusOr<policy::QueryPlan> NodeServer::PlanFor(const ServiceRuntime& runtime,
                                                      const query::CallerRequest& request) const {
  policy::QueryPlan plan;
  if (options_.plan_override.has_value()) {
    plan = *options_.plan_override;
  } else if (runtime.program != nullptr) {
    const size_t shards = runtime.service->snapshots.back().shards.size();
    absl::StatusOr<policy::QueryPlan> planned = runtime.program->Plan(
        {request.request_class, request.deadline, shards, !request.idempotency_key.empty()});
    if (!planned.ok()) {
      return MakeStatus(ResultCode::kUnknownRequestClass, std::string(planned.status().message()));
    }
    plan = *planned;
  }
  // The caller may shorten the deadline of the policy, but not extend it.
  if (request.deadline.count() > 0 && request.deadline < plan.deadline) {
    plan.deadline = request.deadline;
    plan.wait = std::min(plan.wait, plan.deadline);
  }
  return plan;
}

std::optional<Duration> NodeServer::RetryDelayIfOverloaded(
    Timestamp now, const policy::QueryPlan& plan, const query::CallerRequest& request,
    const config::PublishedSnapshot& snapshot, balance::AdmissionThrottle* throttle) {
  if (active_.size() >= options_.max_in_progress) {
    return kOverloadRetryAfter;
  }
  if (!options_.admission_control) {
    return std::nullopt;
  }
  throttle->Update(now, snapshot.shards, pool_);
  const double share = throttle->AdmittedShare(request.shards, plan.priority);
  if (std::uniform_real_distribution<double>(0, 1)(random_) >= share) {
    // The retry delay grows as the admitted share shrinks.
    return std::min(Duration(static_cast<int64_t>(static_cast<double>(kOverloadRetryAfter.count()) /
                                                  std::max(share, 0.01))),
                    kMaxRetryAfter);
  }
  Duration max_wait{};
  for (const config::Shard& shard : snapshot.shards) {
    const bool wanted =
        request.shards.empty() ||
        std::find(request.shards.begin(), request.shards.end(), shard.id) != request.shards.end();
    if (wanted) {
      max_wait = std::max(max_wait, pool_.ExpectedWait(now, shard.replicas));
    }
  }
  const double wait_fraction = options_.knobs.admission_low +
                               (options_.knobs.admission_high - options_.knobs.admission_low) *
                                   plan.priority / policy::kTopPriority;
  const auto tolerable_wait = std::chrono::duration_cast<Duration>(plan.deadline * wait_fraction);
  if (max_wait <= tolerable_wait) {
    return std::nullopt;
  }
  return std::max(max_wait - tolerable_wait, Milliseconds(1));
}

admission::EntryDecision NodeServer::CheckEntry(Timestamp now, RequestId id,
                                                const query::CallerRequest& request) {
  return gate_.Admit(now, id, *tenants_, routing::Route{}, request.api_key,
                     subscriber_.proven_at());
}

void NodeServer::OnCallerRequest(Timestamp now, RequestId id, const query::CallerRequest& request) {
  ++counters_.requests;
  // An earlier attempt with the same key may have run; only the ledger knows.
  const RunState run = request.idempotency_key.empty() ? RunState::kNotRun : RunState::kUnknown;
  const auto refuse = [&](ResultCode code, const std::string& message, Duration retry = {}) {
    Refuse(now, id, code, message, run, retry);
  };
  if (RefuseBeforeKill(now, id, request, answer_by_)) {
    return;
  }
  if (!Ready(now)) {
    refuse(ResultCode::kNotReady, "the configuration is not known yet", kNotReadyRetryAfter);
    return;
  }
  const bool stale =
      options_.max_config_age.count() > 0 && subscriber_.Age(now) > options_.max_config_age;
  if (stale) {
    refuse(ResultCode::kStaleConfiguration,
           "no control machine has confirmed the configuration recently", kNotReadyRetryAfter);
    return;
  }
  const admission::EntryDecision entry = CheckEntry(now, id, request);
  if (entry.result != admission::EntryResult::kAdmitted) {
    refuse(entry.code, std::string(InfoOf(entry.code).meaning), entry.retry_after);
    return;
  }
  if (subscriber_.config().IsQuarantined(request.identity)) {
    refuse(ResultCode::kQuarantined, "this request crashed the leafs that ran it",
           options_.retry_when_quarantined);
    return;
  }
  const auto found = services_.find(request.service);
  if (found == services_.end()) {
    refuse(ResultCode::kUnknownService, "field 'service': no service " + request.service);
    return;
  }
  const ServiceRuntime& runtime = found->second;
  const config::PublishedSnapshot* snapshot = SnapshotFor(*runtime.service, request);
  if (snapshot == nullptr) {
    refuse(request.snapshot.has_value() ? ResultCode::kSnapshotGone : ResultCode::kNoSnapshot,
           "no such snapshot is published");
    return;
  }
  absl::StatusOr<policy::QueryPlan> plan = PlanFor(runtime, request);
  if (!plan.ok()) {
    refuse(CodeOf(plan.status()), std::string(plan.status().message()));
    return;
  }
  if (entry.tenant != nullptr && entry.tenant->priority.has_value()) {
    plan->priority = std::max(0, policy::kTopPriority - *entry.tenant->priority);
  }
  for (const ShardId& wanted : request.shards) {
    const bool known = std::any_of(snapshot->shards.begin(), snapshot->shards.end(),
                                   [&](const config::Shard& shard) { return shard.id == wanted; });
    if (!known) {
      refuse(ResultCode::kMalformedRequest,
             "field 'shards': no shard " + std::to_string(wanted.value));
      return;
    }
  }
  if (!plan->repeatable && request.idempotency_key.empty()) {
    refuse(ResultCode::kMissingIdempotencyKey,
           "this request must not run twice: send an Idempotency-Key header");
    return;
  }
  if (const auto wait =
          RetryDelayIfOverloaded(now, *plan, request, *snapshot, runtime.throttle.get())) {
    refuse(ResultCode::kOverloaded, "the back ends are busy", *wait);
    return;
  }
  Active& active = active_[id];
  active.request = request;
  active.request.tenant = entry.tenant == nullptr ? std::string() : entry.tenant->name;
  active.plan = *plan;
  active.program = runtime.program;
  active.snapshot = snapshot->id;
  active.deadline = now + plan->deadline;
  if (plan->repeatable) {
    // A key on repeatable work is accepted but has no effect.
    active.request.idempotency_key.clear();
  }
  if (IsSuspect(now, request.identity)) {
    AskForTrial(now, id, &active);
  } else {
    StartAdmitted(now, id, &active);
  }
}

void NodeServer::StartAdmitted(Timestamp now, RequestId id, Active* active) {
  if (active->plan.repeatable || !options_.ledger_before_dispatch) {
    StartExecution(now, id, active);
  } else {
    StartClaim(now, id, active);
  }
}

void NodeServer::Refuse(Timestamp now, RequestId id, ResultCode code, const std::string& message,
                        RunState run, Duration retry_after) {
  ++counters_.refused;
  Answer answer;
  answer.code = code;
  answer.message = message;
  answer.run = run;
  answer.retry_after = retry_after;
  answer.config_version = subscriber_.config().version();
  answer.config_age = subscriber_.Age(now);
  output_.answers.push_back({id, std::move(answer)});
}

void NodeServer::StartClaim(Timestamp now, RequestId id, Active* active) {
  if (RefuseBeforeKill(now, id, active->request, settle_by_)) {
    Remove(now, id);
    return;
  }
  // The tenant is part of the key, so that tenants cannot see or block each other's keys.
  const std::string& tenant = active->request.tenant;
  active->ledger_key = active->request.service + "/" + (tenant.empty() ? "" : tenant + kSeparator) +
                       active->request.idempotency_key;
  active->claim_owner = ledger_.Claim(now, active->ledger_key, Fingerprint(active->request));
  active->claim_pending = true;
  claims_[active->claim_owner] = id;
  Schedule(id, std::min(active->deadline, settle_by_));
  for (wire::Envelope& envelope : ledger_.Tick(now)) {
    output_.control.push_back(std::move(envelope));
  }
}

void NodeServer::StartExecution(Timestamp now, RequestId id, Active* active) {
  const auto found = services_.find(active->request.service);
  const config::PublishedSnapshot* snapshot =
      found == services_.end() ? nullptr : found->second.service->FindSnapshot(active->snapshot);
  if (snapshot == nullptr && found != services_.end()) {
    // The pinned snapshot was withdrawn while the claim was pending; nothing has been sent.
    snapshot = SnapshotFor(*found->second.service, active->request);
  }
  if (snapshot == nullptr) {
    if (!active->claim_owner.empty()) {
      ledger_.Release(now, active->claim_owner, active->ledger_key);
    }
    Refuse(now, id, ResultCode::kSnapshotGone, "the snapshot is no longer served",
           RunState::kNotRun, {});
    Remove(now, id);
    return;
  }
  const ServiceRuntime& runtime = found->second;
  query::ServiceContext context{&pool_, runtime.budget.get(), runtime.latencies.get(),
                                [this] { return SubRequestId{ids_.Next()}; }};
  policy::QueryPlan plan = active->plan;
  plan.deadline = active->deadline - now;
  query::ExecutionOptions options = options_.execution;
  options.on_probation = IsSuspect(now, active->request.identity);
  options.has_uncleared_losses = run_tracker_.HasUnclearedLosses(active->request.identity);
  active->execution = std::make_unique<query::RequestExecution>(
      active->request, plan, active->program.get(), runtime.service, *snapshot, std::move(context),
      options, now);
  if (answer_by_ != Timestamp::max()) {
    active->execution->OnStopping(now, EndInStop(*active));
  }
  active->execution->Advance(now);
  CollectActions(now, id);
}

}  // namespace pumicedyke::node
