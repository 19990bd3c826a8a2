// GatewayServer's protection of leafs from requests that crash them: tracks the outcome of every
// run, reports to control, and stops quarantined requests.
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "gateway/gateway_server.h"

namespace pumicedyke::gateway {

void GatewayServer::TrackRun(Timestamp now, const Active& active, const LeafSend& send,
                             const std::string& service) {
  const std::string& attempt = active.request->request_id;
  run_tracker_.OnSent(send.id, {active.request->identity, XXH64(attempt.data(), attempt.size(), 0),
                                send.leaf, service, now});
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
  const quarantine::Suspicion suspicion = run_tracker_.SuspicionOf(now, request.identity);
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
