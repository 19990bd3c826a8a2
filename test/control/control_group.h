// A group of control machines without a network, for tests.
#pragma once

#include <cppunit/TestAssert.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/json.h"
#include "control/control_server.h"
#include "sim/sim_file_system.h"

namespace pumicedyke::control {

inline constexpr Duration kStep = Milliseconds(10);
inline constexpr MemberId kMachines = 5;

inline std::string AddressOf(MemberId id) { return "m" + std::to_string(id); }

/// Machines 1 to 5 and a network that delivers immediately, except from and to lost machines.
class Group {
 public:
  Group() : Group(Duration(0)) {}
  /// @param replace_silent_after see ControlOptions.
  explicit Group(Duration replace_silent_after) : replace_silent_after_(replace_silent_after) {
    wire::SnapshotData initial;
    for (MemberId id = 1; id <= kMachines; ++id) {
      initial.members.push_back({id, AddressOf(id), AddressOf(id), /*voter=*/true});
    }
    for (MemberId id = 1; id <= kMachines; ++id) {
      Machine& machine = machines_[id];
      machine.files = std::make_unique<sim::SimFileSystem>(id);
      machine.log =
          std::make_unique<storage::LogStorage>(machine.files.get(), storage::LogStorageOptions{});
      CPPUNIT_ASSERT(machine.log->Format({id, "test", AddressOf(id)}, initial).ok());
      Start(id);
    }
  }

  void Start(MemberId id) { Start(id, id); }
  /// @param identity the machine's member id, another one than `id` once it has lost its disk.
  void Start(MemberId id, MemberId identity) {
    Machine& machine = machines_[id];
    machine.log =
        std::make_unique<storage::LogStorage>(machine.files.get(), storage::LogStorageOptions{});
    ControlOptions options;
    options.cluster = "test";
    options.address = AddressOf(id);
    for (MemberId other = 1; other <= kMachines; ++other) {
      options.seeds.push_back(AddressOf(other));
    }
    options.voters = kMachines;
    options.replace_silent_after = replace_silent_after_;
    machine.server = std::make_unique<ControlServer>(
        options, wire::Identity{identity, "test", AddressOf(id)}, machine.log.get(),
        *machine.log->Recover(), id * 7 + ++starts_, now_);
  }

  /// Adds a machine with an empty disk, which asks to join.
  void Add(MemberId id) {
    Machine& machine = machines_[id];
    machine.files = std::make_unique<sim::SimFileSystem>(id);
    machine.log =
        std::make_unique<storage::LogStorage>(machine.files.get(), storage::LogStorageOptions{});
    CPPUNIT_ASSERT(machine.log->Format({id, "test", AddressOf(id)}, wire::SnapshotData{}).ok());
    Start(id);
  }
  /// Starts a machine again with what its disk has synced.
  void Restart(MemberId id) {
    machines_.at(id).server.reset();
    machines_.at(id).files->Crash();
    Start(id);
    Resume(id);
  }
  /// Restarts a machine with an empty disk, under another identity.
  void RestartWithoutDisk(MemberId id, MemberId identity) {
    Machine& machine = machines_.at(id);
    machine.server.reset();
    machine.files->LoseEverything();
    machine.log =
        std::make_unique<storage::LogStorage>(machine.files.get(), storage::LogStorageOptions{});
    CPPUNIT_ASSERT(
        machine.log->Format({identity, "test", AddressOf(id)}, wire::SnapshotData{}).ok());
    Start(id, identity);
    Resume(id);
  }
  /// Returns the voters that the leader knows.
  std::set<MemberId> Voters() const {
    std::set<MemberId> voters;
    for (const wire::Member& member : at(Leader()).raft().members()) {
      if (member.voter) {
        voters.insert(member.id);
      }
    }
    return voters;
  }

  void RunFor(Duration time) {
    for (const Timestamp end = now_ + time; now_ < end; now_ += kStep) {
      for (auto& [id, machine] : machines_) {
        if (!paused_.contains(id)) {
          machine.server->SetWallClock(now_.time_since_epoch() / Milliseconds(1));
          machine.server->Tick(now_);
        }
      }
      Deliver();
    }
  }

  void Deliver() {
    for (bool delivered = true; delivered;) {
      delivered = false;
      std::deque<std::pair<MemberId, PeerMessage>> messages;
      for (auto& [id, machine] : machines_) {
        ControlOutput output = machine.server->TakeOutput();
        for (PeerMessage& message : output.peers) {
          messages.emplace_back(id, std::move(message));
        }
        for (const SessionMessage& message : output.sessions) {
          const auto* acknowledgement = std::get_if<wire::RunReportAck>(&message.envelope.body);
          if (acknowledgement != nullptr) {
            ++acknowledged_;
            acknowledged_numbers_.push_back(acknowledgement->number);
          }
          if (const auto* trial = std::get_if<wire::TrialReply>(&message.envelope.body)) {
            trial_replies_.push_back(*trial);
          }
          if (const auto* notice = std::get_if<wire::SuspectNotice>(&message.envelope.body)) {
            notices_.push_back(*notice);
          }
          if (const auto* verdict = std::get_if<wire::LedgerReply>(&message.envelope.body)) {
            ledger_replies_.push_back(*verdict);
          }
        }
        for (const OperatorReply& reply : output.operators) {
          answers_[reply.ticket] = reply.body;
        }
      }
      for (const auto& [from, message] : messages) {
        delivered = true;
        for (auto& [id, machine] : machines_) {
          const bool addressed = AddressOf(id) == message.address && Connected(from, id);
          if (addressed) {
            machine.server->OnMessage(now_, /*session=*/0, message.envelope);
          }
        }
      }
    }
  }

  MemberId Leader() const {
    MemberId leader = 0;
    uint64_t term = 0;
    for (const auto& [id, machine] : machines_) {
      const consensus::Raft& raft = machine.server->raft();
      const bool leads = !paused_.contains(id) && raft.role() == consensus::Role::kLeader;
      if (leads && raft.term() > term) {
        leader = id;
        term = raft.term();
      }
    }
    return leader;
  }
  MemberId WaitForLeader() {
    for (int i = 0; i < 500 && Leader() == 0; ++i) {
      RunFor(kStep);
    }
    CPPUNIT_ASSERT(Leader() != 0);
    RunFor(Milliseconds(200));
    return Leader();
  }

  void SubmitDocument(MemberId at, TicketId ticket, uint64_t version) {
    config::Change change;
    change.kind = config::ChangeKind::kPutDocument;
    change.document = {version, "{}"};
    Submit(at, ticket, change);
  }
  void Submit(MemberId at, TicketId ticket, const config::Change& change) {
    machines_.at(at).server->Submit(now_, ticket, change);
    Deliver();
  }
  /// @return the time until the answer; unset if there was none within ten seconds.
  std::optional<Duration> WaitFor(TicketId ticket) {
    const Timestamp start = now_;
    while (!answers_.contains(ticket) && now_ - start < Seconds(10)) {
      RunFor(kStep);
    }
    return answers_.contains(ticket) ? std::optional(now_ - start) : std::nullopt;
  }
  int CodeOf(TicketId ticket) const { return Json::parse(answers_.at(ticket)).value("code", -1); }

  /// Reports lost runs from a node to one machine. @return whether the machine acknowledges the
  /// report.
  bool Report(MemberId to, const wire::RunReport& report) {
    const size_t before = acknowledged_;
    Deliver(to, report);
    Deliver();
    return acknowledged_ > before;
  }
  size_t acknowledged() const { return acknowledged_; }
  /// Returns the numbers of the reports acknowledged since the last call.
  std::vector<uint64_t> TakeAcknowledged() { return std::exchange(acknowledged_numbers_, {}); }
  /// Returns the decisions on trials since the last call; the same below for warnings.
  std::vector<wire::TrialReply> TakeTrialReplies() { return std::exchange(trial_replies_, {}); }
  std::vector<wire::SuspectNotice> TakeNotices() { return std::exchange(notices_, {}); }
  std::vector<wire::LedgerReply> TakeLedgerReplies() { return std::exchange(ledger_replies_, {}); }
  /// Kills all machines at once and starts them again with their disks.
  void RestartAll() {
    for (auto& [id, machine] : machines_) {
      machine.server.reset();
      machine.files->Crash();
    }
    for (MemberId id = 1; id <= kMachines; ++id) {
      Start(id);
    }
  }
  /// Whether a machine is in reach of clients.
  bool InReach(MemberId id) const { return !paused_.contains(id); }
  Timestamp now() const { return now_; }
  /// Delivers a message to one machine. @return whether it was meant for a control machine.
  bool Deliver(MemberId to, wire::Body body) {
    return machines_.at(to).server->OnMessage(now_, /*session=*/1, {"test", 0, std::move(body)});
  }
  /// Pauses a machine: it neither sends nor receives.
  void Pause(MemberId id) { paused_.insert(id); }
  void Resume(MemberId id) { paused_.erase(id); }
  /// Splits the network into two sides that cannot reach each other.
  void Split(std::set<MemberId> side) { side_ = std::move(side); }
  const ControlServer& at(MemberId id) const { return *machines_.at(id).server; }
  MemberId Other(MemberId id, MemberId offset = 1) const {
    return (id - 1 + offset) % kMachines + 1;
  }

 private:
  struct Machine {
    std::unique_ptr<sim::SimFileSystem> files;
    std::unique_ptr<storage::LogStorage> log;
    std::unique_ptr<ControlServer> server;
  };

  bool Connected(MemberId from, MemberId to) const {
    return !paused_.contains(from) && !paused_.contains(to) &&
           side_.contains(from) == side_.contains(to);
  }

  Duration replace_silent_after_;
  std::map<MemberId, Machine> machines_;
  std::map<TicketId, std::string> answers_;
  size_t acknowledged_ = 0;
  std::vector<uint64_t> acknowledged_numbers_;
  std::vector<wire::TrialReply> trial_replies_;
  std::vector<wire::SuspectNotice> notices_;
  std::vector<wire::LedgerReply> ledger_replies_;
  std::set<MemberId> paused_;
  std::set<MemberId> side_;
  uint64_t starts_ = 0;
  Timestamp now_{Seconds(100)};
};

}  // namespace pumicedyke::control
