#include "gateway/gateway_server.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "gateway/record_merge.h"
#include "routing/allowed_regions.h"

namespace pumicedyke::gateway {
namespace {

/// Assumed time between sending and arrival of a request, deducted from the client's deadline.
constexpr Duration kClientSendDelay = Milliseconds(10);
/// Divisor of a route's objective that gives the delay of its first hedges.
constexpr int kInitialHedgeDivisor = 3;
constexpr Duration kMaxSleep = Milliseconds(200);

/// Number of requests of a route after which the longest deadline seen is taken to be the clients'
/// time-out. Most clients keep their connections, so some requests arrive with no time spent.
constexpr uint64_t kMinDeadlineSamples = 16;

Duration Fraction(Duration whole, double fraction) {
  return Duration(static_cast<int64_t>(static_cast<double>(whole.count()) * fraction));
}

template <typename Item>
void SortByPriority(std::vector<Item>* items) {
  const auto before = [](const Item& a, const Item& b) { return a.priority < b.priority; };
  if (!std::is_sorted(items->begin(), items->end(), before)) {
    std::stable_sort(items->begin(), items->end(), before);
  }
}

/// Returns the assumed lag of answers before any was measured: from the time for processing one
/// partial answer to that for as many as may arrive together.
RecentDurations InitialAnswerLag(const GatewayOptions& options) {
  RecentDurations lag(options.knobs.lag_half_life_samples);
  for (const size_t messages : {1U, 2U, 2U, 4U, 4U, 8U}) {
    lag.Record(
        TimeForPartialAnswers(messages, options.processor_share, options.knobs.sharing_costs));
  }
  return lag;
}

/// Returns an id of this incarnation of the gateway among all reporters to control.
uint64_t ReporterOf(const GatewayOptions& options) {
  const std::string life = options.node + "." + std::to_string(options.incarnation);
  return XXH64(life.data(), life.size(), 0);
}

}  // namespace

GatewayServer::GatewayServer(GatewayOptions options, const routing::DocumentReader* documents,
                             Timestamp now)
    : options_(std::move(options)),
      documents_(documents),
      subscriber_({.cluster = options_.cluster,
                   .node = options_.node,
                   .incarnation = options_.incarnation,
                   .control_machines = options_.control.size(),
                   .silence_limit = tenants::SilenceLimit(options_.entry.key_lease,
                                                          node::SubscriberOptions{}.silence_limit),
                   .starting_silence_limit = Milliseconds(200),
                   .record_changed_leafs = true},
                  now),
      ids_(options_.incarnation),
      view_(options_.leaf_view, &subscriber_.config()),
      pool_(options_.knobs.balance, options_.incarnation),
      pool_updater_(options_.node, options_.zone, &pool_),
      share_lease_({.window = options_.extra_load.window,
                    .spare_gateways = options_.knobs.spare_gateways,
                    .first_start = options_.first_start},
                   now),
      extra_load_(options_.extra_load, options_.knobs.mergers_allowance_share,
                  options_.knobs.spare_gateways, &share_lease_),
      owners_({.node = options_.node,
               .zone = options_.zone,
               .holding_time = share_lease_.holding_time(),
               .absence_limit = share_lease_.term()},
              now, &view_, &peers_, &options_.regions),
      run_tracker_(options_.knobs.run_tracker),
      reports_(ReporterOf(options_)),
      answer_lag_(InitialAnswerLag(options_)),
      gate_(options_.entry, options_.node, options_.incarnation),
      started_(now) {
  SetControlSeeds(options_.control);
}

GatewayServer::~GatewayServer() = default;

GatewayOutput GatewayServer::TakeOutput() {
  GatewayOutput output = std::exchange(output_, {});
  SortByPriority(&output.answers);
  SortByPriority(&output.peer_messages);
  SortByPriority(&output.peer_replies);
  SortByPriority(&output.sends);
  return output;
}

// ---- Requests -----------------------------------------------------------------------------------

size_t GatewayServer::ConnectionsOf(const std::string& service) const {
  const routing::ServiceSpec* spec = table_ == nullptr ? nullptr : table_->FindService(service);
  return spec == nullptr ? 0 : spec->max_connections;
}

size_t GatewayServer::ConnectionShare(Timestamp now, const std::string& service) const {
  return std::max<size_t>(1, ConnectionsOf(service) / share_lease_.Sharers(now));
}

std::vector<std::string> GatewayServer::LeafsIn(const std::set<std::string>& allowed_regions,
                                                const std::string& service) const {
  std::vector<std::string> leafs = view_.UsableLeafs(service);
  std::erase_if(leafs, [&](const std::string& leaf) {
    return !IsAllowedZone(allowed_regions, view_.leafs().at(leaf).zone);
  });
  return leafs;
}

const GatewayServer::Target& GatewayServer::TargetOf(const std::vector<std::string>& services,
                                                     const std::set<std::string>& allowed_regions) {
  Target& target = targets_[{services, allowed_regions}];
  if (target.service != nullptr && target.view_version == view_.version()) {
    return target;
  }
  target.view_version = view_.version();
  target.service = std::make_shared<config::Service>();
  target.budgets.clear();
  config::PublishedSnapshot snapshot{SnapshotId{table_->version()}, {}};
  for (size_t i = 0; i < services.size(); ++i) {
    snapshot.shards.push_back({ShardId{i}, LeafsIn(allowed_regions, services[i])});
    target.budgets.push_back(extra_load_.BudgetOf(services[i]));
  }
  target.service->snapshots.push_back(std::move(snapshot));
  return target;
}

GatewayServer::RouteRuntime& GatewayServer::RuntimeOf(const std::string& route,
                                                      Duration objective) {
  RouteRuntime& runtime = runtimes_[route];
  if (runtime.latencies == nullptr) {
    const uint64_t hash = XXH64(route.data(), route.size(), options_.incarnation);
    runtime.choice = routing::WeightedChoice(
        static_cast<uint32_t>(hash % routing::WeightedChoice::kStartPositions));
    runtime.latencies = std::make_unique<balance::LatencyTracker>(
        options_.knobs.balance.latency_window, objective / kInitialHedgeDivisor);
  }
  return runtime;
}

Duration GatewayServer::LeafLatency(const std::string& route, double quantile) const {
  const auto runtime = runtimes_.find(route);
  return runtime == runtimes_.end() ? Duration(0) : runtime->second.latencies->Quantile(quantile);
}

std::optional<Duration> GatewayServer::SpentByClient(const routing::Route& route,
                                                     const PayloadRequest& request) const {
  const auto runtime = runtimes_.find(route.name);
  if (request.deadline.count() == 0 || runtime == runtimes_.end()) {
    return std::nullopt;
  }
  const Duration most = Fraction(route.objective, options_.knobs.max_client_spent_share);
  // If clients wait about as long as the route allows, the route's time-out is the total time;
  // otherwise the longest deadline seen is.
  const Duration seen = runtime->second.max_client_deadline;
  const bool near_timeout = route.timeout >= seen && route.timeout - seen <= most;
  if (!near_timeout && runtime->second.deadline_samples < kMinDeadlineSamples) {
    return std::nullopt;
  }
  const Duration spent = (near_timeout ? route.timeout : seen) - request.deadline;
  return spent <= most ? std::optional(spent) : std::nullopt;
}

Duration GatewayServer::AnswerMargin(const routing::Route& route,
                                     const PayloadRequest& request) const {
  const GatewayKnobs& knobs = options_.knobs;
  const std::optional<Duration> spent = SpentByClient(route, request);
  if (!spent.has_value()) {
    return std::min(knobs.answer_margin, Fraction(route.objective, knobs.max_answer_margin_share));
  }
  return *spent +
         std::min(knobs.network_margin, Fraction(route.objective, knobs.max_network_margin_share));
}

policy::QueryPlan GatewayServer::PlanFor(const routing::Route& route,
                                         const PayloadRequest& request) const {
  policy::QueryPlan plan;
  const Duration client_wait = request.deadline.count() > 0 ? request.deadline - kClientSendDelay
                                                            : options_.knobs.default_client_timeout;
  plan.deadline = std::max(Duration(0), std::min(route.timeout, client_wait));
  plan.wait = std::min(plan.deadline, route.objective - AnswerMargin(route, request));
  plan.min_coverage = route.gathers() ? route.min_coverage : 1.0;
  plan.extra_load = options_.extra_load.ratio;
  plan.hedge_quantile = options_.knobs.hedge_quantile;
  plan.repeatable = route.repeatable;
  plan.max_attempts = std::max(1U, route.max_attempts);
  return plan;
}

void GatewayServer::MergeIfLeafsMissing(Timestamp now, const std::vector<std::string>& services) {
  const bool lacks = std::any_of(
      services.begin(), services.end(),
      [this](const std::string& service) { return view_.UsableLeafs(service).empty(); });
  if (!lacks) {
    return;
  }
  if (view_.next_merge().has_value()) {
    view_.Merge(now);
    SyncPool(now);
  }
}

void GatewayServer::StartExecution(Timestamp now, RequestId id, const routing::Route& route,
                                   std::shared_ptr<const PayloadRequest> request,
                                   const tenants::Tenant* tenant, Timestamp arrived,
                                   uint32_t trial) {
  std::optional<std::set<std::string>> allowed_regions = routing::AllowedRegionsOf(route, tenant);
  if (!allowed_regions.has_value()) {
    Refuse(now, id, std::move(request), ResultCode::kCoverageNotReached, Duration(0));
    return;
  }
  if (StopsBeforeAnswer(now, route.name, route.repeatable)) {
    RefuseStopping(now, id, std::move(request));
    return;
  }
  Active& active = active_[id];
  active.request = std::move(request);
  active.allowed_regions = *std::move(allowed_regions);
  active.trial = trial;
  if (!table_->set().keyed) {
    active.head = HeadWithCallerHeaders(*active.request);
  }
  if (tenant != nullptr) {
    active.tenant = tenant->name;
    active.priority = tenant->priority.value_or(route.priority);
  } else {
    active.priority = route.priority;
  }
  active.table = table_;
  active.route = &route;
  active.runtime = &RuntimeOf(route.name, route.objective);
  active.runtime->max_client_deadline =
      std::max(active.runtime->max_client_deadline, active.request->deadline);
  ++active.runtime->deadline_samples;
  active.repeatable = route.repeatable;
  active.gathers = route.gathers();
  if (StartShared(now, id, &active, arrived)) {
    return;
  }
  const std::vector<std::string> services =
      route.gathers() ? route.shards
                      : std::vector<std::string>{active.runtime->choice.Next(route.services)};
  MergeIfLeafsMissing(now, services);
  const Target& target = TargetOf(services, active.allowed_regions);
  const config::PublishedSnapshot& snapshot = target.service->snapshots.back();
  query::CallerRequest caller;
  caller.service = route.name;
  // A request keeps the shards of one document, even if a newer one arrives meanwhile.
  caller.snapshot = snapshot.id;
  query::ServiceContext context{&pool_, target.budgets.front(), active.runtime->latencies.get(),
                                [this] { return SubRequestId{ids_.Next()}; }, target.budgets};
  query::ExecutionOptions options = ExecutionOptionsFor(now, *active.request);
  options.retry_refusing_leafs = route.gathers();
  options.limit_retry_wait = !route.gathers();
  options.rank = query::RankOf(active.request->request_id);
  options.max_missing = query::MaxMissing(services.size(), route.min_coverage, /*groups=*/1,
                                          /*group=*/0, active.request->request_id);
  active.execution = std::make_unique<query::RequestExecution>(
      std::move(caller), PlanFor(route, *active.request), nullptr, target.service, snapshot,
      std::move(context), options, arrived);
  LimitToStop(now, &active);
  active.execution->Advance(now);
  Collect(now, id);
}

void GatewayServer::OnLeafReply(Timestamp now, const query::LeafReply& reply) {
  run_tracker_.OnEnded(now, reply);
  const std::optional<Duration> latency = pool_.OnReply(now, reply);
  const auto found = request_of_.find(reply.id);
  if (found == request_of_.end()) {
    return;
  }
  const RequestId id = found->second;
  Active& active = active_.at(id);
  if (latency.has_value() && reply.status == query::LeafStatus::kOk) {
    active.runtime->latencies->Record(*latency);
  }
  query::LeafReply known = reply;
  known.snapshot = active.execution->snapshot();
  active.execution->OnReply(now, known);
  Collect(now, id);
}

void GatewayServer::CollectSends(Timestamp now, Active* active, RequestId id,
                                 const query::ExecutionActions& actions) {
  for (const query::LeafRequest& send : actions.sends) {
    const wire::LeafRecord& record = view_.leafs().at(send.leaf);
    request_of_[send.id] = id;
    active->out.push_back(send.id);
    LeafSend out;
    out.id = send.id;
    out.leaf = send.leaf;
    out.address = record.address;
    out.request = active->request;
    out.budget = send.budget;
    out.repeatable = active->repeatable;
    out.max_connections =
        std::max(ConnectionShare(now, record.service), active->merger_connections);
    out.keep_connection =
        active->merger_connections > 0 || pool_updater_.IsPreferred(record.service, send.leaf);
    if (active->merger_connections > 0) {
      out.retained_connections =
          std::min(options_.knobs.merger_retained_connections, active->merger_connections);
    }
    out.shard = send.shard;
    out.keep_headers = !active->gathers;
    out.tenant = active->tenant;
    out.head = active->head;
    out.priority = active->priority;
    TrackRun(now, *active, send.id, record);
    output_.sends.push_back(std::move(out));
  }
  for (const query::SubRequestCancel& cancel : actions.cancels) {
    output_.cancels.push_back({cancel.id, /*stop_work=*/cancel.overdue});
  }
}

void GatewayServer::Collect(Timestamp now, RequestId id) {
  Active& active = active_.at(id);
  query::ExecutionActions actions = active.execution->TakeActions();
  const std::optional<query::Answer> answer = std::move(actions.answer);
  CollectSends(now, &active, id, actions);
  if (active.partial.has_value()) {
    CollectPartial(now, id, answer);
    return;
  }
  if (answer.has_value()) {
    EndTrial(active);
    Answer(now, id, active, *answer);
    Remove(id);
    return;
  }
  Schedule(id, active.execution->NextWake(now));
}

void GatewayServer::Advance(Timestamp now, RequestId id) {
  Active& active = active_.at(id);
  if (active.shared != nullptr) {
    active.shared->Advance(now);
    CollectShared(now, id);
    return;
  }
  active.execution->Advance(now);
  Collect(now, id);
}

void GatewayServer::Answer(Timestamp now, RequestId id, const Active& active,
                           const query::Answer& answer) {
  GatewayAnswer out;
  out.id = id;
  out.request = active.request;
  out.code = answer.code;
  out.run = answer.run;
  out.priority = active.priority;
  out.retry_after = answer.code == ResultCode::kQuarantined ? options_.knobs.retry_when_quarantined
                                                            : answer.retry_after;
  out.trace.route = active.route->name;
  out.trace.tenant = active.tenant;
  out.trace.document_version = active.table->version();
  out.trace.config_age = subscriber_.Age(now);
  out.trace.elapsed = now - active.execution->started();
  out.trace.waited = active.execution->WaitedAt(now);
  out.trace.extra_sub_requests = answer.extra_sub_requests;
  out.trace.budget_denied_shards = answer.budget_denied_shards;
  out.trace.attempts = active.execution->Attempts();
  out.trace.missing = answer.coverage.missing;
  const bool success = answer.code == ResultCode::kOk || answer.code == ResultCode::kPartial;
  if (!active.route->gathers()) {
    out.payload = success ? answer.payloads.front().payload : answer.failure;
  } else if (success) {
    out.gathered = true;
    std::vector<std::string_view> parts;
    for (const query::ShardPayload& part : answer.payloads) {
      parts.push_back(part.payload->body);
      out.signatures.push_back(part.payload->signature);
    }
    out.records = MergeGreatest(parts, active.route->top_records);
    out.missing_shards = answer.coverage.missing.size();
  }
  output_.answers.push_back(std::move(out));
}

WorkInProgress GatewayServer::Work(Timestamp now) const {
  constexpr size_t kMaxNames = 4;
  WorkInProgress work;
  work.not_started = early_.size() + held_.size() + awaiting_trial_.size();
  // Ids grow with time, so the first ones are the oldest.
  for (const auto& [id, active] : active_) {
    const bool runs = active.shared == nullptr && active.execution->running();
    work.shared += active.shared != nullptr ? 1 : 0;
    work.partials += active.partial.has_value() ? 1 : 0;
    work.running += runs ? 1 : 0;
    work.waiting += active.shared == nullptr && !runs ? 1 : 0;
    if (work.oldest.empty()) {
      work.oldest_age = now - StartOf(active);
    }
    if (work.oldest.size() < kMaxNames) {
      work.oldest.push_back(active.request->request_id);
    }
  }
  return work;
}

RequestTrace GatewayServer::TraceOf(Timestamp now, RequestId id) const {
  RequestTrace trace;
  const auto found = active_.find(id);
  if (found == active_.end()) {
    return trace;
  }
  const Active& active = found->second;
  trace.elapsed = now - StartOf(active);
  if (active.execution != nullptr) {
    trace.waited = active.execution->WaitedAt(now);
    trace.attempts = active.execution->Attempts();
  }
  return trace;
}

Timestamp GatewayServer::StartOf(const Active& active) {
  return active.shared != nullptr ? active.shared->started() : active.execution->started();
}

void GatewayServer::Schedule(RequestId id, Timestamp wake) {
  Active& active = active_.at(id);
  wakes_.erase({active.wake, id});
  active.wake = wake;
  wakes_.insert({wake, id});
}

void GatewayServer::Remove(RequestId id) {
  const auto it = active_.find(id);
  wakes_.erase({it->second.wake, id});
  for (const SubRequestId out : it->second.out) {
    request_of_.erase(out);
  }
  for (const uint64_t query_id : it->second.partial_query_ids) {
    request_of_partial_query_.erase(query_id);
  }
  if (it->second.partial.has_value()) {
    partials_.erase({it->second.partial->session, it->second.partial->query_id});
  }
  active_.erase(it);
}

// ---- Time ---------------------------------------------------------------------------------------

void GatewayServer::Tick(Timestamp now) {
  view_.Tick(now);
  SyncPool(now);
  MaintainControlLinks(now);
  SyncOwnerships(now);
  ReleaseEarly(now);
  gate_.limits().Tick(now, subscriber_.proven_at());
  ApplyLimitOutput(now);
  ReportRuns(now);
  UpdateTrials(now);
  RefuseBeforeKill(now);
  WakeRequests(now);
}

void GatewayServer::WakeRequests(Timestamp now) {
  std::vector<std::pair<int, RequestId>> due;
  for (auto it = wakes_.begin(); it != wakes_.end() && it->first <= now; ++it) {
    due.emplace_back(active_.at(it->second).priority, it->second);
  }
  std::stable_sort(due.begin(), due.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [priority, id] : due) {
    // A request handled before may have removed this one.
    if (active_.contains(id)) {
      Advance(now, id);
    }
    const auto it = active_.find(id);
    if (it != active_.end() && it->second.wake <= now) {
      // The request asks to be advanced again at once; the next iteration of the loop is soon
      // enough.
      Schedule(id, now + Milliseconds(1));
    }
  }
}

Timestamp GatewayServer::NextWake(Timestamp now) const {
  Timestamp wake = now + kMaxSleep;
  if (!wakes_.empty()) {
    wake = std::min(wake, wakes_.begin()->first);
  }
  for (const auto& [address, link] : links_) {
    wake = std::min(wake, link.next_presence);
  }
  for (const auto& [id, early] : early_) {
    wake = std::min(wake, early.until);
  }
  if (answer_by_.has_value() && *answer_by_ > now) {
    wake = std::min(wake, *answer_by_);
  }
  if (run_tracker_.has_report()) {
    wake = std::min(wake, runs_reported_ + options_.knobs.run_report_interval);
  }
  wake = std::min(wake, reports_.next().value_or(wake));
  wake = std::min(wake, trials_.next().value_or(wake));
  wake = std::min(wake, view_.next_merge().value_or(wake));
  wake = std::min(wake, gate_.limits().NextWake(now));
  return wake;
}

}  // namespace pumicedyke::gateway
