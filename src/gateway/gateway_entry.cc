// GatewayServer's handling of a request between arrival and execution: finds the route, holds
// requests that arrive before there are routes, checks admission, and refuses.
#include <utility>

#include "gateway/gateway_server.h"

namespace pumicedyke::gateway {
namespace {

constexpr Duration kRetryWhenNotReady = Milliseconds(250);
constexpr Duration kRetryWhenOverloaded = Milliseconds(200);

}  // namespace

void GatewayServer::HoldEarly(Timestamp now, RequestId id,
                              std::shared_ptr<const PayloadRequest> request, Timestamp arrived) {
  const Duration expected = options_.knobs.expected_start - (now - started_);
  if (table_ == nullptr && expected >= options_.knobs.min_start_refusal) {
    Refuse(now, id, std::move(request), ResultCode::kNotReady,
           expected + options_.knobs.min_start_refusal);
    return;
  }
  if (early_.size() >= options_.knobs.max_in_progress) {
    RefuseEarly(now, id, std::move(request));
    return;
  }
  const Duration client_wait =
      request->deadline.count() > 0 ? request->deadline : options_.knobs.default_client_timeout;
  const Duration wait =
      std::min(options_.knobs.max_start_wait, client_wait / options_.knobs.start_wait_divisor);
  early_[id] = {std::move(request), arrived, arrived + wait, document_version()};
}

void GatewayServer::RefuseEarly(Timestamp now, RequestId id,
                                std::shared_ptr<const PayloadRequest> request) {
  const ResultCode code =
      table_ == nullptr ? ResultCode::kNotReady : ResultCode::kStaleConfiguration;
  Refuse(now, id, std::move(request), code, kRetryWhenNotReady);
}

void GatewayServer::ReleaseEarly(Timestamp now) {
  const bool proven = table_ != nullptr && RefusalsProven(now);
  for (auto& [id, early] : std::exchange(early_, {})) {
    if (proven || early.document_version != document_version()) {
      OnRequest(now, id, std::move(early.request), early.arrived);
    } else if (now >= early.until) {
      RefuseEarly(now, id, std::move(early.request));
    } else {
      early_[id] = std::move(early);
    }
  }
}

void GatewayServer::RefuseUnknown(Timestamp now, RequestId id,
                                  std::shared_ptr<const PayloadRequest> request, Timestamp arrived,
                                  ResultCode code) {
  const bool keyless = code == ResultCode::kUnknownKey && request->api_key.empty();
  if (keyless || RefusalsProven(now)) {
    Refuse(now, id, std::move(request), code, Duration(0));
    return;
  }
  HoldEarly(now, id, std::move(request), arrived);
}

void GatewayServer::OnRequest(Timestamp now, RequestId id,
                              std::shared_ptr<const PayloadRequest> request, Timestamp arrived) {
  if (MustHaveAnswered(now)) {
    RefuseStopping(now, id, std::move(request));
    return;
  }
  if (table_ == nullptr) {
    HoldEarly(now, id, std::move(request), arrived);
    return;
  }
  const routing::Route* route = table_->Find(request->host, request->path());
  if (route == nullptr) {
    RefuseUnknown(now, id, std::move(request), arrived, ResultCode::kUnknownPath);
    return;
  }
  // A caller without a valid key learns nothing else, and costs no further work.
  if (gate_.Recheck(now, *table_, *route, request->api_key, KeysProvenAt()) ==
      ResultCode::kUnknownKey) {
    RefuseUnknown(now, id, std::move(request), arrived, ResultCode::kUnknownKey);
    return;
  }
  if (quarantined_.contains(request->identity)) {
    Refuse(now, id, std::move(request), ResultCode::kQuarantined,
           options_.knobs.retry_when_quarantined);
    return;
  }
  if (active_.size() >= options_.knobs.max_in_progress) {
    Refuse(now, id, std::move(request), ResultCode::kOverloaded, kRetryWhenOverloaded);
    return;
  }
  const admission::EntryDecision entry =
      gate_.Admit(now, id, *table_, *route, request->api_key, KeysProvenAt());
  switch (entry.result) {
    case admission::EntryResult::kAdmitted:
      StartAdmitted(now, id, *route, std::move(request), entry.tenant, arrived);
      break;
    case admission::EntryResult::kWaiting:
      held_[id] = {std::move(request), arrived};
      ApplyLimitOutput(now);
      break;
    case admission::EntryResult::kRefused:
      Refuse(now, id, std::move(request), entry.code, entry.retry_after);
      break;
  }
}

Timestamp GatewayServer::KeysProvenAt() const {
  return document_unread_ ? node::kNeverProven : subscriber_.proven_at();
}

bool GatewayServer::KeysProven(Timestamp now) const {
  return table_ == nullptr || !table_->set().keyed ||
         tenants::KeysProven(options_.entry.key_lease, now, KeysProvenAt());
}

void GatewayServer::StartAdmitted(Timestamp now, RequestId id, const routing::Route& route,
                                  std::shared_ptr<const PayloadRequest> request,
                                  const tenants::Tenant* tenant, Timestamp arrived) {
  if (SuspicionOf(now, request->identity) != quarantine::Suspicion::kNone) {
    AskForTrial(now, id, std::move(request), arrived);
    return;
  }
  StartExecution(now, id, route, std::move(request), tenant, arrived, /*trial=*/0);
}

void GatewayServer::StartHeld(Timestamp now, RequestId id, const HeldRequest& held,
                              std::optional<uint32_t> trial) {
  const routing::Route* route = table_->Find(held.request->host, held.request->path());
  if (route == nullptr) {
    Refuse(now, id, held.request, ResultCode::kUnknownPath, Duration(0));
    return;
  }
  // The document may have changed while the limit or the trial was requested.
  const ResultCode code =
      gate_.Recheck(now, *table_, *route, held.request->api_key, KeysProvenAt());
  if (code != ResultCode::kOk) {
    Refuse(now, id, held.request, code, gate_.RetryAfter(code, now, KeysProvenAt()));
    return;
  }
  const tenants::Tenant* tenant = table_->keys().Find(held.request->api_key);
  if (trial.has_value()) {
    StartExecution(now, id, *route, held.request, tenant, held.arrived, *trial);
  } else {
    StartAdmitted(now, id, *route, held.request, tenant, held.arrived);
  }
}

void GatewayServer::ApplyLimitOutput(Timestamp now) {
  limits::LimitOutput out = gate_.limits().TakeOutput();
  for (limits::OutgoingLimitRequest& request : out.requests) {
    output_.peer_messages.push_back(
        {request.address, {options_.cluster, document_version(), std::move(request.ask)}});
  }
  for (limits::OutgoingLimitGrant& reply : out.grants) {
    output_.peer_replies.push_back(
        {reply.session, {options_.cluster, document_version(), std::move(reply.grant)}});
  }
  for (const limits::LimitDecision& decision : out.decisions) {
    const auto found = held_.find(decision.id);
    if (found == held_.end()) {
      continue;
    }
    const HeldRequest held = std::move(found->second);
    held_.erase(found);
    if (decision.granted) {
      StartHeld(now, decision.id, held, /*trial=*/std::nullopt);
    } else {
      Refuse(now, decision.id, held.request, ResultCode::kTenantLimit, decision.retry_after);
    }
  }
}

void GatewayServer::UpdateLimitGateways(Timestamp now) {
  std::vector<limits::LimitGateway> gateways;
  for (const std::string& node : peers_.Names()) {
    const wire::GatewayRecord& record = *peers_.Find(node);
    gateways.push_back({node, record.peer_address, record.zone});
  }
  gate_.limits().SetGateways(now, gateways);
}

void GatewayServer::OnClientDisconnected(Timestamp now, RequestId id) {
  early_.erase(id);
  if (awaiting_trial_.erase(id) > 0) {
    trials_.Withdraw(id);
    return;
  }
  if (held_.erase(id) > 0) {
    gate_.limits().Withdraw(now, id);
    return;
  }
  const auto it = active_.find(id);
  if (it == active_.end()) {
    return;
  }
  if (it->second.shared != nullptr) {
    it->second.shared->AbandonAll();
    for (const query::GroupCancel& cancel : it->second.shared->TakeActions().cancels) {
      CancelPartialQuery(it->second, cancel);
    }
    Remove(id);
    return;
  }
  it->second.execution->AbandonAll(now, /*timed_out=*/false);
  for (const query::SubRequestCancel& cancel : it->second.execution->TakeActions().cancels) {
    output_.cancels.push_back({cancel.id, /*stop_work=*/true});
  }
  Remove(id);
}

void GatewayServer::Refuse(Timestamp now, RequestId id,
                           std::shared_ptr<const PayloadRequest> request, ResultCode code,
                           Duration retry_after) {
  GatewayAnswer answer;
  answer.id = id;
  answer.request = std::move(request);
  answer.code = code;
  answer.retry_after = retry_after;
  if (table_ != nullptr) {
    const tenants::Tenant* tenant = table_->keys().Find(answer.request->api_key);
    answer.trace.tenant = tenant == nullptr ? std::string() : tenant->name;
  }
  answer.trace.document_version = document_version();
  answer.trace.config_age = subscriber_.Age(now);
  output_.answers.push_back(std::move(answer));
}

}  // namespace pumicedyke::gateway
