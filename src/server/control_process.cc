#include "server/control_process.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <utility>

#include "absl/strings/str_split.h"
#include "common/build_identity.h"
#include "common/log.h"
#include "common/result_code.h"
#include "common/settings.h"
#include "server/process.h"
#include "wire/destinations.h"

namespace pumicedyke::server {
namespace {

/// Leaves room for the largest frame of another control machine.
constexpr size_t kHeldBytes = net::kMaxFrameBytes + (size_t{1} << 20);
constexpr Duration kTickInterval = Milliseconds(10);
/// Minimum interval between updates of the leafs to gateways.
constexpr Duration kLeafFeedInterval = Milliseconds(50);
/// Interval between retries of a failed disk.
constexpr Duration kDiskRetryInterval = Milliseconds(250);
/// A stopping machine serves late requests for this long after handing over leadership.
constexpr Duration kStopGrace = Milliseconds(300);

struct Machine {
  std::string name;
  std::string address;
};

std::vector<Machine> ParseMachines(const std::vector<std::string>& items) {
  std::vector<Machine> machines;
  for (const std::string& item : items) {
    const std::pair<std::string, std::string> parts = absl::StrSplit(item, absl::MaxSplits('=', 1));
    machines.push_back({parts.first, parts.second});
  }
  return machines;
}

/// Returns the initial machines of a new cluster. Seeds are named by the host of their address.
std::vector<Machine> InitialMachines(const ControlSettings& settings) {
  if (!settings.machines.empty()) {
    return ParseMachines(settings.machines);
  }
  std::vector<Machine> machines;
  for (const std::string& seed : settings.seeds) {
    machines.push_back({seed.substr(0, seed.rfind(':')), seed});
  }
  return machines;
}

bool IsInitialMachine(const ControlSettings& settings) {
  const std::vector<Machine> machines = InitialMachines(settings);
  return std::any_of(machines.begin(), machines.end(),
                     [&](const Machine& machine) { return machine.name == settings.machine; });
}

/// Derives the id of an initial member, so that every machine computes the same ids.
MemberId InitialMemberId(const std::string& cluster, const std::string& machine) {
  const std::string text = cluster + "/" + machine;
  return XXH64(text.data(), text.size(), 1) | 1;
}

MemberId RandomMemberId() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32 | device()) | 1;
}

uint64_t RandomSeed() {
  std::random_device device;
  return static_cast<uint64_t>(device()) << 32 | device();
}

}  // namespace

absl::StatusOr<ControlSettings> ReadControlSettings(const std::string& path) {
  Settings file(path);
  ControlSettings settings;
  settings.cluster = file.Required("cluster", "the name of the cluster");
  settings.machine = file.Required("machine", "the name of this machine");
  settings.zone = file.String("zone", "");
  settings.regions = ReadRegions(&file);
  settings.listen = file.Address("listen", "127.0.0.1:7100");
  settings.operator_listen = file.Address("operator_listen", "127.0.0.1:7200");
  settings.operator_token_file = file.String("operator_token_file", "");
  const absl::StatusOr<std::string> token =
      ReadOperatorToken(settings.operator_token_file, settings.operator_listen);
  if (token.ok()) {
    settings.operator_token = *token;
  } else {
    file.AddError("operator_token_file", std::string(token.status().message()));
  }
  settings.data_folder = file.Required("data_folder", "the folder of this machine's state");
  settings.port_file = file.String("port_file", "");
  settings.path = path;
  settings.service_listen = file.String("service_listen", "");
  settings.directory_listen = file.String("directory_listen", "");
  constexpr int64_t kMaxMilliseconds = 3600 * 1000;
  settings.directory_time_to_live =
      Milliseconds(file.Integer("directory_time_to_live_ms", 2000, 1, kMaxMilliseconds));
  settings.leaf_silence_limit =
      Milliseconds(file.Integer("leaf_silence_limit_ms", 6000, 1, kMaxMilliseconds));
  settings.machines = file.List("machines");
  settings.seeds = ReadControlAddresses(&file);
  settings.bootstrap = file.Boolean("bootstrap", false);
  constexpr int64_t kMaxToleratedFailures = 4;
  const int64_t tolerated = file.Integer("tolerated_failures", 0, 0, kMaxToleratedFailures);
  settings.voters = tolerated > 0 ? static_cast<size_t>(2 * tolerated + 1) : 0;
  settings.replace_silent_after =
      Milliseconds(file.Integer("replace_silent_after_ms", 0, 0, kMaxMilliseconds));
  settings.snapshot_log_bytes =
      static_cast<size_t>(file.Integer("snapshot_log_bytes", 4 << 20, 4096, int64_t{1} << 32));
  settings.stop = ReadStopTimes(&file, kStopGrace);
  settings.election_timeout = Milliseconds(file.Integer("election_timeout_ms", 300, 50, 60000));
  bool listed = false;
  for (const Machine& machine : ParseMachines(settings.machines)) {
    listed |= machine.name == settings.machine;
    if (machine.name.empty() || !IsAddress(machine.address)) {
      file.AddError("machines", "must list entries like \"a=127.0.0.1:7100\"");
    }
  }
  const bool by_seeds = settings.machines.empty() && !settings.seeds.empty();
  if (!listed && !by_seeds) {
    file.AddError("machines", "must list this machine, '" + settings.machine + "', too");
  }
  if (absl::Status status = file.Finish(); !status.ok()) {
    return status;
  }
  return settings;
}

absl::Status FormatControl(const ControlSettings& settings) {
  if (absl::Status status = storage::PosixFileSystem::CreateFolder(settings.data_folder);
      !status.ok()) {
    return status;
  }
  wire::SnapshotData initial;
  for (const Machine& machine : InitialMachines(settings)) {
    initial.members.push_back({InitialMemberId(settings.cluster, machine.name), machine.name,
                               machine.address, /*voter=*/true});
  }
  storage::PosixFileSystem files(settings.data_folder);
  storage::LogStorage storage(&files, {});
  return storage.Format(
      {InitialMemberId(settings.cluster, settings.machine), settings.cluster, settings.machine},
      initial);
}

ControlProcess::ControlProcess(ControlSettings settings, const control::Dialect* dialect,
                               net::EventLoop* loop)
    : settings_(std::move(settings)),
      loop_(loop),
      dialect_(dialect),
      watch_(settings_.path),
      stop_(settings_.stop) {}

absl::StatusOr<ControlProcess::OpenedStorage> ControlProcess::OpenStorage() const {
  if (absl::Status status = storage::PosixFileSystem::CreateFolder(settings_.data_folder);
      !status.ok()) {
    return status;
  }
  OpenedStorage opened;
  opened.files = std::make_unique<storage::PosixFileSystem>(settings_.data_folder);
  opened.log =
      std::make_unique<storage::LogStorage>(opened.files.get(), storage::LogStorageOptions{});
  absl::StatusOr<wire::Identity> found = opened.log->ReadIdentity();
  if (absl::IsNotFound(found.status()) && settings_.bootstrap && IsInitialMachine(settings_)) {
    if (absl::Status status = FormatControl(settings_); !status.ok()) {
      return status;
    }
    found = opened.log->ReadIdentity();
  }
  if (absl::IsNotFound(found.status())) {
    // The disk was lost, or the machine is new. It starts as a new member, without a vote until the
    // leader has added it and it has caught up.
    const wire::Identity fresh{RandomMemberId(), settings_.cluster, settings_.machine};
    if (absl::Status status = opened.log->Format(fresh, wire::SnapshotData{}); !status.ok()) {
      return status;
    }
    found = fresh;
  }
  if (!found.ok()) {
    return found.status();
  }
  if (found->cluster != settings_.cluster || found->machine != settings_.machine) {
    return MakeStatus(
        ResultCode::kWrongCluster,
        "the data folder belongs to machine " + found->machine + " of cluster " + found->cluster);
  }
  absl::StatusOr<storage::RecoveredState> recovered = opened.log->Recover();
  if (!recovered.ok()) {
    return recovered.status();
  }
  opened.identity = *std::move(found);
  opened.recovered = *std::move(recovered);
  return opened;
}

control::ControlOptions ControlProcess::ReplicaOptions() const {
  control::ControlOptions options;
  options.cluster = settings_.cluster;
  options.address = settings_.listen;
  for (const Machine& machine : InitialMachines(settings_)) {
    options.seeds.push_back(machine.address);
    if (machine.name == settings_.machine) {
      options.address = machine.address;
    }
  }
  options.voters = settings_.voters;
  options.replace_silent_after = settings_.replace_silent_after;
  options.snapshot_log_bytes = settings_.snapshot_log_bytes;
  options.raft.election_timeout = settings_.election_timeout;
  options.raft.heartbeat_interval = settings_.election_timeout / 6;
  return options;
}

absl::Status ControlProcess::OpenReplica(Timestamp now) {
  absl::StatusOr<OpenedStorage> opened = OpenStorage();
  if (!opened.ok()) {
    return opened.status();
  }
  if (server_ != nullptr) {
    // Requests pending at the failed replica are answered with "no quorum".
    server_->AbandonPending();
    DispatchOutput();
  }
  const wire::Identity& identity = opened->identity;
  LogEvent("recovered", {{"build", BuildIdentity()},
                         {"member", identity.member},
                         {"snapshot_index", opened->recovered.snapshot.index},
                         {"entries", opened->recovered.entries.size()},
                         {"cut_bytes", opened->recovered.cut_bytes}});
  server_ =
      std::make_unique<control::ControlServer>(ReplicaOptions(), identity, opened->log.get(),
                                               std::move(opened->recovered), RandomSeed(), now);
  leaf_committer_ = std::make_unique<control::LeafCommitter>(control::LeafCommitterOptions{},
                                                             identity.member, now);
  storage_ = std::move(opened->log);
  files_ = std::move(opened->files);
  return absl::OkStatus();
}

absl::Status ControlProcess::Start() {
  const Timestamp now = net::EventLoop::Now();
  absl::Status status = OpenReplica(now);
  if (status.ok()) {
    return Listen();
  }
  if (CodeOf(status) != ResultCode::kStorageFailed) {
    return status;
  }
  OnReplicaFailure(now, status);
  return absl::OkStatus();
}

void ControlProcess::OnReplicaFailure(Timestamp now, const absl::Status& failure) {
  if (!retry_disk_at_.has_value()) {
    LogError("data_folder_failed", {{"error", std::string(failure.message())}});
    retry_disk_at_ = now + kDiskRetryInterval;
  }
  if (now < *retry_disk_at_) {
    return;
  }
  retry_disk_at_ = now + kDiskRetryInterval;
  absl::Status status = OpenReplica(now);
  if (status.ok()) {
    retry_disk_at_.reset();
    LogEvent("data_folder_regained", {});
    status = frames_ == nullptr ? Listen() : absl::OkStatus();
  }
  if (!status.ok() && CodeOf(status) != ResultCode::kStorageFailed) {
    failure_ = status;
    loop_->Stop();
  }
}

absl::Status ControlProcess::Listen() {
  loop_->byte_budget()->SetLimit(kHeldBytes);
  discovery_ = std::make_unique<control::DiscoveryServer>(
      control::DiscoveryOptions{settings_.cluster,
                                settings_.zone,
                                {.silence_limit = settings_.leaf_silence_limit},
                                {.regions = settings_.regions},
                                kLeafFeedInterval});
  frames_ = std::make_unique<net::FrameServer>(
      loop_,
      [this](uint64_t session, const wire::Envelope& envelope) { OnFrame(session, envelope); },
      [this](uint64_t session) {
        server_->OnSessionClosed(session);
        discovery_->OnSessionClosed(session);
      });
  if (absl::Status status = frames_->Listen(settings_.listen); !status.ok()) {
    return status;
  }
  http_ = std::make_unique<http::HttpServer>(
      loop_, http::HttpServerOptions{.max_body_bytes = 32 << 20},
      [this](const http::HttpRequest& request, http::Responder responder) {
        OnOperator(request, std::move(responder));
      });
  if (absl::Status status = http_->Listen(settings_.operator_listen); !status.ok()) {
    return status;
  }
  if (absl::Status status = ListenForDialect(); !status.ok()) {
    return status;
  }
  return WritePortFile(settings_.port_file, "control " + std::to_string(frames_->port()) +
                                                "\noperator " + std::to_string(http_->port()) +
                                                "\n");
}

absl::Status ControlProcess::Run() {
  loop_->Run([this](Timestamp now) { return Tick(now); });
  return failure_;
}

Timestamp ControlProcess::Tick(Timestamp now) {
  held_bytes_log_.OnState(now, *loop_->request_room());
  const bool disk_fails = server_ == nullptr || !server_->raft().failure().ok();
  if (disk_fails) {
    OnReplicaFailure(now, server_ == nullptr ? absl::OkStatus() : server_->raft().failure());
  }
  if (server_ == nullptr || !failure_.ok()) {
    return now + kTickInterval;
  }
  server_->SetWallClock(net::EventLoop::WallMilliseconds());
  if (watch_.Changed(now)) {
    Reload();
  }
  server_->Tick(now);
  std::vector<std::string> addresses;
  for (const wire::Member& member : server_->raft().members()) {
    addresses.push_back(member.address);
  }
  discovery_->SetControlAddresses(std::move(addresses));
  discovery_->Tick(now, server_->IsCurrent(now));
  CommitLeafs(now);
  DispatchOutput();
  log_.OnState(now, *server_, *discovery_);
  if (stop_.started()) {
    AdvanceStop(now);
  }
  return now + kTickInterval;
}

void ControlProcess::AdvanceStop(Timestamp now) {
  const bool done = stop_.Done(now, server_->Drained() && waiting_.empty());
  if (stop_.phase() == StopPhase::kRefusing) {
    server_->AbandonPending();
    DispatchOutput();
  }
  if (done) {
    loop_->Stop();
  }
}

void ControlProcess::CommitLeafs(Timestamp now) {
  if (!server_->IsCurrent(now) || stop_.started()) {
    return;
  }
  std::set<MemberId> members;
  for (const wire::Member& member : server_->raft().members()) {
    members.insert(member.id);
  }
  const bool leads = server_->raft().role() == consensus::Role::kLeader;
  const std::optional<config::Change> change = leaf_committer_->Propose(
      now, &discovery_->registry(), server_->state().config(), members, leads);
  if (change.has_value()) {
    server_->Submit(now,
                    Await([this](const control::OperatorReply&) { leaf_committer_->OnAnswer(); }),
                    *change);
  }
}

void ControlProcess::DispatchOutput() {
  control::ControlOutput output = server_->TakeOutput();
  for (const control::PeerMessage& message : output.peers) {
    SendToPeer(message.address, message.envelope);
  }
  for (const control::SessionMessage& message : output.sessions) {
    SendToSessions(message);
  }
  for (const control::SessionMessage& message : discovery_->TakeMessages()) {
    SendToSessions(message);
  }
  for (const control::QuarantineProposal& proposal : output.quarantine) {
    ControlLog::OnQuarantineProposal(proposal);
  }
  for (const quarantine::CrashFinding& finding : output.insufficient) {
    log_.OnInsufficientEvidence(net::EventLoop::Now(), finding);
  }
  log_.OnSuspects(net::EventLoop::Now(), output.suspects);
  for (const wire::TrialReply& decision : output.trials) {
    log_.OnTrial(net::EventLoop::Now(), decision);
  }
  for (const control::SessionId session : output.closed_sessions) {
    frames_->CloseSession(session);
  }
  for (const control::OperatorReply& reply : output.operators) {
    const auto waiting = waiting_.find(reply.ticket);
    if (waiting == waiting_.end()) {
      continue;
    }
    const ReplyCb on_reply = std::move(waiting->second);
    waiting_.erase(waiting);
    on_reply(reply);
  }
}

void ControlProcess::SendToSessions(const control::SessionMessage& message) {
  std::vector<uint64_t> sessions = message.others;
  sessions.push_back(message.session);
  frames_->SendToAll(sessions, message.envelope);
}

control::TicketId ControlProcess::Await(ReplyCb on_reply) {
  const control::TicketId ticket = next_ticket_++;
  waiting_.emplace(ticket, std::move(on_reply));
  return ticket;
}

void ControlProcess::SendToPeer(const std::string& address, const wire::Envelope& envelope) {
  std::unique_ptr<net::FrameClient>& peer = peers_[address];
  if (peer == nullptr) {
    peer = std::make_unique<net::FrameClient>(
        loop_, address, [](const wire::Envelope&) {}, [] {});
  }
  peer->Send(envelope);
}

void ControlProcess::OnFrame(uint64_t session, const wire::Envelope& envelope) {
  const Timestamp now = net::EventLoop::Now();
  if (envelope.cluster != settings_.cluster) {
    LogEvent("wrong_cluster", {{"cluster", envelope.cluster}});
    frames_->CloseSession(session);
    return;
  }
  server_->SetWallClock(net::EventLoop::WallMilliseconds());
  const bool handled = wire::DispatchTo<wire::Destination::kDiscovery>(
                           envelope.body,
                           [&](const wire::GatewayPresence& presence) {
                             discovery_->OnPresence(now, session, presence);
                           }) ||
                       server_->OnMessage(now, session, envelope);
  if (!handled) {
    misdirected_.OnMessage(now, envelope);
  }
  DispatchOutput();
}

void ControlProcess::Reload() {
  absl::StatusOr<ControlSettings> settings = ReadControlSettings(settings_.path);
  if (!settings.ok()) {
    LogEvent("reload_refused", {{"why", std::string(settings.status().message())}});
    return;
  }
  LogEvent("reloaded", {{"seeds", settings->seeds}});
  settings_.seeds = settings->seeds;
  if (server_ != nullptr) {
    server_->AddSeeds(settings->seeds);
  }
}

void ControlProcess::Stop() {
  const Timestamp now = net::EventLoop::Now();
  LogEvent("stopping", {});
  if (server_ == nullptr) {
    loop_->Stop();
    return;
  }
  stop_.Start(now, {http_.get(), service_http_.get(), directory_http_.get()});
  server_->StartShutdown(now);
  DispatchOutput();
}

}  // namespace pumicedyke::server
