// The part of GatewayServer that guards leafs from requests that end whoever runs them: watches
// what becomes of every run, tells control, and stops what the fleet has stopped.
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "gateway/gateway_server.h"

namespace pumicedyke::gateway {

void GatewayServer::WatchRun(Timestamp now, const Active& active, const LeafSend& send,
                             const std::string& service) {
  const std::string& attempt = active.request->request_id;
  witness_.OnSent(send.id, {active.request->identity, XXH64(attempt.data(), attempt.size(), 0),
                            send.leaf, service, now});
}

void GatewayServer::OnAbandonedReply(Timestamp now, const query::LeafReply& reply) {
  witness_.OnEnded(now, reply);
}

query::ExecutionOptions GatewayServer::ExecutionOptionsFor(Timestamp now,
                                                           const PayloadRequest& request) const {
  query::ExecutionOptions options = options_.execution;
  options.on_probation = witness_.IsSuspect(now, request.identity);
  options.accused = witness_.IsAccused(request.identity);
  return options;
}

void GatewayServer::ReportRuns(Timestamp now) {
  if (now - runs_reported_ >= options_.knobs.run_report_interval) {
    if (std::optional<wire::RunReport> seen = witness_.TakeReport()) {
      runs_reported_ = now;
      reports_.Add(now, *std::move(seen));
    }
  }
  std::optional<wire::RunReport> report = reports_.TakeDue(now);
  if (!report.has_value()) {
    return;
  }
  // Whichever control machine leads next has to know, too.
  report->relayed = true;
  for (const std::string& address : control_) {
    output_.control.push_back(
        {address, {options_.cluster, subscriber_.config().version().value, *report}});
  }
  output_.runs_reported = std::move(report);
}

void GatewayServer::TakeQuarantine(Timestamp now) {
  std::set<RequestIdentity> quarantined = subscriber_.config().StoppedRequests();
  if (quarantined == quarantined_) {
    return;
  }
  quarantined_ = std::move(quarantined);
  witness_.OnQuarantined(quarantined_);
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
    // Its mergers stop it themselves and say so.
    return;
  }
  active.execution->Stop(now, ResultCode::kQuarantined);
  Collect(now, id);
}

}  // namespace pumicedyke::gateway
