#include "server/leaf_process.h"

#include <set>
#include <utility>

#include "common/json.h"
#include "common/result_code.h"
#include "server/process.h"

namespace pumicedyke::server {
namespace {

constexpr Duration kIdleTick = Milliseconds(100);

}  // namespace

LeafProcess::LeafProcess(emulator::LeafModelOptions options, net::EventLoop* loop)
    : model_(std::move(options), net::EventLoop::Now()), loop_(loop) {}

absl::Status LeafProcess::Start(const std::string& listen, const std::string& port_file) {
  http_ = std::make_unique<http::HttpServer>(
      loop_, http::HttpServerOptions{},
      [this](const http::HttpRequest& request, http::Responder responder) {
        OnHttp(request, std::move(responder));
      });
  if (absl::Status status = http_->Listen(listen); !status.ok()) {
    return status;
  }
  return WritePortFile(port_file, "http " + std::to_string(http_->port()) + "\n");
}

void LeafProcess::Run() {
  loop_->Run([this](Timestamp now) { return Tick(now); });
}

void LeafProcess::Stop() {
  stop_.Start(net::EventLoop::Now(), {http_.get()});
  model_.SetDraining(true);
}

Timestamp LeafProcess::Tick(Timestamp now) {
  for (const query::LeafReply& reply : model_.Advance(now)) {
    const auto waiting = waiting_.find({reply.origin, reply.id});
    if (waiting != waiting_.end()) {
      waiting->second.Send({200, query::LeafReplyToJson(reply).dump()});
      waiting_.erase(waiting);
    }
  }
  if (stop_.started() && stop_.Done(now, waiting_.empty())) {
    loop_->Stop();
  }
  return model_.NextEvent().value_or(now + kIdleTick);
}

void LeafProcess::OnHttp(const http::HttpRequest& request, http::Responder responder) {
  if (request.path == "/v1/search") {
    OnSearch(request, std::move(responder));
  } else if (request.path == "/v1/cancel") {
    const Json json = ParseJson(request.body);
    if (json.is_object() && json.contains("id") && json["id"].is_number_unsigned() &&
        json.contains("origin") && json["origin"].is_string()) {
      model_.Cancel(net::EventLoop::Now(), json["origin"].get<std::string>(),
                    json["id"].get<SubRequestId>());
    }
    responder.Send({200, "{}"});
  } else if (request.path == "/v1/health") {
    responder.Send({200, Json{{"draining", model_.draining()}, {"load", model_.load()}}.dump()});
  } else if (request.path == "/v1/runs") {
    responder.Send({200, RunsText()});
  } else if (request.path == "/v1/admin") {
    OnAdmin(request, std::move(responder));
  } else {
    responder.Send(ErrorResponse(ResultCode::kUnknownPath, request.path));
  }
}

void LeafProcess::OnSearch(const http::HttpRequest& request, http::Responder responder) {
  absl::StatusOr<query::LeafRequest> parsed = query::LeafRequestFromJson(request.body);
  if (!parsed.ok()) {
    responder.Send(ErrorResponse(CodeOf(parsed.status()), std::string(parsed.status().message())));
    return;
  }
  waiting_.insert_or_assign(std::pair(parsed->origin, parsed->id), std::move(responder));
  model_.Submit(net::EventLoop::Now(), *parsed);
}

void LeafProcess::OnAdmin(const http::HttpRequest& request, http::Responder responder) {
  const Json json = ParseJson(request.body);
  if (!json.is_object()) {
    responder.Send(ErrorResponse(ResultCode::kMalformedRequest, "not a JSON object"));
    return;
  }
  if (json.contains("draining") && !json["draining"].is_boolean()) {
    responder.Send(
        ErrorResponse(ResultCode::kMalformedRequest, "field 'draining' must be a boolean"));
    return;
  }
  if (json.contains("draining")) {
    model_.SetDraining(json["draining"].get<bool>());
  }
  responder.Send({200, "{}"});
}

std::string LeafProcess::RunsText() const {
  Json runs = Json::array();
  for (const emulator::RunRecord& run : model_.runs()) {
    runs.push_back({{"id", run.id},
                    {"service", run.service},
                    {"key", run.idempotency_key},
                    {"shard", run.shard},
                    {"snapshot", run.snapshot}});
  }
  return Json{{"runs", std::move(runs)}, {"received", model_.received()}, {"shed", model_.shed()}}
      .dump();
}

}  // namespace pumicedyke::server
