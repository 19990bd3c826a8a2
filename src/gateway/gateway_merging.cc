// GatewayServer as merger: gathers a group of shards for another gateway like a request of its own,
// but reports the shard results as they arrive.
#include <algorithm>
#include <utility>

#include "gateway/gateway_server.h"
#include "gateway/record_merge.h"
#include "wire/destinations.h"

namespace pumicedyke::gateway {
namespace {

/// Marks the request ids of partial jobs, which share the id space with clients' requests.
constexpr uint64_t kPartialBit = uint64_t{1} << 63;

std::shared_ptr<const PayloadRequest> RequestOf(const wire::PartialQuery& query) {
  auto request = std::make_shared<PayloadRequest>();
  request->request_id = query.request_id;
  request->identity = query.identity;
  request->method = query.method;
  request->encoded_head = query.head;
  request->body = query.payload;
  request->deadline = query.budget;
  return request;
}

std::vector<wire::MissingShard> GapsOf(const std::vector<query::MissingShard>& missing) {
  std::vector<wire::MissingShard> gaps;
  gaps.reserve(missing.size());
  for (const query::MissingShard& shard : missing) {
    gaps.push_back({static_cast<uint32_t>(shard.shard.value), static_cast<uint32_t>(shard.reason)});
  }
  return gaps;
}

wire::PartialAnswer EmptyPartialAnswer(uint64_t query_id, wire::PartialStage stage) {
  wire::PartialAnswer reply;
  reply.id = query_id;
  reply.stage = stage;
  return reply;
}

}  // namespace

void GatewayServer::SendPartialAnswer(PeerSessionId session, wire::PartialAnswer reply,
                                      int priority) {
  output_.peer_replies.push_back(
      {session, {options_.cluster, document_version(), std::move(reply)}, priority});
}

bool GatewayServer::OnPeerRequest(Timestamp now, PeerSessionId session,
                                  const wire::Envelope& envelope, Timestamp arrived) {
  if (envelope.cluster != options_.cluster) {
    return false;
  }
  return wire::DispatchTo<wire::Destination::kGatewayPeerServer>(
      envelope.body,
      wire::MessageHandler{
          [&](const wire::PartialQuery& query) { OnPartialQuery(now, session, query, arrived); },
          [&](const wire::PartialCancel& cancel) { OnPartialCancel(now, session, cancel); },
          [&](const wire::PartialConfirm& confirm) { OnPartialConfirm(now, session, confirm); },
          [&](const wire::LimitRequest& ask) {
            gate_.limits().OnLimitRequest(now, session, ask, subscriber_.proven_at());
            ApplyLimitOutput(now);
          }});
}

std::optional<GatewayServer::GroupOfRoute> GatewayServer::FindGroup(
    const wire::PartialQuery& query) const {
  const auto& routes = table_->set().routes;
  const auto route = std::find_if(routes.begin(), routes.end(), [&query](const auto& candidate) {
    return candidate.name == query.route;
  });
  if (route == routes.end() || query.groups == 0 || query.groups > route->shards.size()) {
    return std::nullopt;
  }
  std::vector<query::ShardRange> ranges = CutIntoGroups(route->shards.size(), query.groups);
  for (size_t i = 0; i < ranges.size(); ++i) {
    if (route->shards[ranges[i].first] == query.shards.front()) {
      return GroupOfRoute{&*route, std::move(ranges), i};
    }
  }
  return std::nullopt;
}

size_t GatewayServer::CoOwnersOf(Timestamp now, const GroupOfRoute& group) {
  return owners_.CoOwnerCount(now, PlaceOf(group.route->shards, group.ranges, group.index),
                              group.route->allowed_regions);
}

size_t GatewayServer::MaxMissingOf(const GroupOfRoute& group, const std::string& request_id) {
  return query::MaxMissing(group.route->shards.size(), group.route->min_coverage,
                           group.ranges.size(), group.index, request_id);
}

void GatewayServer::OnPartialQuery(Timestamp now, PeerSessionId session,
                                   const wire::PartialQuery& query, Timestamp arrived) {
  const auto priority = static_cast<int>(query.priority);
  const bool refused = table_ == nullptr || query.shards.empty() ||
                       active_.size() >= options_.knobs.max_in_progress ||
                       quarantined_.contains(query.identity) || now >= arrived + query.budget ||
                       StopsBeforeAnswer(now, query.route, /*repeatable=*/true);
  if (refused) {
    SendPartialAnswer(session, EmptyPartialAnswer(query.id, wire::PartialStage::kRefused),
                      priority);
    return;
  }
  SendPartialAnswer(session, EmptyPartialAnswer(query.id, wire::PartialStage::kAccepted), priority);
  if (query.await_confirmation) {
    std::erase_if(stand_by_, [now](const auto& item) {
      return now >= item.second.arrived + item.second.query.budget;
    });
    stand_by_[{session, query.id}] = {query, arrived};
    return;
  }
  StartPartial(now, session, query, arrived);
}

void GatewayServer::StartPartial(Timestamp now, PeerSessionId session,
                                 const wire::PartialQuery& query, Timestamp arrived) {
  const RequestId id{kPartialBit | ++partials_started_};
  partials_[{session, query.id}] = id;
  Active& active = active_[id];
  active.request = RequestOf(query);
  active.runtime = &RuntimeOf(query.route, query.objective);
  active.gathers = true;
  active.tenant = query.tenant;
  active.priority = static_cast<int>(query.priority);
  active.partial = PartialJob{.session = session,
                              .query_id = query.id,
                              .top_records = query.top_records,
                              .route = query.route,
                              .started = now,
                              .report_at = arrived + query.report_after,
                              .last_reply = now,
                              .unreported = {},
                              .unreported_gaps = {}};
  MergeIfLeafsMissing(now, query.shards);
  const std::set<std::string> allowed_regions(query.allowed_regions.begin(),
                                              query.allowed_regions.end());
  const std::optional<GroupOfRoute> group = FindGroup(query);
  const size_t co_owners = group.has_value() ? CoOwnersOf(now, *group) : 0;
  for (const std::string& shard : query.shards) {
    extra_load_.OnAskedAsOwner(now, shard, co_owners);
  }
  const Target& target = TargetOf(query.shards, allowed_regions);
  if (co_owners > 0) {
    const auto connections = static_cast<double>(ConnectionsOf(query.shards.front()));
    active.merger_connections =
        std::max<size_t>(1, static_cast<size_t>(options_.knobs.mergers_connection_share *
                                                connections / static_cast<double>(co_owners)));
  }
  policy::QueryPlan plan;
  plan.deadline = query.budget;
  plan.wait = query.budget;
  // The root decides whether the coverage is sufficient.
  plan.min_coverage = 0;
  plan.extra_load = options_.extra_load.ratio;
  plan.hedge_quantile = options_.knobs.hedge_quantile;
  plan.max_attempts = std::max(1U, query.max_attempts);
  query::ExecutionOptions options = ExecutionOptionsFor(now, *active.request);
  options.retry_refusing_leafs = true;
  options.rank = query::RankOf(query.request_id);
  options.max_missing = group.has_value() ? MaxMissingOf(*group, query.request_id) : 0;
  active.partial->max_missing = options.max_missing;
  options.charge_first = query.reassigned;
  options.report_shard_results = true;
  options.hold_attempts = plan.max_attempts > 1 && !query.await_confirmation;
  const config::PublishedSnapshot& snapshot = target.service->snapshots.back();
  query::CallerRequest caller;
  caller.service = query.route;
  caller.snapshot = snapshot.id;
  query::ServiceContext context{&pool_, target.budgets.front(), active.runtime->latencies.get(),
                                [this] { return SubRequestId{ids_.Next()}; }, target.budgets};
  active.execution =
      std::make_unique<query::RequestExecution>(std::move(caller), plan, nullptr, target.service,
                                                snapshot, std::move(context), options, arrived);
  LimitToStop(now, &active);
  active.execution->Advance(now);
  Collect(now, id);
}

void GatewayServer::OnPartialConfirm(Timestamp now, PeerSessionId session,
                                     const wire::PartialConfirm& confirm) {
  if (const auto ready = stand_by_.find({session, confirm.id}); ready != stand_by_.end()) {
    const StandbyQuery standby = std::move(ready->second);
    stand_by_.erase(ready);
    if (now >= standby.arrived + standby.query.budget || table_ == nullptr ||
        StopsBeforeAnswer(now, standby.query.route, /*repeatable=*/true) ||
        quarantined_.contains(standby.query.identity)) {
      SendPartialAnswer(session, EmptyPartialAnswer(confirm.id, wire::PartialStage::kRefused),
                        static_cast<int>(standby.query.priority));
      return;
    }
    StartPartial(now, session, standby.query, standby.arrived);
    return;
  }
  const auto found = partials_.find({session, confirm.id});
  if (found != partials_.end()) {
    const RequestId id = found->second;
    active_.at(id).execution->ReleaseAttempts(now);
    Collect(now, id);
  }
}

void GatewayServer::OnPartialCancel(Timestamp now, PeerSessionId session,
                                    const wire::PartialCancel& cancel) {
  stand_by_.erase({session, cancel.id});
  const auto found = partials_.find({session, cancel.id});
  if (found != partials_.end()) {
    StopPartial(now, found->second, cancel.stop_work);
  }
}

void GatewayServer::OnPeerSessionClosed(Timestamp now, PeerSessionId session) {
  std::erase_if(stand_by_, [session](const auto& item) { return item.first.first == session; });
  std::vector<RequestId> jobs;
  for (auto it = partials_.lower_bound({session, 0});
       it != partials_.end() && it->first.first == session; ++it) {
    jobs.push_back(it->second);
  }
  for (const RequestId id : jobs) {
    StopPartial(now, id, /*stop_work=*/true);
  }
}

void GatewayServer::StopPartial(Timestamp now, RequestId id, bool stop_work) {
  query::RequestExecution* execution = active_.at(id).execution.get();
  execution->AbandonAll(now, /*timed_out=*/false);
  for (const query::SubRequestCancel& cancel : execution->TakeActions().cancels) {
    output_.cancels.push_back({cancel.id, stop_work || cancel.overdue});
  }
  Remove(id);
}

wire::PartialAnswer GatewayServer::TakePartialAnswer(PartialJob* job, wire::PartialStage stage) {
  wire::PartialAnswer reply = EmptyPartialAnswer(job->query_id, stage);
  std::vector<std::string_view> bodies;
  for (const query::ShardPayload& part : job->unreported) {
    reply.parts.push_back({static_cast<uint32_t>(part.shard.value), part.payload->signature});
    bodies.push_back(part.payload->body);
  }
  reply.records = MergeGreatest(bodies, job->top_records);
  job->unreported.clear();
  if (stage != wire::PartialStage::kDone) {
    reply.gaps = GapsOf(std::exchange(job->unreported_gaps, {}));
  }
  return reply;
}

void GatewayServer::CollectPartial(Timestamp now, RequestId id,
                                   const std::optional<query::Answer>& answer) {
  Active& active = active_.at(id);
  PartialJob& job = *active.partial;
  for (query::ShardPayload& part : active.execution->TakeNewShardResults()) {
    job.unreported.push_back(std::move(part));
  }
  for (const query::MissingShard& gap : active.execution->TakeNewMissingShards()) {
    job.unreported_gaps.push_back(gap);
    ++job.gaps;
  }
  if (answer.has_value()) {
    wire::PartialAnswer reply = TakePartialAnswer(&job, wire::PartialStage::kDone);
    reply.gaps = GapsOf(answer->coverage.missing);
    reply.run = static_cast<uint32_t>(answer->run);
    reply.extra = answer->extra_sub_requests;
    SendPartialAnswer(job.session, std::move(reply), active.priority);
    output_.partials.push_back(
        {active.request->request_id, active.request->identity, job.route, active.tenant,
         answer->run, job.started - active.execution->started(), now - active.execution->started(),
         answer->coverage.total(), answer->extra_sub_requests, answer->budget_denied_shards,
         active.execution->Attempts(), answer->coverage.missing});
    Remove(id);
    return;
  }
  const Timestamp report_due =
      std::max(job.report_at, job.last_reply + options_.knobs.report_interval);
  const Timestamp progress_due = job.last_reply + options_.knobs.progress_interval;
  // The whole gather may fail because of this group, so the root is notified early.
  const bool gather_may_fail = !job.unreported_gaps.empty() && job.gaps > job.max_missing &&
                               now >= job.last_reply + options_.knobs.report_interval;
  const bool report = gather_may_fail || (!job.unreported.empty() && now >= report_due);
  if (report || now >= progress_due) {
    SendPartialAnswer(job.session,
                      report ? TakePartialAnswer(&job, wire::PartialStage::kShardResults)
                             : EmptyPartialAnswer(job.query_id, wire::PartialStage::kAccepted),
                      active.priority);
    job.last_reply = now;
  }
  Timestamp wake =
      std::min(active.execution->NextWake(now), job.last_reply + options_.knobs.progress_interval);
  if (!job.unreported_gaps.empty() && job.gaps > job.max_missing) {
    wake = std::min(wake, job.last_reply + options_.knobs.report_interval);
  }
  if (!job.unreported.empty() || job.report_at > now) {
    wake = std::min(wake, std::max(job.report_at, job.last_reply + options_.knobs.report_interval));
  }
  Schedule(id, std::max(now, wake));
}

}  // namespace pumicedyke::gateway
