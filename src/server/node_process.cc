#include "server/node_process.h"

#include <algorithm>
#include <utility>

#include "common/build_identity.h"
#include "common/json.h"
#include "common/log.h"
#include "common/result_code.h"
#include "common/settings.h"
#include "http/bearer_key.h"
#include "http/metrics.h"
#include "node/incarnation_store.h"
#include "node/platform_list.h"
#include "server/process.h"
#include "storage/posix_file_system.h"

namespace pumicedyke::server {
namespace {

/// Identifies a request by its content and its caller. The attempt, the deadline and the
/// idempotency key are not part of it.
RequestIdentity IdentityOf(const query::CallerRequest& request, const std::string& caller) {
  std::string shards;
  for (const ShardId& shard : request.shards) {
    shards += std::to_string(shard.value) + ",";
  }
  return pumicedyke::IdentityOf({request.service, request.query, request.request_class, shards,
                                 std::to_string(request.limit), caller});
}

constexpr Duration kHealthInterval = Milliseconds(1000);
constexpr Duration kPlatformInterval = Milliseconds(1000);
constexpr Duration kProbeTimeout = Milliseconds(800);
constexpr Duration kFirstReportTimeout = Seconds(5);
/// How long past the deadline of a sub-request its reply is awaited.
constexpr Duration kLateReply = Seconds(2);

query::LeafReply FailedReply(const query::LeafRequest& request, bool not_sent) {
  query::LeafReply reply;
  reply.origin = request.origin;
  reply.id = request.id;
  reply.leaf = request.leaf;
  reply.shard = request.shard;
  reply.status = not_sent ? query::LeafStatus::kNotSent : query::LeafStatus::kFailed;
  return reply;
}

}  // namespace

absl::StatusOr<NodeSettings> ReadNodeSettings(const std::string& path) {
  Settings file(path);
  NodeSettings settings;
  settings.cluster = file.Required("cluster", "the name of the cluster");
  settings.node = file.Required("node", "the name of this node");
  settings.zone = file.String("zone", "");
  settings.listen = file.Address("listen", "127.0.0.1:7300");
  settings.data_folder = file.Required("data_folder", "the folder of this node's state");
  settings.port_file = file.String("port_file", "");
  settings.control = file.AddressList("control");
  settings.platform = file.String("platform", "");
  settings.max_connections_per_leaf = file.Integer("max_connections_per_leaf", 32, 1, 10000);
  settings.max_in_progress = file.Integer("max_in_progress", 20000, 1, 1000000);
  settings.max_config_age = Milliseconds(file.Integer("max_config_age_ms", 10000, 0, 86400000));
  settings.stop = ReadStopTimes(&file, Milliseconds(500));
  if (settings.control.empty()) {
    file.AddError("control", "must list the address of at least one control machine");
  }
  if (!settings.platform.empty() && !IsAddress(settings.platform)) {
    file.AddError("platform", "must be an IP number and a port, or empty");
  }
  if (absl::Status status = file.Finish(); !status.ok()) {
    return status;
  }
  return settings;
}

NodeProcess::NodeProcess(NodeSettings settings, net::EventLoop* loop)
    : settings_(std::move(settings)), loop_(loop), stop_(settings_.stop) {}

absl::Status NodeProcess::Start() {
  if (absl::Status status = storage::PosixFileSystem::CreateFolder(settings_.data_folder);
      !status.ok()) {
    return status;
  }
  storage::PosixFileSystem files(settings_.data_folder);
  constexpr int64_t kMillisecondsPerMinute = 60000;
  absl::StatusOr<uint64_t> incarnation = node::TakeIncarnation(
      &files, static_cast<uint64_t>(net::EventLoop::WallMilliseconds() / kMillisecondsPerMinute));
  if (!incarnation.ok()) {
    return incarnation.status();
  }
  node::NodeOptions options;
  options.subscriber.cluster = settings_.cluster;
  options.subscriber.node = settings_.node;
  options.subscriber.incarnation = *incarnation;
  options.subscriber.control_machines = settings_.control.size();
  options.incarnation = *incarnation;
  options.seed = *incarnation;
  options.max_config_age = settings_.max_config_age;
  options.wait_for_platform = !settings_.platform.empty();
  options.knobs.first_report_timeout = kFirstReportTimeout;
  options.max_in_progress = static_cast<size_t>(settings_.max_in_progress);
  server_ = std::make_unique<node::NodeServer>(options, net::EventLoop::Now());
  client_ = std::make_unique<http::HttpClient>(
      loop_, http::HttpClientOptions{.max_connections_per_host =
                                         static_cast<size_t>(settings_.max_connections_per_leaf)});
  http_ = std::make_unique<http::HttpServer>(
      loop_, http::HttpServerOptions{},
      [this](const http::HttpRequest& request, http::Responder responder) {
        OnHttp(request, std::move(responder));
      });
  if (absl::Status status = http_->Listen(settings_.listen); !status.ok()) {
    return status;
  }
  control_index_ = settings_.control.size();
  LogEvent("started",
           {{"build", BuildIdentity()}, {"incarnation", *incarnation}, {"port", http_->port()}});
  return WritePortFile(settings_.port_file, "http " + std::to_string(http_->port()) + "\n");
}

void NodeProcess::Run() {
  loop_->Run([this](Timestamp now) { return Tick(now); });
}

Timestamp NodeProcess::Tick(Timestamp now) {
  server_->Tick(now);
  PollHealth(now);
  PollPlatform(now);
  DispatchOutput();
  report_log_.OnState(now, server_->reports());
  held_bytes_log_.OnState(now, *loop_->request_room());
  if (stop_.started()) {
    if (stop_.Done(now, server_->Drained())) {
      loop_->Stop();
    }
    stop_log_.OnProgress(now, stop_, server_->Work());
  }
  constexpr Duration kStopPoll = Milliseconds(10);
  return stop_.started() ? now + kStopPoll : server_->NextWake(now);
}

void NodeProcess::DispatchOutput() {
  node::NodeOutput output = server_->TakeOutput();
  for (const query::LeafRequest& request : output.sends) {
    SendToLeaf(request);
  }
  for (const query::SubRequestCancel& cancel : output.cancels) {
    CancelAtLeaf(cancel);
  }
  for (const node::CallerAnswer& answer : output.answers) {
    AnswerCaller(answer);
  }
  for (const wire::Envelope& envelope : output.control) {
    SendToControl(envelope);
  }
}

std::string NodeProcess::LeafAddress(const std::string& leaf) {
  const config::ConfigState& config = server_->config();
  if (addresses_version_ != config.version().value) {
    addresses_version_ = config.version().value;
    addresses_.clear();
    for (const auto& [name, service] : config.services()) {
      for (const auto& [id, item] : service.leafs) {
        addresses_[id] = item.address;
      }
    }
  }
  const auto it = addresses_.find(leaf);
  return it == addresses_.end() ? std::string() : it->second;
}

void NodeProcess::SendToLeaf(const query::LeafRequest& request) {
  http::ClientRequest call;
  call.address = LeafAddress(request.leaf);
  call.path = "/v1/search";
  call.body = query::LeafRequestToJson(request).dump();
  call.timeout = request.budget + kLateReply;
  call.idempotency_key = request.idempotency_key;
  call.unrepeatable = !request.repeatable;
  client_->Start(call, [this, request](const http::ClientResponse& response) {
    absl::StatusOr<query::LeafReply> reply = query::LeafReplyFromJson(response.body);
    // An unreadable reply may belong to a request that ran. Only a connection that was never
    // established proves that the request did not run.
    const bool usable =
        response.ok() && reply.ok() && reply->id == request.id && reply->origin == request.origin;
    if (!usable) {
      reply = FailedReply(request, response.not_sent);
      reply->connection_lost = response.connection_lost;
    }
    reply->leaf = request.leaf;
    server_->OnLeafReply(net::EventLoop::Now(), *reply);
    DispatchOutput();
  });
}

void NodeProcess::CancelAtLeaf(const query::SubRequestCancel& cancel) {
  // The call itself is not ended, so that its connection stays open; the leaf answers it early.
  http::ClientRequest call;
  call.address = LeafAddress(cancel.leaf);
  if (call.address.empty()) {
    return;
  }
  call.path = "/v1/cancel";
  call.body = Json{{"origin", cancel.origin}, {"id", cancel.id}}.dump();
  call.timeout = kProbeTimeout;
  client_->Start(call, [](const http::ClientResponse&) {});
}

void NodeProcess::SendToControl(const wire::Envelope& envelope) {
  if (control_ == nullptr || control_index_ != server_->control()) {
    control_index_ = server_->control();
    control_ = std::make_unique<net::FrameClient>(
        loop_, settings_.control[control_index_],
        [this](const wire::Envelope& message) {
          OnControlMessage(message);
          loop_->Post([this] { DispatchOutput(); });
        },
        [this] { server_->OnControlDisconnected(net::EventLoop::Now()); });
  }
  control_->Send(envelope);
}

void NodeProcess::OnControlMessage(const wire::Envelope& message) {
  const Timestamp now = net::EventLoop::Now();
  if (!server_->OnControlMessage(now, message)) {
    misdirected_.OnMessage(now, message);
  }
}

void NodeProcess::AnswerCaller(const node::CallerAnswer& answer) {
  const auto waiting = waiting_.find(answer.request);
  if (waiting == waiting_.end()) {
    return;
  }
  http::HttpResponse response;
  response.status = InfoOf(answer.answer.code).http_status;
  response.body = query::AnswerToJson(answer.answer);
  const bool refused =
      answer.answer.code != ResultCode::kOk && answer.answer.code != ResultCode::kPartial;
  response.retry_after = refused ? answer.answer.retry_after : Duration(0);
  waiting->second.Send(std::move(response));
  waiting_.erase(waiting);
}

void NodeProcess::OnHttp(const http::HttpRequest& request, http::Responder responder) {
  const Timestamp now = net::EventLoop::Now();
  if (request.path == "/v1/query" && request.method == "POST") {
    OnQuery(request, std::move(responder));
  } else if (request.path == "/healthz") {
    const bool healthy = server_->Ready(now) && !stop_.started();
    responder.Send({healthy ? 200 : 503,
                    stop_.started() ? "stopping\n"
                    : healthy       ? "ok\n"
                                    : "starting\n",
                    "text/plain"});
  } else if (request.path == "/metrics") {
    responder.Send({200, MetricsText(now), "text/plain; version=0.0.4"});
  } else if (request.path == "/v1/status") {
    responder.Send({200, StatusText(now)});
  } else {
    responder.Send(ErrorResponse(ResultCode::kUnknownPath, request.method + " " + request.path));
  }
}

void NodeProcess::OnQuery(const http::HttpRequest& request, http::Responder responder) {
  absl::StatusOr<query::CallerRequest> parsed =
      query::ParseCallerRequest(request.body, request.idempotency_key);
  if (!parsed.ok()) {
    responder.Send(ErrorResponse(CodeOf(parsed.status()), std::string(parsed.status().message())));
    return;
  }
  parsed->identity = IdentityOf(*parsed, request.authorization);
  parsed->api_key = http::BearerKey(request.headers);
  const RequestId id{next_request_++};
  waiting_.emplace(id, std::move(responder));
  server_->OnCallerRequest(net::EventLoop::Now(), id, *parsed);
  DispatchOutput();
}

void NodeProcess::PollHealth(Timestamp now) {
  // Leafs of a new configuration are polled immediately.
  const uint64_t version = server_->config().version().value;
  if (now < next_health_ && version == health_version_) {
    return;
  }
  next_health_ = now + kHealthInterval;
  health_version_ = version;
  for (const std::string& leaf : server_->pool().Names()) {
    const std::string address = LeafAddress(leaf);
    if (address.empty() || !health_calls_.insert(leaf).second) {
      continue;
    }
    http::ClientRequest call;
    call.address = address;
    call.path = "/v1/health";
    call.timeout = kProbeTimeout;
    client_->Start(call, [this, leaf](const http::ClientResponse& response) {
      health_calls_.erase(leaf);
      const Json json = ParseJson(response.body);
      const bool readable = response.ok() && json.is_object() && json.contains("draining") &&
                            json["draining"].is_boolean();
      if (readable) {
        server_->OnLeafHealth(net::EventLoop::Now(), leaf, json["draining"].get<bool>());
      }
    });
  }
}

void NodeProcess::PollPlatform(Timestamp now) {
  if (settings_.platform.empty() || platform_call_ || now < next_platform_) {
    return;
  }
  next_platform_ = now + kPlatformInterval;
  platform_call_ = true;
  http::ClientRequest call;
  call.address = settings_.platform;
  call.path = "/v1/machines";
  call.timeout = kProbeTimeout;
  client_->Start(call, [this](const http::ClientResponse& response) {
    platform_call_ = false;
    if (!response.ok()) {
      return;  // The last list that was read remains in use.
    }
    const absl::StatusOr<std::set<std::string>> leaving = node::ReadPlatformList(response.body);
    if (leaving.ok()) {
      server_->OnPlatformLeaving(*leaving);
    } else {
      LogError("platform_list", {{"error", std::string(leaving.status().message())}});
    }
  });
}

std::string NodeProcess::StatusText(Timestamp now) const {
  return Json{{"node", settings_.node},
              {"zone", settings_.zone},
              {"ready", server_->Ready(now)},
              {"stopping", stop_.started()},
              {"config_version", server_->config().version()},
              {"config_age_ms", ToMilliseconds(server_->ConfigAge(now))},
              {"in_progress", server_->in_progress()}}
      .dump();
}

std::string NodeProcess::MetricsText(Timestamp now) const {
  http::MetricsPage page;
  const node::NodeCounters& counters = server_->counters();
  const auto count = [&page](const std::string& name, const std::string& help, uint64_t value) {
    page.Counter("pumicedyke_" + name + "_total", help, static_cast<double>(value));
  };
  count("requests", "Callers' requests.", counters.requests);
  count("answered_ok", "Answers that cover every shard.", counters.answered_ok);
  count("answered_partial", "Answers that cover only what the policy requires.",
        counters.answered_partial);
  count("refused", "Refusals and failures.", counters.refused);
  count("sub_requests", "Sub-requests sent to leafs.", counters.sub_requests);
  count("extra_sub_requests", "Hedges and retries among them.", counters.extra_sub_requests);
  count("snapshot_restarts", "Requests started again on another snapshot.",
        counters.snapshot_restarts);
  count("late_replies", "Replies dropped because their request was answered.",
        counters.late_replies);
  page.Gauge("pumicedyke_in_progress", "Requests in progress.",
             static_cast<double>(server_->in_progress()));
  page.Gauge("pumicedyke_config_version", "Configuration version in force.",
             static_cast<double>(server_->config().version().value));
  page.Gauge("pumicedyke_config_age_seconds",
             "Time since a control machine last confirmed the configuration.",
             ToMilliseconds(server_->ConfigAge(now)) / 1000.0);
  for (const std::string& leaf : server_->pool().Names()) {
    page.Gauge("pumicedyke_leaf_limit", "Requests this node may have in flight at the leaf.",
               server_->pool().Limit(leaf), {{"leaf", leaf}});
  }
  AddReportMetrics(now, server_->reports(), &page);
  page.AddProcess(*loop_->request_room());
  return page.Text();
}

void NodeProcess::Stop() {
  LogEvent("stopping", {{"in_progress", server_->in_progress()}});
  const Timestamp now = net::EventLoop::Now();
  stop_.Start(now, {http_.get()});
  server_->StartDraining(now, stop_.answer_by());
  DispatchOutput();
}

}  // namespace pumicedyke::server
