// The part of ControlProcess that serves operators over the product's own interface: status,
// changes, the configuration, metrics.
#include <utility>

#include "common/json.h"
#include "common/result_code.h"
#include "http/metrics.h"
#include "policy/policy_program.h"
#include "server/config_view.h"
#include "server/control_process.h"
#include "server/process.h"

namespace pumicedyke::server {
namespace {

int CodeOfReply(const control::OperatorReply& reply) {
  const Json body = ParseJson(reply.body);
  return body.is_object() ? body.value("code", 0) : 0;
}

/// Checks a document that an operator puts as a change. @param reader null if this machine has no
/// document format.
absl::Status CheckDocument(const config::RouteDocument& document,
                           const routing::DocumentReader* reader) {
  if (reader == nullptr) {
    return MakeStatus(ResultCode::kInvalidConfig, "field 'document': no format is known here");
  }
  const absl::StatusOr<routing::RouteSet> set = routing::ReadValid(*reader, document.text);
  if (!set.ok()) {
    return MakeStatus(CodeOf(set.status()),
                      "field 'document': " + std::string(set.status().message()));
  }
  if (set->version != document.version) {
    return MakeStatus(ResultCode::kInvalidConfig,
                      "field 'document_version': is not the version in the document");
  }
  return absl::OkStatus();
}

/// Returns a callback that forwards a reply to an operator.
std::function<void(const control::OperatorReply&)> SendReply(http::Responder responder) {
  return [responder](const control::OperatorReply& reply) mutable {
    responder.Send({InfoOf(static_cast<ResultCode>(CodeOfReply(reply))).http_status, reply.body});
  };
}

}  // namespace

void ControlProcess::OnOperator(const http::HttpRequest& request, http::Responder responder) {
  const Timestamp now = net::EventLoop::Now();
  if (request.path == "/healthz") {
    responder.Send(
        {stop_.started() ? 503 : 200, stop_.started() ? "stopping\n" : "ok\n", "text/plain"});
    return;
  }
  if (request.path == "/metrics") {
    responder.Send({200, MetricsText(now), "text/plain; version=0.0.4"});
    return;
  }
  if (!Authorized(settings_.operator_token, request, &responder)) {
    return;
  }
  if (request.path == "/v1/status" && request.method == "GET") {
    server_->ReadStatus(now, Await(SendReply(std::move(responder))));
    DispatchOutput();
  } else if (request.path == "/v1/config" && request.method == "GET") {
    ReadConfig(now, std::move(responder));
    DispatchOutput();
  } else if (request.path == "/v1/changes" && request.method == "POST") {
    OnChange(request, std::move(responder));
  } else {
    responder.Send(ErrorResponse(ResultCode::kUnknownPath, request.method + " " + request.path));
  }
}

const routing::DocumentReader* ControlProcess::Documents() const {
  return dialect_ == nullptr ? nullptr : &dialect_->documents();
}

void ControlProcess::ReadConfig(Timestamp now, http::Responder responder) {
  const routing::DocumentReader* documents = Documents();
  const auto send = SendReply(std::move(responder));
  server_->ReadConfig(now, Await([send, documents](const control::OperatorReply& reply) {
                        control::OperatorReply shown = reply;
                        shown.body = ViewOfConfig(reply.body, documents);
                        send(shown);
                      }));
}

void ControlProcess::OnChange(const http::HttpRequest& request, http::Responder responder) {
  absl::StatusOr<Json> json = ParseObject(request.body, "the request body");
  if (!json.ok()) {
    responder.Send(ErrorResponse(CodeOf(json.status()), std::string(json.status().message())));
    return;
  }
  absl::StatusOr<config::Change> change = config::ParseChange(*json);
  if (!change.ok()) {
    responder.Send(ErrorResponse(CodeOf(change.status()), std::string(change.status().message())));
    return;
  }
  if (config::ConcernsZone(change->kind) && !KnowsZone(change->zone)) {
    responder.Send(ErrorResponse(ResultCode::kUnknownObject,
                                 "field 'zone': there is no zone '" + change->zone + "'"));
    return;
  }
  if (change->kind == config::ChangeKind::kPutDocument) {
    if (absl::Status status = CheckDocument(change->document, Documents()); !status.ok()) {
      responder.Send(ErrorResponse(CodeOf(status), std::string(status.message())));
      return;
    }
  }
  if (change->kind == config::ChangeKind::kPutPolicy) {
    if (absl::Status status = policy::PolicyProgram::Check(change->policy); !status.ok()) {
      responder.Send(ErrorResponse(CodeOf(status), std::string(status.message())));
      return;
    }
  }
  server_->Submit(net::EventLoop::Now(), Await(SendReply(std::move(responder))), *change);
  DispatchOutput();
}

std::string ControlProcess::MetricsText(Timestamp now) const {
  http::MetricsPage page;
  const consensus::Raft& raft = server_->raft();
  page.Gauge("pumicedyke_control_leads", "1 while this machine leads with a valid lease.",
             raft.HasLease(now) ? 1 : 0);
  page.Gauge("pumicedyke_control_term", "Term of the replicated log.",
             static_cast<double>(raft.term()));
  page.Gauge("pumicedyke_control_commit_index", "Last committed log index.",
             static_cast<double>(raft.commit_index()));
  page.Gauge("pumicedyke_control_log_bytes", "Bytes of the log since its last snapshot.",
             static_cast<double>(storage_->log_bytes()));
  page.Gauge("pumicedyke_config_version", "Configuration version applied here.",
             static_cast<double>(server_->state().config().version().value));
  page.Gauge("pumicedyke_control_sessions", "Nodes that are connected to this machine.",
             static_cast<double>(server_->session_count()));
  page.Gauge("pumicedyke_control_ledger_entries", "Keys in the at-most-once ledger.",
             static_cast<double>(server_->state().ledger().size()));
  page.Gauge("pumicedyke_control_quarantine",
             "Requests that are stopped or conditionally released.",
             static_cast<double>(server_->state().config().quarantine().size()));
  page.Gauge("pumicedyke_control_ended_leafs", "Leafs that recently lost runs.",
             static_cast<double>(server_->evidence().leafs()));
  page.Gauge("pumicedyke_control_suspects",
             "Requests that ran at several leafs when these crashed, and have not succeeded since.",
             static_cast<double>(server_->state().suspects().suspects().size()));
  page.AddProcess(*loop_->request_room());
  return page.Text();
}

}  // namespace pumicedyke::server
