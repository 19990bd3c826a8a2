// The part of ControlProcess that serves those who speak the dialect: operators' documents, leafs'
// heartbeats, clients in search of a gateway.
#include <utility>

#include "common/json.h"
#include "common/log.h"
#include "common/result_code.h"
#include "server/control_process.h"

namespace pumicedyke::server {
namespace {

constexpr size_t kMaxDocumentBytes = 8 << 20;

/// The refusal that an unsuccessful reply of the control server stands for; OK if it is a success.
absl::Status StatusOfReply(const control::OperatorReply& reply) {
  const Json body = Json::parse(reply.body, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object()) {
    return MakeStatus(ResultCode::kInternal, "unreadable reply");
  }
  const auto code = static_cast<ResultCode>(body.value("code", 0));
  return code == ResultCode::kOk ? absl::OkStatus() : MakeStatus(code, body.value("message", ""));
}

}  // namespace

absl::Status ControlProcess::ListenForDialect() {
  if (dialect_ == nullptr || settings_.service_listen.empty()) {
    return absl::OkStatus();
  }
  const auto handler = [this](const http::HttpRequest& request, http::Responder responder) {
    OnDialect(request, std::move(responder));
  };
  const http::HttpServerOptions options{.max_body_bytes = kMaxDocumentBytes};
  service_http_ = std::make_unique<http::HttpServer>(loop_, options, handler);
  if (absl::Status status = service_http_->Listen(settings_.service_listen); !status.ok()) {
    return status;
  }
  if (settings_.directory_listen.empty()) {
    return absl::OkStatus();
  }
  directory_http_ = std::make_unique<http::HttpServer>(loop_, options, handler);
  return directory_http_->Listen(settings_.directory_listen);
}

void ControlProcess::OnDialect(const http::HttpRequest& request, http::Responder responder) {
  absl::StatusOr<control::Command> command = dialect_->ReadCommand(request);
  if (!command.ok()) {
    responder.Send(dialect_->WriteRefusal(command.status()));
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
  CarryOut();
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
  CarryOut();
}

void ControlProcess::Run(control::ReportLeaf command, http::Responder responder) {
  const Timestamp now = net::EventLoop::Now();
  if (!server_->IsCurrent(now) || stop_.started()) {
    responder.Send(dialect_->WriteRefusal(
        MakeStatus(ResultCode::kNoQuorum, "report to another control machine")));
    return;
  }
  const std::string leaf = command.report.record.leaf;
  const bool retired = server_->state().config().retired().contains(leaf);
  if (command.report.record.draining && !retired) {
    config::Change change;
    change.kind = config::ChangeKind::kRetireLeaf;
    change.leaf = leaf;
    SubmitFor(change, std::move(responder), [this, report = std::move(command.report)] {
      discovery_->OnLeafReport(net::EventLoop::Now(), report);
      LogEvent("leaf_retired", {{"leaf", report.record.leaf}, {"by", "heartbeat"}});
    });
    return;
  }
  command.report.record.draining |= retired;
  discovery_->OnLeafReport(now, command.report);
  responder.Send(dialect_->WriteAccepted());
  CarryOut();
}

void ControlProcess::Run(const control::RetireLeaf& command, http::Responder responder) {
  config::Change change;
  change.kind = config::ChangeKind::kRetireLeaf;
  change.leaf = command.leaf;
  SubmitFor(change, std::move(responder), [this, leaf = command.leaf] {
    discovery_->OnLeafRetired(net::EventLoop::Now(), leaf);
    LogEvent("leaf_retired", {{"leaf", leaf}, {"by", "its own call"}});
  });
}

void ControlProcess::Run(const control::FindGateways& command, http::Responder responder) {
  const std::vector<std::string> addresses =
      discovery_->GatewaysFor(net::EventLoop::Now(), command.zone);
  if (addresses.empty()) {
    responder.Send(
        dialect_->WriteRefusal(MakeStatus(ResultCode::kNotReady, "no gateway is known here")));
    return;
  }
  responder.Send(dialect_->WriteGateways(addresses, settings_.directory_time_to_live));
}

}  // namespace pumicedyke::server
