#include "server/gateway_process.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "common/build_identity.h"
#include "common/log.h"
#include "common/settings.h"
#include "server/process.h"

namespace pumicedyke::server {
namespace {

/// How long an abandoned sub-request may keep its connection to finish.
constexpr Duration kAbandonTimeout = Milliseconds(400);
constexpr Duration kStopPoll = Milliseconds(20);
constexpr uint64_t kIncarnationMask = (uint64_t{1} << 24) - 1;

/// Draws a random incarnation, since a gateway has no disk to count its starts on.
uint64_t DrawIncarnation() {
  std::random_device device;
  return (device() & kIncarnationMask) | 1;
}

}  // namespace

absl::StatusOr<GatewaySettings> ReadGatewaySettings(const std::string& path) {
  Settings file(path);
  GatewaySettings settings;
  settings.path = path;
  settings.cluster = file.Required("cluster", "the name of the cluster");
  settings.node = file.Required("node", "the name of this gateway");
  settings.zone = file.String("zone", "");
  settings.listen = file.Address("listen", "127.0.0.1:7400");
  settings.port_file = file.String("port_file", "");
  settings.ready_listen = file.String("ready_listen", "");
  settings.metrics_listen = file.String("metrics_listen", "");
  settings.regions = ReadRegions(&file);
  settings.directory_listen = file.String("directory_listen", "");
  settings.peer_listen = file.String("peer_listen", "");
  if (!settings.peer_listen.empty() && !IsAddress(settings.peer_listen)) {
    file.AddError("peer_listen", "must be an address like \"127.0.0.1:7500\"");
  }
  constexpr double kMinShare = 0.001;
  constexpr double kMaxCores = 1024;
  settings.processor_share = file.Number("processor_share", 1, kMinShare, kMaxCores);
  settings.control = ReadControlAddresses(&file);
  if (settings.control.empty()) {
    file.AddError("control", "must list at least one control machine, or name 'seeds'");
  }
  constexpr int64_t kMaxMilliseconds = 3600 * 1000;
  settings.directory_time_to_live =
      Milliseconds(file.Integer("directory_time_to_live_ms", 2000, 1, kMaxMilliseconds));
  settings.extra_load.window =
      Milliseconds(file.Integer("extra_load_window_ms", 10000, 100, kMaxMilliseconds));
  settings.extra_load.ratio = file.Number("extra_load_ratio", 0.1, 0, 10);
  settings.first_start = file.Boolean("first_start", false);
  settings.extra_load.burst = file.Number("extra_load_allowance", 10, 0, 1e9);
  settings.entry.key_lease.revocation_bound =
      Milliseconds(file.Integer("revocation_bound_ms", 0, 0, kMaxMilliseconds));
  limits::LimitBound& limit = settings.entry.limits.bound;
  limit.window = Milliseconds(file.Integer("limit_window_ms", 0, 0, kMaxMilliseconds));
  limit.overage = file.Number("limit_overage", 0, 0, 10);
  limit.slack = file.Number("limit_slack", 0, 0, 1e9);
  settings.stop = ReadStopTimes(&file, Milliseconds(3000));
  if (absl::Status status = file.Finish(); !status.ok()) {
    return status;
  }
  return settings;
}

GatewayProcess::GatewayProcess(GatewaySettings settings, const gateway::Dialect* dialect,
                               net::EventLoop* loop)
    : settings_(std::move(settings)),
      dialect_(dialect),
      loop_(loop),
      watch_(settings_.path),
      stop_(settings_.stop) {}

absl::Status GatewayProcess::Start() {
  gateway::GatewayOptions options;
  options.cluster = settings_.cluster;
  options.node = settings_.node;
  options.zone = settings_.zone;
  options.address = settings_.listen;
  options.incarnation = DrawIncarnation();
  options.peer_address = settings_.peer_listen;
  options.regions = settings_.regions;
  options.processor_share = settings_.processor_share;
  options.control = settings_.control;
  options.extra_load = settings_.extra_load;
  options.first_start = settings_.first_start;
  options.entry = settings_.entry;
  server_ = std::make_unique<gateway::GatewayServer>(options, &dialect_->documents(),
                                                     net::EventLoop::Now());
  client_ = std::make_unique<http::HttpClient>(loop_, http::HttpClientOptions{});
  http_ = std::make_unique<http::HttpServer>(
      loop_, http::HttpServerOptions{.deadline_header = dialect_->DeadlineHeader()},
      [this](http::HttpRequest request, http::Responder responder) {
        OnClientRequest(std::move(request), std::move(responder));
      });
  if (absl::Status status = http_->Listen(settings_.listen); !status.ok()) {
    return status;
  }
  if (absl::Status status = ListenForReadiness(); !status.ok()) {
    return status;
  }
  if (absl::Status status = ListenForMetrics(); !status.ok()) {
    return status;
  }
  if (absl::Status status = ListenForDirectory(); !status.ok()) {
    return status;
  }
  if (absl::Status status = ListenForPeers(); !status.ok()) {
    return status;
  }
  LogEvent("started", {{"build", BuildIdentity()},
                       {"incarnation", options.incarnation},
                       {"listen", settings_.listen}});
  return WritePortFile(settings_.port_file, "http " + std::to_string(http_->port()) + "\n");
}

void GatewayProcess::OnPeerRequest(uint64_t session, wire::Envelope envelope) {
  ScheduleDispatch();
  const auto* cancel = std::get_if<wire::PartialCancel>(&envelope.body);
  if (cancel != nullptr && partial_queries_.Cancel(session, cancel->id)) {
    return;
  }
  gateway::ArrivedPartialQuery partial_query{session, std::move(envelope),
                                             loop_->earliest_arrival()};
  if (!partial_queries_.Add(&partial_query)) {
    HandlePeerRequest(partial_query);
  }
}

void GatewayProcess::StartPartialQueries() {
  while (const std::optional<gateway::ArrivedPartialQuery> partial_query =
             partial_queries_.Take()) {
    HandlePeerRequest(*partial_query);
  }
}

void GatewayProcess::HandlePeerRequest(const gateway::ArrivedPartialQuery& request) {
  const Timestamp now = net::EventLoop::Now();
  if (!server_->OnPeerRequest(now, request.session, request.envelope, request.arrived)) {
    misdirected_.OnMessage(now, request.envelope);
  }
}

void GatewayProcess::OnLinkChange(const gateway::ControlLinkChange& change) {
  log_.OnControlLink(change.address, change.up);
  if (!change.up) {
    metrics_.OnControlLost();
  }
}

void GatewayProcess::Run() {
  loop_->Run([this](Timestamp now) { return Tick(now); });
}

Timestamp GatewayProcess::Tick(Timestamp now) {
  if (watch_.Changed(now)) {
    Reload();
  }
  server_->Tick(now);
  DispatchOutput();
  ApplyLimits();
  log_.OnState(now, *server_);
  report_log_.OnState(now, server_->reports());
  held_bytes_log_.OnState(now, *loop_->request_room());
  if (stop_.started()) {
    const bool done = stop_.Done(now, server_->Drained() && unlogged_answers_ == 0);
    stop_log_.OnProgress(now, stop_, server_->Work(now));
    if (done) {
      loop_->Stop();
    }
  }
  return stop_.started() ? std::min(now + kStopPoll, server_->NextWake(now))
                         : server_->NextWake(now);
}

void GatewayProcess::ApplyLimits() {
  if (server_->document_version() == applied_limits_version_) {
    return;
  }
  applied_limits_version_ = server_->document_version();
  const routing::ClientLimits& limits = server_->table()->set().limits;
  http::HttpServerOptions options;
  options.deadline_header = dialect_->DeadlineHeader();
  options.max_header_bytes = limits.max_header_bytes;
  options.max_body_bytes = limits.max_body_bytes;
  options.request_timeout = limits.header_timeout;
  options.idle_seconds =
      static_cast<unsigned>(std::chrono::ceil<std::chrono::seconds>(limits.idle_timeout).count());
  http_->SetOptions(options);
}

void GatewayProcess::ScheduleDispatch() {
  if (!dispatch_scheduled_) {
    dispatch_scheduled_ = true;
    loop_->Defer([this] { DispatchOutput(); });
  }
}

void GatewayProcess::DispatchOutput() {
  dispatch_scheduled_ = false;
  StartPartialQueries();
  gateway::GatewayOutput output = server_->TakeOutput();
  // Answers go first, since clients wait for them; no caller waits for cancelled requests.
  for (gateway::GatewayAnswer& answer : output.answers) {
    SendAnswer(std::move(answer));
  }
  for (const gateway::PeerReply& reply : output.peer_replies) {
    peer_server_->Send(reply.session, reply.envelope);
  }
  for (const gateway::PeerMessage& message : output.peer_messages) {
    SendToPeer(message);
  }
  for (const gateway::PartialTrace& partial : output.partials) {
    metrics_.OnPartial(partial);
    log_.OnPartial(net::EventLoop::Now(), partial);
  }
  for (gateway::LeafSend& send : output.sends) {
    SendToLeaf(std::move(send));
  }
  for (const gateway::LeafCancel& cancel : output.cancels) {
    CancelAtLeaf(cancel);
  }
  EndUnsentCalls(output.closed_leafs);
  log_.OnLeafChanges(output.leaf_changes);
  for (const std::string& address : output.reconnect) {
    control_.erase(address);
  }
  for (const std::string& address : output.forgotten_controls) {
    log_.OnControlForgotten(address);
  }
  for (const gateway::ControlLinkChange& change : output.link_changes) {
    OnLinkChange(change);
  }
  log_.OnSuspectsNoticed(net::EventLoop::Now(), output.suspects_noticed);
  for (const gateway::SuspectAttempt& attempt : output.suspect_attempts) {
    log_.OnSuspectAttempt(net::EventLoop::Now(), attempt);
  }
  for (const gateway::TrialRecord& trial : output.trials) {
    metrics_.OnTrial(trial.outcome);
    log_.OnTrial(net::EventLoop::Now(), trial);
  }
  for (const wire::RunReport& report : output.runs_reported) {
    log_.OnRunReport(net::EventLoop::Now(), report);
  }
  for (const gateway::ControlMessage& message : output.control) {
    SendToControl(message);
  }
}

void GatewayProcess::SendAnswer(gateway::GatewayAnswer answer) {
  const auto waiting = waiting_.find(answer.id);
  if (waiting == waiting_.end()) {
    return;
  }
  http::HttpResponse response = dialect_->WriteAnswer(answer);
  const int status = response.status;
  waiting->second.Send(std::move(response));
  waiting_.erase(waiting);
  metrics_.OnAnswer(answer);
  // Logged in the next loop iteration: the answer has been written by then, and logging delays no
  // caller.
  ++unlogged_answers_;
  loop_->Defer([this, status, answer = std::move(answer)] {
    --unlogged_answers_;
    const Timestamp now = net::EventLoop::Now();
    server_->OnAnswerWritten(now, answer.trace);
    metrics_.OnAnswerWritten(now, answer);
    log_.OnAnswer(now, answer, status);
  });
}

void GatewayProcess::SendToLeaf(gateway::LeafSend send) {
  http::ClientRequest request = dialect_->WriteLeafRequest(send);
  request.priority = send.priority;
  request.retained_connections = send.retained_connections;
  const SubRequestId id = send.id;
  const std::string leaf = send.leaf;
  const auto on_done = [this, send = std::move(send)](http::ClientResponse response) {
    calls_.erase(send.id);
    server_->OnLeafReply(net::EventLoop::Now(), dialect_->ReadLeafReply(send, std::move(response)));
    ScheduleDispatch();
  };
  calls_[id] = {client_->Start(std::move(request), on_done), leaf};
}

void GatewayProcess::EndUnsentCalls(const std::vector<std::string>& leafs) {
  if (leafs.empty()) {
    return;
  }
  const std::set<std::string> closed(leafs.begin(), leafs.end());
  std::vector<http::HttpClient::CallId> calls;
  for (const auto& [id, call] : calls_) {
    if (closed.contains(call.leaf)) {
      calls.push_back(call.call);
    }
  }
  for (const http::HttpClient::CallId call : calls) {
    client_->CancelUnsent(call);
  }
}

void GatewayProcess::CancelAtLeaf(const gateway::LeafCancel& cancel) {
  const auto call = calls_.find(cancel.id);
  if (call == calls_.end()) {
    return;
  }
  if (cancel.stop_work) {
    client_->Cancel(call->second.call);
  } else {
    AbandonAtLeaf(cancel.id, call->second);
    calls_.erase(call);
    return;
  }
  server_->OnSendDropped(cancel.id);
  calls_.erase(call);
}

void GatewayProcess::AbandonAtLeaf(SubRequestId id, const LeafCall& call) {
  // The result is not needed, but its effect on the leaf is still recorded.
  gateway::LeafSend send;
  send.id = id;
  send.leaf = call.leaf;
  const bool still_running = client_->Abandon(
      call.call, kAbandonTimeout, [this, send = std::move(send)](http::ClientResponse response) {
        server_->OnAbandonedReply(net::EventLoop::Now(),
                                  dialect_->ReadLeafReply(send, std::move(response)));
      });
  if (!still_running) {
    server_->OnSendDropped(id);
  }
}

void GatewayProcess::SendToControl(const gateway::ControlMessage& message) {
  std::unique_ptr<net::FrameClient>& link = control_[message.address];
  if (link == nullptr) {
    const std::string address = message.address;
    link = std::make_unique<net::FrameClient>(
        loop_, address,
        [this, address](const wire::Envelope& envelope) {
          const Timestamp now = net::EventLoop::Now();
          if (!server_->OnControlMessage(now, address, envelope)) {
            misdirected_.OnMessage(now, envelope);
          }
          ScheduleDispatch();
        },
        [this, address] {
          server_->OnControlDisconnected(net::EventLoop::Now(), address);
          ScheduleDispatch();
        });
  }
  link->Send(message.envelope);
}

void GatewayProcess::SendToPeer(const gateway::PeerMessage& message) {
  std::unique_ptr<net::FrameClient>& peer = peers_[message.address];
  if (peer == nullptr) {
    const std::string address = message.address;
    peer = std::make_unique<net::FrameClient>(
        loop_, address,
        [this, address](const wire::Envelope& envelope) {
          const Timestamp now = net::EventLoop::Now();
          if (!server_->OnPeerReply(now, address, envelope)) {
            misdirected_.OnMessage(now, envelope);
          }
          ScheduleDispatch();
        },
        [this, address] {
          server_->OnPeerDisconnected(net::EventLoop::Now(), address);
          ScheduleDispatch();
        });
  }
  peer->Send(message.envelope);
}

void GatewayProcess::OnClientRequest(http::HttpRequest request, http::Responder responder) {
  const Duration round_trip = request.round_trip;
  const Timestamp arrived = request.arrived;
  absl::StatusOr<gateway::PayloadRequest> payload = dialect_->ReadRequest(std::move(request));
  if (!payload.ok()) {
    responder.Send(dialect_->WriteRefusal(payload.status()));
    return;
  }
  payload->round_trip = round_trip;
  const RequestId id{next_request_++};
  responder.WatchClient([this, id, request_id = payload->request_id] {
    waiting_.erase(id);
    metrics_.OnClientDisconnected();
    const Timestamp now = net::EventLoop::Now();
    log_.OnClientDisconnected(now, request_id, server_->TraceOf(now, id));
    server_->OnClientDisconnected(now, id);
    ScheduleDispatch();
  });
  waiting_.emplace(id, std::move(responder));
  server_->OnRequest(net::EventLoop::Now(), id,
                     std::make_shared<const gateway::PayloadRequest>(*std::move(payload)), arrived);
  ScheduleDispatch();
}

void GatewayProcess::Reload() {
  absl::StatusOr<GatewaySettings> settings = ReadGatewaySettings(settings_.path);
  if (!settings.ok()) {
    LogEvent("reload_refused", {{"why", std::string(settings.status().message())}});
    return;
  }
  LogEvent("reloaded", {{"control", settings->control}});
  server_->SetControlSeeds(settings->control);
}

void GatewayProcess::Stop() {
  LogEvent("stopping", {});
  const Timestamp now = net::EventLoop::Now();
  stop_.Start(now, {http_.get(), directory_http_.get()});
  server_->StartDraining(now, stop_.answer_by());
  DispatchOutput();
}

}  // namespace pumicedyke::server
