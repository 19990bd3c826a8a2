#include "node/node_server.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "common/result_code.h"
#include "wire/destinations.h"

namespace pumicedyke::node {

using query::Answer;
using query::RunState;

namespace {

constexpr size_t kMaxLedgerOutcomeBytes = 32 * 1024;

}  // namespace

NodeServer::NodeServer(NodeOptions options, Timestamp now)
    : options_(std::move(options)),
      started_(now),
      origin_(options_.subscriber.node + "." + std::to_string(options_.incarnation)),
      ids_(options_.incarnation),
      subscriber_(options_.subscriber, now),
      gate_({}, options_.subscriber.node, options_.incarnation),
      tenants_(std::make_shared<const routing::RouteTable>(routing::RouteSet{})),
      ledger_(options_.subscriber.cluster, origin_, &ids_),
      pool_(options_.knobs, options_.seed),
      run_tracker_(options_.run_tracker),
      reports_(XXH64(origin_.data(), origin_.size(), 0)),
      random_(options_.seed) {}

NodeOutput NodeServer::TakeOutput() { return std::exchange(output_, {}); }

// ---- Configuration ------------------------------------------------------------------------------

bool NodeServer::OnControlMessage(Timestamp now, const wire::Envelope& envelope) {
  if (envelope.cluster != options_.subscriber.cluster) {
    return false;
  }
  using wire::Destination;
  return wire::DispatchTo<Destination::kNodeOrGateway, Destination::kNode>(
      envelope.body,
      wire::MessageHandler{
          [&](const wire::ConfigFeed& feed) { OnConfigFeed(now, feed); },
          [&](const wire::SuspectNotice& notice) {
            run_tracker_.OnSuspectNotice(now, notice.requests);
          },
          [&](const wire::TrialReply& reply) { OnTrialReply(now, reply); },
          [&](const wire::RunReportAck& ack) { reports_.OnAcknowledged(ack.number); },
          [&](const wire::LedgerReply& reply) {
            if (const auto verdict = ledger_.OnReply(now, reply)) {
              OnLedgerVerdict(now, *verdict);
            }
          }});
}

void NodeServer::OnConfigFeed(Timestamp now, const wire::ConfigFeed& feed) {
  if (subscriber_.OnFeed(now, feed)) {
    ApplyConfig(now);
    StopQuarantined(now);
  }
}

void NodeServer::OnControlDisconnected(Timestamp now) {
  subscriber_.OnDisconnected(now);
  ledger_.RepeatAll(now);
  reports_.RepeatNow();
}

void NodeServer::ApplyTenants() {
  const config::TenantList& list = subscriber_.config().tenants();
  if (list.revision == tenants_revision_) {
    return;
  }
  tenants_revision_ = list.revision;
  routing::RouteSet set;
  set.keyed = list.tenants.has_value();
  set.tenants = list.tenants.value_or(std::vector<tenants::Tenant>{});
  tenants_ = std::make_shared<const routing::RouteTable>(std::move(set));
}

void NodeServer::ApplyConfig(Timestamp now) {
  ApplyTenants();
  const config::ConfigState& config = subscriber_.config();
  for (const auto& [name, service] : config.services()) {
    ServiceRuntime& runtime = services_[name];
    const bool unchanged =
        runtime.service != nullptr && runtime.service->revision == service.revision;
    if (unchanged) {
      continue;
    }
    runtime.service = std::make_shared<const config::Service>(service);
    if (runtime.budget == nullptr) {
      runtime.budget = std::make_shared<balance::ExtraLoadBudget>(options_.knobs.budget_burst);
      runtime.latencies = std::make_shared<balance::LatencyTracker>(
          options_.knobs.latency_window, options_.knobs.initial_hedge_delay);
      runtime.throttle = std::make_shared<balance::AdmissionThrottle>(options_.knobs);
    }
    for (const auto& [id, leaf] : service.leafs) {
      pool_.Configure(now, id, leaf.slots);
    }
    CompilePolicy(&runtime);
  }
  std::erase_if(services_,
                [&](const auto& item) { return config.FindService(item.first) == nullptr; });
  if (options_.leaving_mark) {
    pool_.SetLeavingInConfig(config.leaving());
  }
}

void NodeServer::CompilePolicy(ServiceRuntime* runtime) {
  const std::string& source = runtime->service->policy;
  if (source == runtime->policy_source) {
    return;
  }
  runtime->policy_source = source;
  // The control machines accepted the program after testing it. If it fails to compile here anyway,
  // the previous program stays in force.
  auto program = policy::PolicyProgram::Compile(source);
  if (program.ok()) {
    runtime->program = *std::move(program);
  }
}

bool NodeServer::Ready(Timestamp now) const {
  const bool platform_ready = !options_.wait_for_platform || platform_known_ ||
                              now - started_ >= options_.knobs.first_report_timeout;
  return subscriber_.ready() && platform_ready;
}

// ---- Progress -----------------------------------------------------------------------------------

void NodeServer::OnLedgerVerdict(Timestamp now, const LedgerClient::Verdict& verdict) {
  if (verdict.operation == wire::LedgerOperation::kClaim) {
    OnClaimVerdict(now, verdict);
  } else if (std::optional<CallerAnswer> answer = held_.Release(verdict.owner)) {
    output_.answers.push_back(*std::move(answer));
  }
}

void NodeServer::OnClaimVerdict(Timestamp now, const LedgerClient::Verdict& verdict) {
  const auto claim = claims_.find(verdict.owner);
  if (claim == claims_.end()) {
    return;
  }
  const RequestId id = claim->second;
  claims_.erase(claim);
  Active& active = active_.at(id);
  active.claim_pending = false;
  if (verdict.verdict == wire::LedgerVerdict::kGranted) {
    StartExecution(now, id, &active);
    return;
  }
  AnswerFromLedger(now, id, verdict);
  Remove(now, id);
}

void NodeServer::AnswerFromLedger(Timestamp now, RequestId id,
                                  const LedgerClient::Verdict& verdict) {
  if (verdict.verdict == wire::LedgerVerdict::kFingerprintMismatch) {
    Refuse(now, id, ResultCode::kIdempotencyKeyReused,
           "the Idempotency-Key belongs to another request", RunState::kNotRun, {});
    return;
  }
  if (verdict.verdict == wire::LedgerVerdict::kCompleted) {
    absl::StatusOr<Answer> recorded = query::AnswerFromJson(verdict.outcome);
    if (recorded.ok()) {
      recorded->config_version = subscriber_.config().version();
      output_.answers.push_back({id, *std::move(recorded)});
      return;
    }
  }
  Refuse(now, id, ResultCode::kAlreadyRunning,
         "a request with this Idempotency-Key is running, or its outcome is unknown",
         RunState::kUnknown, Milliseconds(500));
}

std::optional<SubRequestId> NodeServer::MatchReply(const query::LeafReply& reply) const {
  if (options_.reply_id_check) {
    return request_of_.contains(reply.id) ? std::optional(reply.id) : std::nullopt;
  }
  // Behaves like a client that relies on the order of replies.
  for (const auto& [id, request] : request_of_) {
    const auto active = active_.find(request);
    if (active != active_.end() && active->second.execution != nullptr) {
      return id;
    }
  }
  return std::nullopt;
}

void NodeServer::OnLeafReply(Timestamp now, const query::LeafReply& reply) {
  query::LeafReply matched = reply;
  if (const auto id = MatchReply(reply)) {
    matched.id = *id;
  }
  matched.draining &= options_.leaving_mark;
  run_tracker_.OnEnded(now, matched);
  const std::optional<Duration> latency = pool_.OnReply(now, matched);
  const auto found = request_of_.find(matched.id);
  if (found == request_of_.end()) {
    ++counters_.late_replies;
    return;
  }
  const RequestId id = found->second;
  Active& active = active_.at(id);
  if (latency.has_value() && reply.status == query::LeafStatus::kOk) {
    const auto service = services_.find(active.request.service);
    if (service != services_.end()) {
      service->second.latencies->Record(*latency);
    }
  }
  active.execution->OnReply(now, matched);
  CollectActions(now, id);
}

void NodeServer::OnLeafHealth(Timestamp now, const std::string& leaf, bool draining) {
  pool_.OnHealth(now, leaf, draining && options_.leaving_mark);
}

void NodeServer::OnPlatformLeaving(const std::set<std::string>& leafs) {
  platform_known_ = true;
  if (options_.leaving_mark) {
    pool_.SetLeavingOnPlatform(leafs);
  }
}

void NodeServer::RestartOnOtherSnapshot(Timestamp now, Active* active) {
  const auto found = services_.find(active->request.service);
  const config::PublishedSnapshot* choice = nullptr;
  if (found != services_.end()) {
    // Picks a newer snapshot if there is one, otherwise the previous one, which lagging leafs still
    // hold.
    for (const config::PublishedSnapshot& snapshot : found->second.service->snapshots) {
      if (snapshot.id != active->execution->snapshot()) {
        choice = &snapshot;
      }
    }
  }
  if (choice == nullptr) {
    active->execution->DeclineRestart(now);
    return;
  }
  ++counters_.snapshot_restarts;
  active->execution->Restart(now, found->second.service, *choice);
}

void NodeServer::CollectActions(Timestamp now, RequestId id) {
  Active& active = active_.at(id);
  if (active.execution->NeedsOtherSnapshot()) {
    RestartOnOtherSnapshot(now, &active);
  }
  query::ExecutionActions actions = active.execution->TakeActions();
  for (query::LeafRequest& request : actions.sends) {
    request.origin = origin_;
    request.tenant = active.request.tenant;
    request_of_[request.id] = id;
    active.sub_requests.push_back(request.id);
    TrackRun(now, id, active, request);
    output_.sends.push_back(std::move(request));
  }
  for (query::SubRequestCancel& cancel : actions.cancels) {
    request_of_.erase(cancel.id);
    cancel.origin = origin_;
    output_.cancels.push_back(std::move(cancel));
  }
  if (actions.answer.has_value()) {
    Finish(now, id, &active, *std::move(actions.answer));
  }
  const bool settled = active.answered && !active.execution->HasUnknownOutcome();
  if (settled || (active.answered && active.plan.repeatable)) {
    RecordOutcome(now, active);
    Remove(now, id);
    return;
  }
  if (!active.answered) {
    Schedule(id, active.execution->NextWake(now));
  }
}

void NodeServer::Finish(Timestamp now, RequestId id, Active* active, Answer answer) {
  answer.config_version = subscriber_.config().version();
  answer.config_age = subscriber_.Age(now);
  if (answer.code == ResultCode::kQuarantined) {
    answer.retry_after = options_.retry_when_quarantined;
  }
  counters_.sub_requests += answer.sub_requests;
  counters_.extra_sub_requests += answer.extra_sub_requests;
  if (answer.code == ResultCode::kOk) {
    ++counters_.answered_ok;
  } else if (answer.code == ResultCode::kPartial) {
    ++counters_.answered_partial;
  } else {
    ++counters_.refused;
  }
  if (active->trial > 0 && active->execution->CurrentRunState() == RunState::kNotRun) {
    trials_.Return(active->request.identity, AttemptOf(id), active->trial);
  }
  active->answered = true;
  active->late_outcome_deadline = std::min(now + options_.late_outcome_timeout, settle_by_);
  Schedule(id, active->late_outcome_deadline);
  SendOrHoldAnswer(now, id, *active, std::move(answer));
}

void NodeServer::SendOrHoldAnswer(Timestamp now, RequestId id, const Active& active,
                                  Answer answer) {
  // The outcome must be in the ledger before the caller knows it, since a repeated request may
  // reach any node. "Not run" is answered first: once the key is released, another attempt may run.
  const bool recorded_first = options_.record_before_answer && !active.claim_owner.empty() &&
                              !active.execution->HasUnknownOutcome() &&
                              answer.run != RunState::kNotRun;
  if (!recorded_first) {
    output_.answers.push_back({id, std::move(answer)});
    return;
  }
  const Timestamp until = now + (std::min(active.deadline, answer_by_) - now) / 2;
  held_.Hold(active.claim_owner, {id, std::move(answer)}, until);
}

void NodeServer::RecordOutcome(Timestamp now, const Active& active) {
  if (active.claim_owner.empty()) {
    return;
  }
  Answer outcome = active.execution->CurrentAnswer(now);
  if (outcome.run == RunState::kNotRun) {
    // Every sub-request was unsent or refused by its leaf, so the key may be used again.
    ledger_.Release(now, active.claim_owner, active.ledger_key);
    return;
  }
  std::string text = query::AnswerToJson(outcome);
  if (text.size() > kMaxLedgerOutcomeBytes) {
    outcome.results.clear();
    outcome.message = "the results were too large to keep for a repeat";
    text = query::AnswerToJson(outcome);
  }
  ledger_.Complete(now, active.claim_owner, active.ledger_key, std::move(text));
}

void NodeServer::OnCallerDisconnected(Timestamp now, RequestId id) {
  held_.Drop(id);
  const auto found = active_.find(id);
  if (found != active_.end() && found->second.trial_pending) {
    trials_.Withdraw(id);
    Remove(now, id);
    return;
  }
  const bool cancellable = found != active_.end() && found->second.plan.repeatable &&
                           found->second.execution != nullptr && !found->second.answered;
  if (!cancellable) {
    return;
  }
  found->second.execution->AbandonAll(now, /*timed_out=*/false);
  for (query::SubRequestCancel& cancel : found->second.execution->TakeActions().cancels) {
    cancel.origin = origin_;
    output_.cancels.push_back(std::move(cancel));
  }
  Remove(now, id);
}

void NodeServer::Remove(Timestamp now, RequestId id) {
  const auto found = active_.find(id);
  if (found == active_.end()) {
    return;
  }
  Active& active = found->second;
  if (active.execution != nullptr && !active.plan.repeatable) {
    active.execution->AbandonAll(now, /*timed_out=*/true);
  }
  for (const SubRequestId& sub : active.sub_requests) {
    request_of_.erase(sub);
  }
  claims_.erase(active.claim_owner);
  next_wake_.erase(id);
  active_.erase(found);
}

// ---- Time ---------------------------------------------------------------------------------------

void NodeServer::Schedule(RequestId id, Timestamp wake) {
  next_wake_[id] = wake;
  wakes_.emplace(wake, id);
}

void NodeServer::Tick(Timestamp now) {
  if (auto hello = subscriber_.Tick(now)) {
    output_.control.push_back(*std::move(hello));
  }
  for (wire::Envelope& envelope : ledger_.Tick(now)) {
    output_.control.push_back(std::move(envelope));
  }
  UpdateTrials(now);
  if (std::optional<wire::RunReport> report = run_tracker_.TakeReport()) {
    reports_.Add(now, *std::move(report));
  }
  for (wire::RunReport& report : reports_.TakeDue(now)) {
    output_.control.push_back(
        {options_.subscriber.cluster, subscriber_.config().version().value, std::move(report)});
  }
  for (CallerAnswer& answer : held_.TakeOverdue(now)) {
    output_.answers.push_back(std::move(answer));
  }
  while (!wakes_.empty() && wakes_.top().first <= now) {
    const auto [wake, id] = wakes_.top();
    wakes_.pop();
    const auto planned = next_wake_.find(id);
    if (planned == next_wake_.end() || planned->second != wake) {
      continue;  // Superseded by a later call of Schedule().
    }
    Active& active = active_.at(id);
    if (active.trial_pending) {
      RefuseTrial(now, id, options_.retry_when_quarantined);
    } else if (active.claim_pending) {
      // This attempt dispatched nothing, but an earlier one with the same key may have.
      ledger_.AbandonClaim(active.claim_owner);
      Refuse(now, id, ResultCode::kLedgerUnavailable,
             "the at-most-once ledger did not answer in time", RunState::kUnknown,
             Milliseconds(500));
      Remove(now, id);
    } else if (active.answered) {
      RecordOutcome(now, active);
      Remove(now, id);
    } else {
      active.execution->Advance(now);
      CollectActions(now, id);
    }
  }
  ledger_given_up_ = now >= answer_by_;
}

Timestamp NodeServer::NextWake(Timestamp now) const {
  constexpr Duration kIdleInterval = Milliseconds(50);
  Timestamp idle = std::min(now + kIdleInterval, held_.next().value_or(Timestamp::max()));
  idle = std::min(idle, trials_.next().value_or(idle));
  return wakes_.empty() ? idle : std::min(idle, wakes_.top().first);
}

}  // namespace pumicedyke::node
