// GatewayServer's protection of leafs from requests that crash them: tracks the outcome of every
// run, reports to control, tries suspects with control's permission, and stops quarantined
// requests.
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "gateway/gateway_server.h"

namespace pumicedyke::gateway {

namespace {

/// Retry hint when too many requests wait for a trial.
constexpr Duration kRetryWithoutTrial = Milliseconds(500);

/// Distinguishes the client's attempts at the same request.
uint64_t AttemptOf(const PayloadRequest& request) {
  return XXH64(request.request_id.data(), request.request_id.size(), 0);
}

}  // namespace

void GatewayServer::TrackRun(Timestamp now, const Active& active, SubRequestId id,
                             const wire::LeafRecord& leaf) {
  // Leafs that tell when they were started may restart under their id.
  const bool name_reused = leaf.born_ms != 0;
  run_tracker_.OnSent(id, {active.request->identity, AttemptOf(*active.request), leaf.leaf,
                           leaf.service, now, active.trial, name_reused});
}

quarantine::Suspicion GatewayServer::SuspicionOf(Timestamp now,
                                                 const RequestIdentity& identity) const {
  if (subscriber_.config().quarantine().contains(identity)) {
    return quarantine::Suspicion::kNotice;
  }
  return run_tracker_.SuspicionOf(now, identity);
}

void GatewayServer::AskForTrial(Timestamp now, RequestId id,
                                std::shared_ptr<const PayloadRequest> request, Timestamp arrived) {
  if (!trials_.Ask(now, id, request->identity, AttemptOf(*request))) {
    Refuse(now, id, std::move(request), ResultCode::kOnTrial, kRetryWithoutTrial);
    return;
  }
  awaiting_trial_[id] = {std::move(request), arrived};
  UpdateTrials(now);
}

void GatewayServer::OnTrialReply(Timestamp now, const wire::TrialReply& reply) {
  if (reply.verdict == wire::TrialVerdict::kNotNeeded) {
    run_tracker_.OnCleared(reply.identity);
  }
  if (const auto outcome = trials_.OnReply(now, reply)) {
    OnTrialOutcome(now, *outcome);
  }
}

void GatewayServer::OnTrialOutcome(Timestamp now, const quarantine::TrialOutcome& outcome) {
  const auto found = awaiting_trial_.find(outcome.request);
  const HeldRequest held = std::move(found->second);
  awaiting_trial_.erase(found);
  output_.trials.push_back({held.request->request_id, held.request->identity, outcome});
  if (outcome.verdict == wire::TrialVerdict::kDenied) {
    Refuse(now, outcome.request, held.request, ResultCode::kOnTrial, outcome.retry_after);
  } else if (quarantined_.contains(held.request->identity)) {
    Refuse(now, outcome.request, held.request, ResultCode::kQuarantined,
           options_.knobs.retry_when_quarantined);
  } else {
    StartHeld(now, outcome.request, held, outcome.number);
  }
}

void GatewayServer::UpdateTrials(Timestamp now) {
  for (const quarantine::TrialOutcome& overdue : trials_.TakeOverdue(now)) {
    OnTrialOutcome(now, overdue);
  }
  for (const wire::TrialRequest& request : trials_.TakeMessages(now)) {
    output_.control.push_back(
        {followed_control(), {options_.cluster, subscriber_.config().version().value, request}});
  }
}

void GatewayServer::EndTrial(const Active& active) {
  if (active.trial > 0 && active.execution->CurrentRunState() == query::RunState::kNotRun) {
    trials_.Return(active.request->identity, AttemptOf(*active.request), active.trial);
  }
}

void GatewayServer::OnAbandonedReply(Timestamp now, const query::LeafReply& reply) {
  run_tracker_.OnEnded(now, reply);
}

void GatewayServer::OnSuspectNotice(Timestamp now, const wire::SuspectNotice& notice) {
  run_tracker_.OnSuspectNotice(now, notice.requests);
  output_.suspects_noticed.insert(output_.suspects_noticed.end(), notice.requests.begin(),
                                  notice.requests.end());
}

query::ExecutionOptions GatewayServer::ExecutionOptionsFor(Timestamp now,
                                                           const PayloadRequest& request) {
  query::ExecutionOptions options = options_.execution;
  const quarantine::Suspicion suspicion = SuspicionOf(now, request.identity);
  options.on_probation = suspicion != quarantine::Suspicion::kNone;
  if (options.on_probation) {
    output_.suspect_attempts.push_back({request.request_id, request.identity, suspicion});
  }
  options.has_uncleared_losses = run_tracker_.HasUnclearedLosses(request.identity);
  return options;
}

void GatewayServer::ReportRuns(Timestamp now) {
  if (now - runs_reported_ >= options_.knobs.run_report_interval) {
    if (std::optional<wire::RunReport> seen = run_tracker_.TakeReport()) {
      runs_reported_ = now;
      reports_.Add(now, *std::move(seen));
    }
  }
  for (wire::RunReport& report : reports_.TakeDue(now)) {
    // The next leader among the control machines needs the report, too.
    report.relayed = true;
    for (const std::string& address : control_) {
      output_.control.push_back(
          {address, {options_.cluster, subscriber_.config().version().value, report}});
    }
    output_.runs_reported.push_back(std::move(report));
  }
}

void GatewayServer::ApplyQuarantine(Timestamp now) {
  std::set<RequestIdentity> quarantined = subscriber_.config().StoppedRequests();
  if (quarantined == quarantined_) {
    return;
  }
  quarantined_ = std::move(quarantined);
  run_tracker_.OnQuarantined(quarantined_);
  std::vector<RequestId> stopped;
  for (const auto& [id, active] : active_) {
    if (quarantined_.contains(active.request->identity)) {
      stopped.push_back(id);
    }
  }
  for (const RequestId id : stopped) {
    StopQuarantined(now, id);
  }
}

void GatewayServer::StopQuarantined(Timestamp now, RequestId id) {
  Active& active = active_.at(id);
  if (active.shared != nullptr) {
    // Its mergers stop the work and report it.
    return;
  }
  active.execution->Stop(now, ResultCode::kQuarantined);
  Collect(now, id);
}

}  // namespace pumicedyke::gateway
