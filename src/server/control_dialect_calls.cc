// The part of ControlProcess that serves the dialect: operators' documents, leafs' heartbeats, and
// clients' gateway lookups.
#include <algorithm>
#include <utility>

#include "common/json.h"
#include "common/log.h"
#include "common/result_code.h"
#include "server/control_process.h"

namespace pumicedyke::server {
namespace {

constexpr size_t kMaxDocumentBytes = 8 << 20;
/// Lookups have no body; a refused call's may be read before its refusal.
constexpr size_t kMaxLookupBodyBytes = 4 * 1024;
/// Callers turn to another machine after a second without an answer.
constexpr Duration kZoneOrderTimeout = Milliseconds(900);

/// Returns the error that a reply of the control server contains, or OK if it is a success.
absl::Status StatusOfReply(const control::OperatorReply& reply) {
  const Json body = ParseJson(reply.body);
  if (!body.is_object()) {
    return MakeStatus(ResultCode::kInternal, "unreadable reply");
  }
  const auto code = static_cast<ResultCode>(body.value("code", 0));
  return code == ResultCode::kOk ? absl::OkStatus() : MakeStatus(code, body.value("message", ""));
}

/// Returns the current revision of the object that a refused change concerned.
uint64_t RevisionOfReply(const control::OperatorReply& reply) {
  const Json body = ParseJson(reply.body);
  return body.is_object() ? body.value("revision", uint64_t{0}) : 0;
}

/// Returns another leaf that is committed at the address of `record`, or null. Always null if the
/// leaf of `record` is itself committed.
const std::string* OtherLeafAt(const config::ConfigState& config, const wire::LeafRecord& record) {
  if (config.reported().contains(record.leaf)) {
    return nullptr;
  }
  for (const auto& [leaf, reported] : config.reported()) {
    if (reported.address == record.address) {
      return &leaf;
    }
  }
  return nullptr;
}

}  // namespace

absl::Status ControlProcess::ListenForDialect() {
  if (dialect_ == nullptr || settings_.service_listen.empty()) {
    return absl::OkStatus();
  }
  service_http_ = std::make_unique<http::HttpServer>(
      loop_, http::HttpServerOptions{.max_body_bytes = kMaxDocumentBytes},
      [this](const http::HttpRequest& request, http::Responder responder) {
        OnDialect("service_listen", request, std::move(responder));
      });
  if (absl::Status status = service_http_->Listen(settings_.service_listen); !status.ok()) {
    return status;
  }
  if (settings_.directory_listen.empty()) {
    return absl::OkStatus();
  }
  directory_http_ = std::make_unique<http::HttpServer>(
      loop_, http::HttpServerOptions{.max_body_bytes = kMaxLookupBodyBytes},
      [this](const http::HttpRequest& request, http::Responder responder) {
        OnDirectory(request, std::move(responder));
      });
  return directory_http_->Listen(settings_.directory_listen);
}

void ControlProcess::OnDirectory(const http::HttpRequest& request, http::Responder responder) {
  constexpr char kListener[] = "directory_listen";
  if (!dialect_->IsDirectoryRequest(request)) {
    RefuseCall(kListener, request,
               MakeStatus(ResultCode::kUnknownPath, request.method + " " + request.path),
               std::move(responder));
    return;
  }
  OnDialect(kListener, request, std::move(responder));
}

void ControlProcess::RefuseCall(const char* listener, const http::HttpRequest& request,
                                const absl::Status& why, http::Responder responder) {
  refused_calls_.OnRefusedCall(net::EventLoop::Now(), listener, request, why);
  responder.Send(dialect_->WriteRefusal(why));
}

void ControlProcess::OnDialect(const char* listener, const http::HttpRequest& request,
                               http::Responder responder) {
  absl::StatusOr<control::Command> command = dialect_->ReadCommand(request);
  if (!command.ok()) {
    RefuseCall(listener, request, command.status(), std::move(responder));
    return;
  }
  std::visit([&](auto& item) { Run(std::move(item), std::move(responder)); }, *command);
}

void ControlProcess::SubmitFor(const config::Change& change, http::Responder responder,
                               const std::function<void()>& then) {
  const auto on_reply = [this, responder, then](const control::OperatorReply& reply) mutable {
    const absl::Status status = StatusOfReply(reply);
    if (!status.ok()) {
      responder.Send(dialect_->WriteRefusal(status));
      return;
    }
    if (then) {
      then();
    }
    responder.Send(dialect_->WriteAccepted());
  };
  server_->Submit(net::EventLoop::Now(), Await(on_reply), change);
  DispatchOutput();
}

void ControlProcess::Run(control::PutDocument command, http::Responder responder) {
  config::Change change;
  change.kind = config::ChangeKind::kPutDocument;
  change.document = std::move(command.document);
  const uint64_t version = change.document.version;
  SubmitFor(change, std::move(responder), [version] {
    LogEvent("document_accepted", {{"document_version", version}});
  });
}

void ControlProcess::Run(const control::GetDocument& /*command*/, http::Responder responder) {
  const auto on_reply = [this, responder](const control::OperatorReply& reply) mutable {
    if (!reply.document.has_value()) {
      responder.Send(dialect_->WriteRefusal(StatusOfReply(reply)));
    } else if (reply.document->version == 0) {
      responder.Send(dialect_->WriteRefusal(
          MakeStatus(ResultCode::kNotReady, "no document has been put yet")));
    } else {
      responder.Send(dialect_->WriteDocument(*reply.document));
    }
  };
  server_->ReadDocument(net::EventLoop::Now(), Await(on_reply));
  DispatchOutput();
}

void ControlProcess::Run(control::ReportLeaf command, http::Responder responder) {
  const Timestamp now = net::EventLoop::Now();
  if (!server_->IsCurrent(now) || stop_.started()) {
    responder.Send(dialect_->WriteRefusal(
        MakeStatus(ResultCode::kNoQuorum, "report to another control machine")));
    return;
  }
  const std::string leaf = command.report.record.leaf;
  const uint64_t born_ms = command.report.record.born_ms;
  if (IsPreviousIncarnation(leaf, born_ms)) {
    // Accepted so that it is not reported again: the leaf has restarted since.
    LogEvent("leaf_former_life",
             {{"leaf", leaf}, {"born_ms", born_ms}, {"sequence", command.report.sequence}});
    responder.Send(dialect_->WriteAccepted());
    return;
  }
  const bool retired = server_->state().config().IsRetired(leaf, born_ms);
  if (command.report.record.draining && !retired) {
    config::Change change;
    change.kind = config::ChangeKind::kRetireLeaf;
    change.leaf = leaf;
    change.born_ms = born_ms;
    SubmitFor(change, std::move(responder), [this, report = std::move(command.report)] {
      discovery_->OnLeafReport(net::EventLoop::Now(), report);
      LogEvent("leaf_retired", {{"leaf", report.record.leaf}, {"by", "heartbeat"}});
    });
    return;
  }
  command.report.record.draining |= retired;
  const std::string* other_leaf = OtherLeafAt(server_->state().config(), command.report.record);
  const registry::ReportResult result = discovery_->OnLeafReport(now, command.report, other_leaf);
  if (result == registry::ReportResult::kUnconfirmed) {
    LogEvent("leaf_unconfirmed", {{"leaf", leaf},
                                  {"address", command.report.record.address},
                                  {"sequence", command.report.sequence}});
  }
  if (result == registry::ReportResult::kRestarted) {
    LogEvent("leaf_reborn", {{"leaf", leaf},
                             {"address", command.report.record.address},
                             {"born_ms", born_ms},
                             {"sequence", command.report.sequence}});
  }
  responder.Send(dialect_->WriteAccepted());
  DispatchOutput();
}

void ControlProcess::Run(const control::RetireLeaf& command, http::Responder responder) {
  config::Change change;
  change.kind = config::ChangeKind::kRetireLeaf;
  change.leaf = command.leaf;
  const wire::LeafRecord* known = discovery_->registry().Find(command.leaf);
  const bool use_given_born_ms = command.born_ms != 0 || known == nullptr;
  change.born_ms = use_given_born_ms ? command.born_ms : known->born_ms;
  SubmitFor(change, std::move(responder), [this, leaf = command.leaf, born_ms = change.born_ms] {
    discovery_->OnLeafRetired(net::EventLoop::Now(), leaf, born_ms);
    LogEvent("leaf_retired", {{"leaf", leaf}, {"by", "its own call"}, {"born_ms", born_ms}});
  });
}

bool ControlProcess::IsPreviousIncarnation(const std::string& leaf, uint64_t born_ms) const {
  const wire::LeafRecord* known = discovery_->registry().Find(leaf);
  const bool former_here = known != nullptr && born_ms < known->born_ms;
  return former_here || server_->state().config().IsPreviousIncarnation(leaf, born_ms);
}

bool ControlProcess::KnowsZone(const std::string& zone) const {
  if (settings_.regions.empty() || settings_.regions.Contains(zone)) {
    return true;
  }
  const auto& leafs = server_->state().config().reported();
  return std::any_of(leafs.begin(), leafs.end(),
                     [&zone](const auto& item) { return item.second.zone == zone; });
}

void ControlProcess::Run(const control::SetZoneEvacuation& command, http::Responder responder) {
  if (!KnowsZone(command.zone)) {
    responder.Send(dialect_->WriteRefusal(
        MakeStatus(ResultCode::kUnknownObject, "there is no zone '" + command.zone + "'")));
    return;
  }
  config::Change change;
  change.kind =
      command.evacuated ? config::ChangeKind::kEvacuateZone : config::ChangeKind::kRestoreZone;
  change.zone = command.zone;
  change.expected_revision = server_->state().config().RevisionOf(change);
  SubmitZoneOrder(std::move(change), loop_->earliest_arrival() + kZoneOrderTimeout,
                  std::move(responder));
}

void ControlProcess::SubmitZoneOrder(config::Change change, Timestamp until,
                                     http::Responder responder) {
  if (net::EventLoop::Now() >= until) {
    // The caller may have given a delayed order to another machine and revoked it there.
    LogEvent("zone_order_too_old", {{"zone", change.zone}});
    responder.Send(dialect_->WriteRefusal(
        MakeStatus(ResultCode::kNoQuorum, "the order took too long; send it again")));
    return;
  }
  const auto on_reply = [this, change, until,
                         responder](const control::OperatorReply& reply) mutable {
    const absl::Status status = StatusOfReply(reply);
    if (CodeOf(status) == ResultCode::kRevisionConflict) {
      change.expected_revision = RevisionOfReply(reply);
      SubmitZoneOrder(std::move(change), until, std::move(responder));
      return;
    }
    const bool evacuate = change.kind == config::ChangeKind::kEvacuateZone;
    LogEvent(evacuate ? "zone_evacuated" : "zone_restored",
             {{"zone", change.zone},
              {"accepted", status.ok()},
              {"why", std::string(status.message())},
              {"based_on", change.expected_revision.value_or(0)},
              {"config_version", server_->state().config().version().value}});
    responder.Send(status.ok() ? dialect_->WriteAccepted() : dialect_->WriteRefusal(status));
  };
  server_->Submit(net::EventLoop::Now(), Await(on_reply), change);
  DispatchOutput();
}

void ControlProcess::Run(const control::FindGateways& command, http::Responder responder) {
  const std::vector<std::string> addresses =
      discovery_->GatewaysFor(net::EventLoop::Now(), command.client);
  if (addresses.empty()) {
    responder.Send(
        dialect_->WriteRefusal(MakeStatus(ResultCode::kNotReady, "no gateway is known here")));
    return;
  }
  responder.Send(dialect_->WriteGateways(addresses, settings_.directory_time_to_live));
}

}  // namespace pumicedyke::server
