// GatewayServer as root of shared gathers: divides the shards into groups, selects the merger of
// each, and answers.
#include <algorithm>
#include <utility>

#include "gateway/gateway_server.h"
#include "gateway/record_merge.h"
#include "wire/destinations.h"

namespace pumicedyke::gateway {
namespace {

/// Retry hint after a shared gather that failed.
constexpr Duration kRetryAfterFailure = Milliseconds(100);

}  // namespace

size_t GatewayServer::GroupsOf(const routing::Route& route) const {
  const bool may_share = options_.knobs.share_gathers && !options_.peer_address.empty() &&
                         route.gathers() && route.repeatable;
  return may_share ? GroupCount(route.shards.size(), options_.processor_share,
                                options_.knobs.sharing_costs)
                   : 1;
}

policy::QueryPlan GatewayServer::SharedPlanFor(const routing::Route& route,
                                               const PayloadRequest& request, size_t groups) const {
  policy::QueryPlan plan = PlanFor(route, request);
  const Duration processing =
      TimeForPartialAnswers(groups, options_.processor_share, options_.knobs.sharing_costs);
  plan.wait = std::max(plan.wait - processing, std::min(plan.wait, route.objective / 2));
  return plan;
}

std::optional<Duration> GatewayServer::TimeLeftForGateways(const routing::Route& route,
                                                           const PayloadRequest& request) const {
  const std::optional<Duration> spent = SpentByClient(route, request);
  if (!spent.has_value() || request.round_trip.count() == 0) {
    return std::nullopt;
  }
  return route.objective - *spent - request.round_trip - options_.knobs.unobserved_lag;
}

void GatewayServer::SetLearnedDue(const Active& active, query::SharedGather* shared) {
  const std::optional<Duration> left = TimeLeftForGateways(*active.route, *active.request);
  if (!left.has_value()) {
    return;
  }
  std::optional<query::ArrivalCurve>& arrivals = active.runtime->arrivals;
  if (!arrivals.has_value()) {
    arrivals.emplace(active.route->objective);
  }
  const size_t shards = active.route->shards.size();
  shared->SetAnswerTimeCallback(
      [this, &arrivals, due = *left, shards](Duration elapsed, size_t covered) {
        return query::BestAnswerTime({elapsed, due, covered, shards}, *arrivals, answer_lag_);
      });
}

void GatewayServer::OnAnswerWritten(Timestamp now, const RequestTrace& trace) {
  if (trace.due.has_value()) {
    answer_lag_.Record(now - *trace.due);
  }
}

Duration GatewayServer::ReportLead(size_t groups) const {
  const SharingCosts& costs = options_.knobs.sharing_costs;
  return costs.hop + TimeForPartialAnswers(groups, options_.processor_share, costs);
}

bool GatewayServer::StartShared(Timestamp now, RequestId id, Active* active, Timestamp arrived) {
  const routing::Route& route = *active->route;
  // A suspect request is tried at one leaf, not at one leaf by each merger.
  const bool suspect = SuspicionOf(now, active->request->identity) != quarantine::Suspicion::kNone;
  const bool may_share =
      !suspect && active->request->body.size() <= options_.knobs.max_shared_body_bytes;
  const size_t groups = may_share ? GroupsOf(route) : 1;
  if (groups <= 1) {
    return false;
  }
  const std::vector<query::ShardRange> ranges = CutIntoGroups(route.shards.size(), groups);
  for (size_t i = 0; i < ranges.size(); ++i) {
    if (!owners_.Choose(now, PlaceOf(route.shards, ranges, i), active->allowed_regions, {}, {})
             .has_value()) {
      return false;
    }
  }
  query::SharedGatherOptions options = options_.knobs.shared_gather;
  options.accept_timeout =
      std::max(options.accept_timeout, route.objective / options_.knobs.accept_timeout_divisor);
  const auto choose = [this, active](Timestamp when, size_t group,
                                     const std::set<std::string>& tried) {
    const GroupPlace place = PlaceOf(active->route->shards, active->ranges, group);
    std::optional<std::string> merger =
        owners_.Choose(when, place, active->allowed_regions, tried, active->assigned_groups);
    if (merger.has_value()) {
      ++active->assigned_groups[*merger];
    }
    return merger;
  };
  active->ranges = ranges;
  active->shared = std::make_unique<query::SharedGather>(
      SharedPlanFor(route, *active->request, groups), ranges, options, choose,
      [this] { return ids_.Next(); }, arrived);
  SetLearnedDue(*active, active->shared.get());
  LimitToStop(now, active);
  active->shared->Advance(now);
  CollectShared(now, id);
  return true;
}

void GatewayServer::SendPartialQuery(Timestamp now, const Active& active,
                                     const query::OutgoingPartialQuery& partial) {
  const size_t groups = active.ranges.size();
  const policy::QueryPlan plan = SharedPlanFor(*active.route, *active.request, groups);
  const Timestamp started = active.shared->started();
  wire::PartialQuery query;
  query.id = partial.id;
  query.route = active.route->name;
  query.request_id = active.request->request_id;
  query.identity = active.request->identity;
  query.method = active.request->method;
  query.head = active.head == nullptr ? active.request->encoded_head : *active.head;
  query.payload = active.request->body;
  query.budget = std::max(Duration(0), active.shared->deadline() - now);
  const Timestamp last_report = std::min(started + plan.wait, active.shared->deadline());
  query.report_after = std::max(Duration(0), last_report - ReportLead(groups) - now);
  query.objective = active.route->objective;
  query.top_records = static_cast<uint32_t>(active.route->top_records);
  query.max_attempts = partial.max_attempts;
  query.reassigned = partial.reassigned;
  query.await_confirmation = partial.await_confirmation;
  query.groups = static_cast<uint32_t>(active.ranges.size());
  query.shards = Slice(active.route->shards, active.ranges[partial.group]);
  query.tenant = active.tenant;
  query.priority = static_cast<uint32_t>(active.priority);
  query.allowed_regions.assign(active.allowed_regions.begin(), active.allowed_regions.end());
  output_.peer_messages.push_back(
      {partial.merger, {options_.cluster, document_version(), std::move(query)}, active.priority});
}

void GatewayServer::CancelPartialQuery(const Active& active, const query::GroupCancel& cancel) {
  output_.peer_messages.push_back(
      {cancel.merger,
       {options_.cluster, document_version(), wire::PartialCancel{cancel.id, cancel.stop_work}},
       active.priority});
}

void GatewayServer::CollectShared(Timestamp now, RequestId id) {
  Active& active = active_.at(id);
  query::SharedGatherActions actions = active.shared->TakeActions();
  for (const std::string& merger : actions.abandoned_mergers) {
    owners_.Suspect(merger, now + options_.knobs.merger_suspect_time);
  }
  for (const query::GroupCancel& cancel : actions.cancels) {
    CancelPartialQuery(active, cancel);
  }
  for (const query::GroupConfirmation& confirmation : actions.confirmations) {
    output_.peer_messages.push_back(
        {confirmation.merger,
         {options_.cluster, document_version(), wire::PartialConfirm{confirmation.id}},
         active.priority});
  }
  for (const query::OutgoingPartialQuery& partial : actions.partial_queries) {
    request_of_partial_query_[partial.id] = id;
    active.partial_query_ids.push_back(partial.id);
    SendPartialQuery(now, active, partial);
  }
  if (actions.outcome.has_value()) {
    AnswerShared(now, id, active, *std::move(actions.outcome));
    Remove(id);
    return;
  }
  Schedule(id, active.shared->NextWake(now));
}

void GatewayServer::AnswerShared(Timestamp now, RequestId id, const Active& active,
                                 query::SharedOutcome outcome) {
  GatewayAnswer out;
  out.id = id;
  out.request = active.request;
  out.code = outcome.code;
  out.run = outcome.run;
  out.priority = active.priority;
  out.trace.route = active.route->name;
  out.trace.tenant = active.tenant;
  out.trace.document_version = active.table->version();
  out.trace.config_age = subscriber_.Age(now);
  out.trace.elapsed = now - active.shared->started();
  out.trace.decided = now;
  out.trace.round_trip = active.request->round_trip;
  out.trace.spent = SpentByClient(*active.route, *active.request);
  if (outcome.code == ResultCode::kPartial) {
    out.trace.due = std::min(now, active.shared->answer_due());
  }
  if (std::optional<query::ArrivalCurve>& arrivals = active.runtime->arrivals) {
    arrivals->Record(active.shared->arrivals(), active.route->shards.size(), out.trace.elapsed);
  }
  out.trace.extra_sub_requests = outcome.extra;
  out.trace.missing = std::move(outcome.missing);
  out.trace.partial_queries = active.shared->PartialQueries();
  const bool success = outcome.code == ResultCode::kOk || outcome.code == ResultCode::kPartial;
  if (success) {
    out.gathered = true;
    out.signatures = std::move(outcome.signatures);
    out.records =
        MergeGreatest({outcome.records.begin(), outcome.records.end()}, active.route->top_records);
    out.missing_shards = out.trace.missing.size();
  } else {
    out.retry_after = kRetryAfterFailure;
  }
  output_.answers.push_back(std::move(out));
}

bool GatewayServer::OnPeerReply(Timestamp now, const std::string& address,
                                const wire::Envelope& envelope) {
  if (envelope.cluster != options_.cluster) {
    return false;
  }
  return wire::DispatchTo<wire::Destination::kGatewayPeerClient>(
      envelope.body, wire::MessageHandler{[&](const wire::LimitGrant& grant) {
                                            gate_.limits().OnGrant(now, address, grant);
                                            ApplyLimitOutput(now);
                                          },
                                          [&](const wire::PartialAnswer& reply) {
                                            OnPartialAnswer(now, address, reply);
                                          }});
}

void GatewayServer::OnPartialAnswer(Timestamp now, const std::string& address,
                                    const wire::PartialAnswer& reply) {
  owners_.Clear(address);
  const auto found = request_of_partial_query_.find(reply.id);
  if (found == request_of_partial_query_.end()) {
    return;
  }
  const RequestId id = found->second;
  active_.at(id).shared->OnPartialAnswer(now, reply);
  CollectShared(now, id);
}

void GatewayServer::OnPeerDisconnected(Timestamp now, const std::string& address) {
  owners_.Suspect(address, now + options_.knobs.merger_suspect_time);
  gate_.limits().OnGatewayLost(now, address);
  ApplyLimitOutput(now);
  std::vector<RequestId> shared;
  for (const auto& [id, active] : active_) {
    if (active.shared != nullptr) {
      shared.push_back(id);
    }
  }
  for (const RequestId id : shared) {
    active_.at(id).shared->OnMergerLost(now, address);
    CollectShared(now, id);
  }
}

}  // namespace pumicedyke::gateway
