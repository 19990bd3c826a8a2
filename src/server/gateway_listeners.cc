// The part of GatewayProcess that opens its listen addresses besides the one for clients, and says
// which paths each of them answers.
#include <string>
#include <utility>
#include <vector>

#include "common/result_code.h"
#include "server/gateway_process.h"

namespace pumicedyke::server {

absl::Status GatewayProcess::ListenForReadiness() {
  if (settings_.ready_listen.empty()) {
    return absl::OkStatus();
  }
  ready_http_ = std::make_unique<http::HttpServer>(
      loop_, http::HttpServerOptions{},
      [this](const http::HttpRequest& request, http::Responder responder) {
        if (!dialect_->IsReadinessProbe(request)) {
          RefuseUnknownPath("ready_listen", request, std::move(responder));
          return;
        }
        const bool ready = server_->ready();
        responder.Send({ready ? 200 : 503, ready ? "ready\n" : "not ready\n", "text/plain"});
      });
  return ready_http_->Listen(settings_.ready_listen);
}

absl::Status GatewayProcess::ListenForMetrics() {
  if (settings_.metrics_listen.empty()) {
    return absl::OkStatus();
  }
  metrics_http_ = std::make_unique<http::HttpServer>(
      loop_, http::HttpServerOptions{},
      [this](const http::HttpRequest& request, http::Responder responder) {
        if (request.path != "/metrics") {
          responder.Send({404, "only /metrics is here\n", "text/plain"});
          return;
        }
        responder.Send(
            {200, metrics_.Text(net::EventLoop::Now(), *server_, *client_, *loop_->request_room()),
             "text/plain; version=0.0.4"});
      });
  return metrics_http_->Listen(settings_.metrics_listen);
}

absl::Status GatewayProcess::ListenForDirectory() {
  if (settings_.directory_listen.empty()) {
    return absl::OkStatus();
  }
  directory_http_ = std::make_unique<http::HttpServer>(
      loop_, http::HttpServerOptions{},
      [this](const http::HttpRequest& request, http::Responder responder) {
        if (!dialect_->IsDirectoryRequest(request)) {
          RefuseUnknownPath("directory_listen", request, std::move(responder));
          return;
        }
        const std::vector<std::string> addresses =
            server_->GatewaysFor(dialect_->ClientOf(request));
        if (addresses.empty()) {
          responder.Send(dialect_->WriteRefusal(
              MakeStatus(ResultCode::kNotReady, "no gateway is known here")));
          return;
        }
        responder.Send(dialect_->WriteGateways(addresses, settings_.directory_time_to_live));
      });
  return directory_http_->Listen(settings_.directory_listen);
}

void GatewayProcess::RefuseUnknownPath(const char* listener, const http::HttpRequest& request,
                                       http::Responder responder) {
  const absl::Status why =
      MakeStatus(ResultCode::kUnknownPath, request.method + " " + request.path);
  refused_calls_.OnRefusedCall(net::EventLoop::Now(), listener, request, why);
  responder.Send(dialect_->WriteRefusal(why));
}

absl::Status GatewayProcess::ListenForPeers() {
  if (settings_.peer_listen.empty()) {
    return absl::OkStatus();
  }
  peer_server_ = std::make_unique<net::FrameServer>(
      loop_,
      [this](uint64_t session, wire::Envelope envelope) {
        OnPeerRequest(session, std::move(envelope));
      },
      [this](uint64_t session) {
        partial_queries_.CloseSession(session);
        server_->OnPeerSessionClosed(net::EventLoop::Now(), session);
        ScheduleDispatch();
      });
  return peer_server_->Listen(settings_.peer_listen);
}

}  // namespace pumicedyke::server
