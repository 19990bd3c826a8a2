#include "server/gateway_log.h"

#include <xxhash.h>

#include <algorithm>

#include "common/result_code.h"

namespace pumicedyke::server {
namespace {

bool Sampled(const std::string& request_id) {
  return XXH64(request_id.data(), request_id.size(), 0) % GatewayLog::kSampledOneIn == 0;
}

Json OptionalJson(const std::optional<Duration>& duration) {
  return duration.has_value() ? Json(ToMilliseconds(*duration)) : Json();
}

/// Lists the sub-requests that are not "done", such as those of missing shards, or `all` of them.
Json AttemptsJson(const std::vector<query::AttemptRecord>& attempts, bool all) {
  Json list = Json::array();
  for (const query::AttemptRecord& attempt : attempts) {
    const bool included = all || std::string_view(attempt.state) != "done";
    if (included) {
      Json item{{"shard", attempt.shard.value},
                {"leaf", attempt.leaf},
                {"sent_ms", ToMilliseconds(attempt.sent)},
                {"ended_ms", OptionalJson(attempt.ended)},
                {"state", attempt.state}};
      if (!attempt.failure.empty()) {
        item["failure"] = attempt.failure;
      }
      list.push_back(std::move(item));
    }
  }
  return list;
}

/// Lists all partial queries to other gateways, since a failed shard is traced from here.
Json PartialQueriesJson(const std::vector<query::PartialQueryRecord>& partial_queries) {
  Json list = Json::array();
  for (const query::PartialQueryRecord& partial_query : partial_queries) {
    list.push_back({{"group", partial_query.group},
                    {"merger", partial_query.merger},
                    {"sent_ms", ToMilliseconds(partial_query.sent)},
                    {"accepted_after_ms", OptionalJson(partial_query.accepted_after)},
                    {"state", partial_query.state}});
  }
  return list;
}

/// A count of names with the first few of them. One log line for each of thousands of leafs would
/// grow with the number of gateways times the number of leafs.
class NameList {
 public:
  void Add(const std::string& name) {
    ++count_;
    if (names_.size() < kMaxNames) {
      names_.push_back(name);
    }
  }
  size_t count() const { return count_; }
  Json ToJson() const { return {{"count", count_}, {"first", names_}}; }

 private:
  static constexpr size_t kMaxNames = 4;
  size_t count_ = 0;
  std::vector<std::string> names_;
};

/// Returns how long before its decision an incomplete answer was due.
Json DueBeforeDecisionJson(const gateway::RequestTrace& trace) {
  return trace.due.has_value() ? OptionalJson(trace.decided - *trace.due) : Json();
}

Json MissingJson(const std::vector<query::MissingShard>& missing) {
  Json list = Json::array();
  for (const query::MissingShard& shard : missing) {
    list.push_back({{"shard", shard.shard.value}, {"reason", query::ReasonName(shard.reason)}});
  }
  return list;
}

}  // namespace

bool GatewayLog::Allow(Timestamp now) {
  constexpr Duration kSecond = Seconds(1);
  if (!limiter_.Allow(now.time_since_epoch() / kSecond)) {
    return false;
  }
  if (const uint64_t left_out = limiter_.TakeSuppressed(); left_out > 0) {
    LogEvent("lines_left_out", {{"lines", left_out}, {"dropped", DroppedLogLines()}});
  }
  return true;
}

void GatewayLog::OnAnswer(Timestamp now, const gateway::GatewayAnswer& answer, int status) {
  const std::string& request_id = answer.request->request_id;
  const bool sampled = Sampled(request_id);
  const bool whole = answer.code == ResultCode::kOk;
  if ((whole && !sampled) || !Allow(now)) {
    return;
  }
  const gateway::RequestTrace& trace = answer.trace;
  LogEvent("request_answered", {{"request", request_id},
                                {"identity", ToText(answer.request->identity)},
                                {"route", trace.route},
                                {"tenant", trace.tenant},
                                {"result", InfoOf(answer.code).name},
                                {"status", status},
                                {"run", query::RunStateName(answer.run)},
                                {"client_waits_ms", ToMilliseconds(answer.request->deadline)},
                                {"client_spent_ms", OptionalJson(trace.spent)},
                                {"round_trip_ms", ToMilliseconds(trace.round_trip)},
                                {"elapsed_ms", ToMilliseconds(trace.elapsed)},
                                {"waited_ms", ToMilliseconds(trace.waited)},
                                {"written_ms", ToMilliseconds(now - trace.decided)},
                                {"due_before_ms", DueBeforeDecisionJson(trace)},
                                {"document_version", trace.document_version},
                                {"config_age_ms", ToMilliseconds(trace.config_age)},
                                {"retry_after_ms", ToMilliseconds(answer.retry_after)},
                                {"extra", trace.extra_sub_requests},
                                {"unpaid", trace.budget_denied_shards},
                                {"missing", MissingJson(trace.missing)},
                                {"questions", PartialQueriesJson(trace.partial_queries)},
                                {"attempts", AttemptsJson(trace.attempts, sampled)}});
}

void GatewayLog::OnPartial(Timestamp now, const gateway::PartialTrace& trace) {
  const bool sampled = Sampled(trace.request_id);
  if ((trace.missing.empty() && !sampled) || !Allow(now)) {
    return;
  }
  LogEvent("partial_answered", {{"request", trace.request_id},
                                {"identity", ToText(trace.identity)},
                                {"route", trace.route},
                                {"tenant", trace.tenant},
                                {"run", query::RunStateName(trace.run)},
                                {"waited_ms", ToMilliseconds(trace.waited)},
                                {"elapsed_ms", ToMilliseconds(trace.elapsed)},
                                {"shards", trace.shards},
                                {"extra", trace.extra_sub_requests},
                                {"unpaid", trace.budget_denied_shards},
                                {"missing", MissingJson(trace.missing)},
                                {"attempts", AttemptsJson(trace.attempts, sampled)}});
}

void GatewayLog::OnClientDisconnected(Timestamp now, const std::string& request_id,
                                      const gateway::RequestTrace& trace) {
  if (Allow(now)) {
    LogEvent("client_left", {{"request", request_id},
                             {"elapsed_ms", ToMilliseconds(trace.elapsed)},
                             {"waited_ms", ToMilliseconds(trace.waited)},
                             {"attempts", AttemptsJson(trace.attempts, /*all=*/true)}});
  }
}

void GatewayLog::OnRunReport(Timestamp now, const wire::RunReport& report) {
  if (!Allow(now)) {
    return;
  }
  NameList lost;
  std::set<std::string> requests;
  for (const wire::LostRun& run : report.lost) {
    lost.Add(run.leaf);
    requests.insert(ToText(run.identity));
  }
  NameList identities;
  for (const std::string& request : requests) {
    identities.Add(request);
  }
  NameList succeeded;
  for (const RequestIdentity& request : report.succeeded) {
    succeeded.Add(ToText(request));
  }
  NameList alive_leafs;
  for (const std::string& leaf : report.alive_leafs) {
    alive_leafs.Add(leaf);
  }
  LogEvent("runs_reported", {{"number", report.number},
                             {"age_ms", ToMilliseconds(report.age)},
                             {"lost_at", lost.ToJson()},
                             {"identities", identities.ToJson()},
                             {"succeeded", succeeded.ToJson()},
                             {"answering", alive_leafs.ToJson()}});
}

void GatewayLog::OnSuspectsNoticed(Timestamp now, const std::vector<RequestIdentity>& requests) {
  if (requests.empty() || !Allow(now)) {
    return;
  }
  NameList identities;
  for (const RequestIdentity& request : requests) {
    identities.Add(ToText(request));
  }
  LogEvent("suspects_noticed", {{"identities", identities.ToJson()}});
}

void GatewayLog::OnSuspectAttempt(Timestamp now, const gateway::SuspectAttempt& attempt) {
  if (!Allow(now)) {
    return;
  }
  const bool own = attempt.suspicion == quarantine::Suspicion::kOwnLosses;
  LogEvent("suspect_started", {{"request", attempt.request_id},
                               {"identity", ToText(attempt.identity)},
                               {"known_by", own ? "own_losses" : "notice"}});
}

void GatewayLog::OnTrial(Timestamp now, const gateway::TrialRecord& trial) {
  if (!Allow(now)) {
    return;
  }
  LogEvent("trial_decided", {{"request", trial.request_id},
                             {"identity", ToText(trial.identity)},
                             {"verdict", wire::TrialVerdictName(trial.outcome.verdict)},
                             {"answered", trial.outcome.answered},
                             {"number", trial.outcome.number},
                             {"waited_ms", ToMilliseconds(trial.outcome.waited)},
                             {"retry_after_ms", ToMilliseconds(trial.outcome.retry_after)}});
}

void GatewayLog::OnControlLink(const std::string& address, bool up) {
  LogEvent(up ? "control_regained" : "control_lost", {{"control", address}});
}

void GatewayLog::OnControlForgotten(const std::string& address) {
  LogEvent("control_forgotten", {{"control", address}});
}

void GatewayLog::OnState(Timestamp now, const gateway::GatewayServer& server) {
  if (ready_ != server.ready() || document_version_ != server.document_version()) {
    ready_ = server.ready();
    document_version_ = server.document_version();
    LogEvent("routes_in_force", {{"ready", ready_},
                                 {"document_version", document_version_},
                                 {"config_age_ms", ToMilliseconds(server.ConfigAge(now))}});
  }
  if (keys_proven_ != server.KeysProven(now)) {
    keys_proven_ = !keys_proven_;
    LogEvent(keys_proven_ ? "keys_proven" : "keys_unproven",
             {{"config_version", server.config_version()},
              {"document_version", document_version_},
              {"config_age_ms", ToMilliseconds(server.ConfigAge(now))}});
  }
  LogZoneChanges(now, server);
  LogQuarantineChanges(now, server);
  LogAccountChanges(now, server);
  LogExtraLoad(now, server);
  if (changed_leafs_.empty() || now - leafs_logged_at_ < kLeafsInterval) {
    return;
  }
  leafs_logged_at_ = now;
  LogLeafChanges(server.leafs());
}

void GatewayLog::LogLeafChanges(const gateway::LeafView& view) {
  NameList added;
  NameList leaving;
  NameList removed;
  for (const std::string& leaf : std::exchange(changed_leafs_, {})) {
    const auto before = leafs_.find(leaf);
    const auto known = view.leafs().find(leaf);
    if (known == view.leafs().end()) {
      if (before != leafs_.end()) {
        removed.Add(leaf);
        leafs_.erase(before);
      }
      continue;
    }
    const bool resumed = before != leafs_.end() && before->second && !known->second.draining;
    if (before == leafs_.end() || resumed) {
      added.Add(leaf);
    } else if (before->second != known->second.draining) {
      leaving.Add(leaf);
    }
    leafs_[leaf] = known->second.draining;
  }
  if (added.count() + leaving.count() + removed.count() > 0) {
    LogEvent("leafs_changed", {{"leafs", view.leafs().size()},
                               {"usable", view.usable_count()},
                               {"come", added.ToJson()},
                               {"leaving", leaving.ToJson()},
                               {"gone", removed.ToJson()}});
  }
}

void GatewayLog::LogAccountChanges(Timestamp now, const gateway::GatewayServer& server) {
  const limits::LimitLender& lender = server.limits().lender();
  if (lender.changes() == logged_account_changes_ || now - accounts_logged_at_ < kLeafsInterval) {
    return;
  }
  accounts_logged_at_ = now;
  logged_account_changes_ = lender.changes();
  NameList first;
  NameList second;
  NameList settling;
  for (const limits::AccountStats& account : lender.Stats()) {
    const std::string name = account.account.tenant + "/" + std::to_string(account.account.part);
    if (!account.settled) {
      settling.Add(name);
    } else if (account.role == limits::LenderRole::kPrimary) {
      first.Add(name);
    } else {
      second.Add(name);
    }
  }
  LogEvent("limit_accounts", {{"first", first.ToJson()},
                              {"second", second.ToJson()},
                              {"settling", settling.ToJson()},
                              {"config_age_ms", ToMilliseconds(server.ConfigAge(now))}});
}

void GatewayLog::LogQuarantineChanges(Timestamp now, const gateway::GatewayServer& server) {
  if (server.quarantined() == quarantined_) {
    return;
  }
  quarantined_ = server.quarantined();
  NameList requests;
  for (const RequestIdentity& request : quarantined_) {
    requests.Add(ToText(request));
  }
  LogEvent("quarantine_in_force", {{"identities", requests.ToJson()},
                                   {"config_version", server.config_version()},
                                   {"config_age_ms", ToMilliseconds(server.ConfigAge(now))}});
}

std::vector<GatewayLog::TightLimit> GatewayLog::TakeTightLimits(
    Timestamp now, const gateway::GatewayServer& server) {
  constexpr double kMostlyUsed = 0.5;
  std::vector<TightLimit> limits;
  for (const gateway::ServiceLoadUse& service : server.ExtraLoadUses(now)) {
    const balance::ExtraLoadUse& use = service.use;
    const uint64_t denied = use.denied - std::exchange(denied_[service.service], use.denied);
    const bool mostly_used = use.extra > 0 && use.extra >= kMostlyUsed * use.bound;
    if (denied > 0 || mostly_used) {
      limits.push_back({service, denied});
    }
  }
  return limits;
}

void GatewayLog::LogExtraLoad(Timestamp now, const gateway::GatewayServer& server) {
  constexpr size_t kMaxServices = 8;
  if (now - extra_load_logged_at_ < kExtraLoadInterval) {
    return;
  }
  extra_load_logged_at_ = now;
  std::vector<TightLimit> limits = TakeTightLimits(now, server);
  if (limits.empty()) {
    return;
  }
  std::stable_sort(limits.begin(), limits.end(),
                   [](const TightLimit& a, const TightLimit& b) { return a.denied > b.denied; });
  Json first = Json::array();
  for (size_t i = 0; i < std::min(limits.size(), kMaxServices); ++i) {
    const gateway::ServiceLoadUse& service = limits[i].service;
    first.push_back({{"service", service.service},
                     {"owners", service.co_owners},
                     {"regular", service.use.regular},
                     {"extra", service.use.extra},
                     {"allowed", service.use.bound},
                     {"fixed", service.use.fixed},
                     {"denied", limits[i].denied}});
  }
  const gateway::ShareLease& lease = server.share_lease();
  LogEvent("extra_load", {{"age_ms", ToMilliseconds(now - server.started())},
                          {"settled", lease.Settled(now)},
                          {"share_held", lease.Held(now)},
                          {"sharing_gateways", lease.Sharers(now)},
                          {"services", {{"count", limits.size()}, {"first", first}}}});
}

void GatewayLog::LogZoneChanges(Timestamp now, const gateway::GatewayServer& server) {
  const std::set<std::string>& evacuated = server.leafs().evacuated();
  if (evacuated == evacuated_) {
    return;
  }
  evacuated_ = evacuated;
  LogEvent("zones_evacuated", {{"zones", evacuated_},
                               {"config_version", server.config_version()},
                               {"config_age_ms", ToMilliseconds(server.ConfigAge(now))}});
}

}  // namespace pumicedyke::server
