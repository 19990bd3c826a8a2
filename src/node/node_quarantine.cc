// NodeServer's protection of leafs from requests that crash them: tracks the outcome of every run,
// tries suspects with control's permission, and stops quarantined requests.
#include <xxhash.h>

#include <set>
#include <string>
#include <vector>

#include "common/result_code.h"
#include "node/node_server.h"

namespace pumicedyke::node {

using query::RunState;

uint64_t NodeServer::AttemptOf(RequestId id) const {
  const std::string attempt = origin_ + "/" + std::to_string(id.value);
  return XXH64(attempt.data(), attempt.size(), 0);
}

void NodeServer::TrackRun(Timestamp now, RequestId id, const Active& active,
                          const query::LeafRequest& sent) {
  run_tracker_.OnSent(sent.id, {active.request.identity, AttemptOf(id), sent.leaf,
                                active.request.service, now, active.trial,
                                /*leaf_name_reused=*/true});
}

bool NodeServer::IsSuspect(Timestamp now, const RequestIdentity& identity) const {
  return subscriber_.config().quarantine().contains(identity) ||
         run_tracker_.IsSuspect(now, identity);
}

void NodeServer::AskForTrial(Timestamp now, RequestId id, Active* active) {
  active->trial_pending = true;
  Schedule(id, active->deadline);
  if (!trials_.Ask(now, id, active->request.identity, AttemptOf(id))) {
    RefuseTrial(now, id, options_.retry_without_trial);
    return;
  }
  UpdateTrials(now);
}

void NodeServer::OnTrialReply(Timestamp now, const wire::TrialReply& reply) {
  if (reply.verdict == wire::TrialVerdict::kNotNeeded) {
    run_tracker_.OnCleared(reply.identity);
  }
  if (const auto outcome = trials_.OnReply(now, reply)) {
    OnTrialOutcome(now, *outcome);
  }
}

void NodeServer::OnTrialOutcome(Timestamp now, const quarantine::TrialOutcome& outcome) {
  const auto found = active_.find(outcome.request);
  if (found == active_.end()) {
    return;
  }
  if (outcome.verdict == wire::TrialVerdict::kDenied) {
    RefuseTrial(now, outcome.request, outcome.retry_after);
    return;
  }
  Active& active = found->second;
  if (subscriber_.config().IsQuarantined(active.request.identity)) {
    RefuseTrial(now, outcome.request, options_.retry_when_quarantined);
    return;
  }
  active.trial_pending = false;
  active.trial = outcome.number;
  StartAdmitted(now, outcome.request, &active);
}

void NodeServer::RefuseTrial(Timestamp now, RequestId id, Duration retry_after) {
  trials_.Withdraw(id);
  const query::CallerRequest& request = active_.at(id).request;
  // This attempt sent nothing, but an earlier one with the same key may have run.
  const RunState run = request.idempotency_key.empty() ? RunState::kNotRun : RunState::kUnknown;
  const ResultCode code = subscriber_.config().IsQuarantined(request.identity)
                              ? ResultCode::kQuarantined
                              : ResultCode::kOnTrial;
  Refuse(now, id, code, std::string(InfoOf(code).meaning), run, retry_after);
  Remove(now, id);
}

void NodeServer::UpdateTrials(Timestamp now) {
  for (const quarantine::TrialOutcome& overdue : trials_.TakeOverdue(now)) {
    OnTrialOutcome(now, overdue);
  }
  for (const wire::TrialRequest& request : trials_.TakeMessages(now)) {
    output_.control.push_back(
        {options_.subscriber.cluster, subscriber_.config().version().value, request});
  }
}

void NodeServer::StopQuarantined(Timestamp now) {
  const std::set<RequestIdentity> quarantined = subscriber_.config().StoppedRequests();
  run_tracker_.OnQuarantined(quarantined);
  std::vector<RequestId> stopped;
  for (const auto& [id, active] : active_) {
    const bool running = active.execution != nullptr && !active.answered;
    if (running && quarantined.contains(active.request.identity)) {
      stopped.push_back(id);
    }
  }
  for (const RequestId id : stopped) {
    active_.at(id).execution->Stop(now, ResultCode::kQuarantined);
    CollectActions(now, id);
  }
}

}  // namespace pumicedyke::node
