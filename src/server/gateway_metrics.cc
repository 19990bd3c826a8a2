#include "server/gateway_metrics.h"

#include <algorithm>
#include <array>

#include "common/log.h"
#include "http/metrics.h"
#include "server/report_log.h"

namespace pumicedyke::server {
namespace {

struct NamedQuantile {
  double quantile;
  const char* name;
};
constexpr std::array<NamedQuantile, 3> kQuantiles = {{{0.5, "0.5"}, {0.9, "0.9"}, {0.99, "0.99"}}};

}  // namespace

RouteCounts* GatewayMetrics::RouteCountsFor(const std::string& route) {
  const bool has_own_counts = routes_.contains(route) || routes_.size() < kMaxRoutes;
  return &routes_[has_own_counts ? route : std::string()];
}

void GatewayMetrics::RecordStep(RouteCounts* counts, const char* step, Duration duration) {
  counts->steps.try_emplace(step, kStepHalfLife).first->second.Record(duration);
}

void GatewayMetrics::OnPartial(const gateway::PartialTrace& partial) {
  RouteCounts* counts = RouteCountsFor(partial.route);
  RecordStep(counts, "question_wait", partial.waited);
  RecordStep(counts, "merge", partial.elapsed);
}

void GatewayMetrics::OnAnswer(const gateway::GatewayAnswer& answer) {
  const gateway::RequestTrace& trace = answer.trace;
  RouteCounts& counts = *RouteCountsFor(trace.route);
  ++counts.answers[answer.code];
  counts.extra_sub_requests += trace.extra_sub_requests;
  counts.missing_shards += answer.missing_shards;
  Record(&counts.latency, trace.elapsed);
  if (!answer.gathered) {
    return;
  }
  RecordStep(&counts, "decide", trace.elapsed);
  if (trace.spent.has_value()) {
    RecordStep(&counts, "client_spent", *trace.spent);
  }
  if (trace.round_trip.count() > 0) {
    RecordStep(&counts, "way", trace.round_trip);
  }
  if (trace.due.has_value()) {
    RecordStep(&counts, "overdue", trace.decided - *trace.due);
  }
  for (const query::PartialQueryRecord& partial_query : trace.partial_queries) {
    if (partial_query.accepted_after.has_value()) {
      RecordStep(&counts, "accept", *partial_query.accepted_after);
    }
  }
}

void GatewayMetrics::OnAnswerWritten(Timestamp now, const gateway::GatewayAnswer& answer) {
  if (answer.gathered) {
    RecordStep(RouteCountsFor(answer.trace.route), "write", now - answer.trace.decided);
  }
}

void GatewayMetrics::AddSteps(http::MetricsPage* page, const gateway::GatewayServer& server) const {
  constexpr double kMilliseconds = 1000;
  const auto add = [page](const std::string& route, const std::string& step, const char* quantile,
                          Duration value) {
    page->Gauge("pumicedyke_gateway_step_seconds", "Durations of the steps of gathered answers.",
                ToMilliseconds(value) / kMilliseconds,
                {{"route", route}, {"step", step}, {"quantile", quantile}});
  };
  for (const auto& [route, counts] : routes_) {
    if (counts.steps.empty()) {
      continue;
    }
    for (const auto& [quantile, name] : kQuantiles) {
      for (const auto& [step, durations] : counts.steps) {
        add(route, step, name, durations.Quantile(quantile));
      }
      add(route, "leaf", name, server.LeafLatency(route, quantile));
    }
  }
}

void GatewayMetrics::AddExtraLoad(Timestamp now, const gateway::GatewayServer& server,
                                  http::MetricsPage* page) {
  const std::vector<gateway::ServiceLoadUse> uses = server.ExtraLoadUses(now);
  const size_t shown = std::min(uses.size(), kMaxServices);
  const auto add = [&](const char* kind, double balance::ExtraLoadUse::*value) {
    for (size_t i = 0; i < shown; ++i) {
      page->Gauge("pumicedyke_gateway_extra_load",
                  "Extra sub-requests of the current window: sent, allowed, and the part of these "
                  "that is independent of regular ones.",
                  uses[i].use.*value, {{"service", uses[i].service}, {"kind", kind}});
    }
  };
  add("sent", &balance::ExtraLoadUse::extra);
  add("allowed", &balance::ExtraLoadUse::bound);
  add("fixed", &balance::ExtraLoadUse::fixed);
  for (size_t i = 0; i < shown; ++i) {
    page->Counter("pumicedyke_gateway_extra_load_denied_total",
                  "Extra sub-requests that were not allowed.",
                  static_cast<double>(uses[i].use.denied), {{"service", uses[i].service}});
  }
  page->Gauge("pumicedyke_gateway_sharing_gateways",
              "Gateways that limits and connections are divided by, including spare ones.",
              server.share_lease().Sharers(now));
}

std::string GatewayMetrics::Text(Timestamp now, const gateway::GatewayServer& server,
                                 const http::HttpClient& client,
                                 const net::RequestRoom& room) const {
  http::MetricsPage page;
  for (const auto& [route, counts] : routes_) {
    for (const auto& [code, answers] : counts.answers) {
      page.Counter("pumicedyke_gateway_answers_total", "Answers by route and result.",
                   static_cast<double>(answers),
                   {{"route", route}, {"result", std::string(InfoOf(code).name)}});
    }
  }
  page.Gauge("pumicedyke_gateway_evacuated_zones",
             "Zones whose leafs get no requests from this gateway.",
             static_cast<double>(server.leafs().evacuated().size()));
  page.Gauge("pumicedyke_gateway_quarantined_requests",
             "Requests that are sent to no leaf, since they crash the leafs that run them.",
             static_cast<double>(server.quarantined().size()));
  page.Gauge("pumicedyke_gateway_cold_leafs", "Leafs that reported that they are cold.",
             static_cast<double>(server.leafs().cold_until().size()));
  for (const auto& [route, counts] : routes_) {
    page.Counter("pumicedyke_gateway_extra_sub_requests_total", "Hedges and retries at leafs.",
                 static_cast<double>(counts.extra_sub_requests), {{"route", route}});
  }
  for (const auto& [route, counts] : routes_) {
    page.Counter("pumicedyke_gateway_missing_shards_total", "Shards left out of answers.",
                 static_cast<double>(counts.missing_shards), {{"route", route}});
  }
  for (const auto& [route, counts] : routes_) {
    page.AddHistogram("pumicedyke_gateway_latency_seconds", "From arrival to answer.",
                      counts.latency, {{"route", route}});
  }
  AddSteps(&page, server);
  const gateway::LeafView& view = server.leafs();
  const auto usable = std::count_if(view.leafs().begin(), view.leafs().end(),
                                    [](const auto& item) { return !item.second.draining; });
  page.Gauge("pumicedyke_gateway_leafs", "Known leafs, including draining ones.",
             static_cast<double>(view.leafs().size()));
  page.Gauge("pumicedyke_gateway_leafs_usable", "Leafs that may get requests.",
             static_cast<double>(usable));
  page.Gauge("pumicedyke_gateway_ready", "1 while this gateway is ready for clients.",
             server.ready() ? 1 : 0);
  page.Gauge("pumicedyke_gateway_in_progress", "Requests in progress.",
             static_cast<double>(server.in_progress()));
  page.Gauge("pumicedyke_gateway_document_version", "Version of the routes in force.",
             static_cast<double>(server.document_version()));
  page.Gauge("pumicedyke_gateway_config_age_seconds",
             "Time since the configuration was last proved current.",
             ToMilliseconds(server.ConfigAge(now)) / 1000.0);
  page.Gauge("pumicedyke_gateway_keys_proven", "1 while requests with keys may start.",
             server.KeysProven(now) ? 1 : 0);
  page.Counter("pumicedyke_gateway_leaf_connections_total", "Connections opened to leafs.",
               static_cast<double>(client.connections_opened()));
  page.Counter("pumicedyke_gateway_surplus_responses_total",
               "Responses of leafs, or other bytes, that belonged to no open request.",
               static_cast<double>(client.surplus_responses()));
  page.Gauge("pumicedyke_gateway_leaf_requests", "Requests in flight to leafs.",
             static_cast<double>(client.in_flight()));
  page.Counter("pumicedyke_gateway_clients_gone_total",
               "Clients that disconnected before their answer.",
               static_cast<double>(disconnected_clients_));
  page.Counter("pumicedyke_gateway_control_lost_total", "Lost connections to control machines.",
               static_cast<double>(control_lost_));
  page.Counter("pumicedyke_log_lines_dropped_total",
               "Log lines dropped because standard output did not accept them.",
               static_cast<double>(DroppedLogLines()));
  for (const auto& [verdict, trials] : trials_) {
    page.Counter("pumicedyke_gateway_trials_total", "Decisions on trials of suspect requests.",
                 static_cast<double>(trials), {{"verdict", wire::TrialVerdictName(verdict)}});
  }
  page.Gauge("pumicedyke_gateway_suspects",
             "Suspect requests, which are sent with control's permission only.",
             static_cast<double>(server.CountSuspects(now)));
  AddExtraLoad(now, server, &page);
  AddReportMetrics(now, server.reports(), &page);
  page.AddProcess(room);
  return page.Text();
}

}  // namespace pumicedyke::server
