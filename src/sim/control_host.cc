#include "sim/control_host.h"

#include <utility>

namespace pumicedyke::sim {
namespace {

constexpr Duration kTickInterval = Milliseconds(10);

constexpr size_t kSnapshotLogBytes = 60000;
constexpr char kCluster[] = "sim";

}  // namespace

ControlHost::ControlHost(ClockQueue* clock, const std::string& name,
                         std::vector<std::string> founders, size_t voters,
                         const DisabledMechanisms& disabled, uint64_t seed, Callbacks callbacks)
    : SimProcess(clock, name),
      founders_(std::move(founders)),
      voters_(voters),
      disabled_(disabled),
      seed_(seed),
      callbacks_(std::move(callbacks)),
      disk_(seed) {}

MemberId ControlHost::InitialMemberId(const std::string& machine) const {
  for (size_t i = 0; i < founders_.size(); ++i) {
    if (founders_[i] == machine) {
      return i + 1;
    }
  }
  return 0;
}

void ControlHost::Format() {
  wire::SnapshotData initial;
  for (const std::string& machine : founders_) {
    initial.members.push_back({InitialMemberId(machine), machine, machine, /*voter=*/true});
  }
  storage::LogStorage storage(&disk_, {});
  storage.Format({InitialMemberId(name()), kCluster, name()}, initial).IgnoreError();
}

void ControlHost::Start() {
  MarkStarted();
  ++starts_;
  storage::LogStorageOptions storage_options;
  storage_options.sync_before_ack = !disabled_.contains("sync-before-ack");
  storage_ = std::make_unique<storage::LogStorage>(&disk_, storage_options);
  absl::StatusOr<wire::Identity> identity = storage_->ReadIdentity();
  if (!identity.ok()) {
    if (disabled_.contains("new-incarnation")) {
      Format();
    } else {
      const MemberId new_member_id = std::hash<std::string>()(name()) + starts_;
      storage_->Format({new_member_id, kCluster, name()}, wire::SnapshotData{}).IgnoreError();
    }
    identity = storage_->ReadIdentity();
  }
  control::ControlOptions options;
  options.cluster = kCluster;
  options.address = name();
  options.seeds = founders_;
  options.voters = voters_;
  options.relay_joins = !disabled_.contains("join-relay");
  options.snapshot_log_bytes = kSnapshotLogBytes;
  options.raft.lease_check = !disabled_.contains("lease-check");
  options.raft.proof_check = !disabled_.contains("quorum-proof");
  options.state.remember_submissions = !disabled_.contains("submission-id");
  options.state.compare_and_set = !disabled_.contains("compare-and-set");
  options.stop_fatal_requests = !disabled_.contains("quarantine");
  options.catch_up_before_vote = !disabled_.contains("catch-up-before-vote");
  storage::RecoveredState recovered = storage_->Recover().value();
  server_ = std::make_unique<control::ControlServer>(
      options, *identity, storage_.get(), std::move(recovered), seed_ * 1000 + starts_, LocalNow());
  open_tickets_ = 0;
  accepts_ = true;
  RunAfter(kTickInterval, [this] { Tick(); });
  DispatchOutput();
}

void ControlHost::Kill() {
  MarkDead();
  server_.reset();
  storage_.reset();
  stopped_ = nullptr;
  disk_.Crash();
}

void ControlHost::LoseDisk() {
  Kill();
  disk_.LoseEverything();
}

void ControlHost::PlannedStop(std::function<void()> done) {
  stopped_ = std::move(done);
  stop_.Start(LocalNow());
  server_->StartShutdown(LocalNow());
  DispatchOutput();
  if (disabled_.contains("drain-before-exit")) {
    std::function<void()> stopped = std::move(stopped_);
    Kill();
    stopped();
  }
}

void ControlHost::Tick() {
  server_->SetWallClock(LocalNow().time_since_epoch().count() / 1000);
  server_->Tick(LocalNow());
  DispatchOutput();
  RunAfter(kTickInterval, [this] { Tick(); });
  CheckPlannedStop();
}

void ControlHost::CheckPlannedStop() {
  if (stopped_ != nullptr && MayExit()) {
    std::function<void()> stopped = std::move(stopped_);
    Kill();
    stopped();
  }
}

bool ControlHost::MayExit() {
  const server::StopPhase phase = stop_.Advance(LocalNow());
  // Operators keep a connection open until the machine closes it.
  accepts_ = accepts_ && (phase != server::StopPhase::kClosingIdle || HasUnread());
  const size_t connections = accepts_ ? 1 : 0;
  return server::StopSequence::MayExit(phase, server_->Drained() && open_tickets_ == 0,
                                       connections);
}

void ControlHost::RunForOperator(std::function<void()> call) {
  if (!alive() || !accepts_) {
    return;
  }
  ++open_tickets_;
  Run([this, call = std::move(call)] {
    call();
    DispatchOutput();
  });
}

void ControlHost::DispatchOutput() {
  control::ControlOutput output = server_->TakeOutput();
  for (const control::PeerMessage& message : output.peers) {
    callbacks_.to_peer(message.address, message.envelope);
  }
  for (const control::SessionMessage& message : output.sessions) {
    callbacks_.to_session(message.session, message.envelope);
    for (const control::SessionId other : message.others) {
      callbacks_.to_session(other, message.envelope);
    }
  }
  for (const control::SessionId session : output.closed_sessions) {
    callbacks_.close_session(session);
  }
  for (const control::OperatorReply& reply : output.operators) {
    --open_tickets_;
    callbacks_.to_operator(reply.ticket, reply.body);
  }
}

void ControlHost::Receive(control::SessionId session, const wire::Envelope& envelope) {
  Run([this, session, envelope] {
    server_->OnMessage(LocalNow(), session, envelope);
    DispatchOutput();
  });
}

void ControlHost::Submit(control::TicketId ticket, const config::Change& change) {
  RunForOperator([this, ticket, change] { server_->Submit(LocalNow(), ticket, change); });
}

void ControlHost::ReadConfig(control::TicketId ticket) {
  RunForOperator([this, ticket] { server_->ReadConfig(LocalNow(), ticket); });
}

bool ControlHost::Leads() const {
  return alive() && server_ != nullptr && server_->raft().role() == consensus::Role::kLeader;
}

void ControlHost::ReadStatus(control::TicketId ticket) {
  RunForOperator([this, ticket] { server_->ReadStatus(LocalNow(), ticket); });
}

int64_t ControlHost::DurableVersion() {
  SimFileSystem copy = disk_.DurableCopy();
  storage::LogStorage storage(&copy, {});
  absl::StatusOr<storage::RecoveredState> recovered = storage.Recover();
  if (!recovered.ok()) {
    return -1;
  }
  control::ControlState state(control::ControlStateOptions{});
  if (!recovered->snapshot.state.empty()) {
    state.Restore(recovered->snapshot.state).IgnoreError();
  }
  for (const wire::LogEntry& entry : recovered->entries) {
    if (entry.kind == wire::EntryKind::kCommand) {
      state.Apply(entry.data);
    }
  }
  return static_cast<int64_t>(state.config().version().value);
}

}  // namespace pumicedyke::sim
