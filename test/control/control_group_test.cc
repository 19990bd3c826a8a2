// Tests of a group of control machines without a network: what an operator's change waits for when
// machines are lost and return.
#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/json.h"
#include "common/result_code.h"
#include "control/control_server.h"
#include "sim/sim_file_system.h"

namespace pumicedyke::control {
namespace {

constexpr Duration kStep = Milliseconds(10);
constexpr MemberId kMachines = 5;

std::string AddressOf(MemberId id) { return "m" + std::to_string(id); }

/// Machines 1 to 5 and a network that delivers immediately, except from and to lost machines.
class Group {
 public:
  Group() {
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

  void Start(MemberId id) {
    Machine& machine = machines_[id];
    machine.log =
        std::make_unique<storage::LogStorage>(machine.files.get(), storage::LogStorageOptions{});
    ControlOptions options;
    options.cluster = "test";
    options.address = AddressOf(id);
    for (MemberId other = 1; other <= kMachines; ++other) {
      options.seeds.push_back(AddressOf(other));
    }
    machine.server = std::make_unique<ControlServer>(
        options, wire::Identity{id, "test", AddressOf(id)}, machine.log.get(),
        *machine.log->Recover(), id * 7 + ++starts_, now_);
  }

  void RunFor(Duration time) {
    for (const Timestamp end = now_ + time; now_ < end; now_ += kStep) {
      for (auto& [id, machine] : machines_) {
        if (!paused_.contains(id)) {
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
          acknowledged_ += acknowledgement != nullptr ? 1 : 0;
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

  std::map<MemberId, Machine> machines_;
  std::map<TicketId, std::string> answers_;
  size_t acknowledged_ = 0;
  std::set<MemberId> paused_;
  std::set<MemberId> side_;
  uint64_t starts_ = 0;
  Timestamp now_{Seconds(100)};
};

/// An election, the leader's first entry, and one more round.
constexpr Duration kMaxAnswerTime = Milliseconds(1200);

}  // namespace

class ControlGroupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlGroupTest);
  CPPUNIT_TEST(ChangeAtFollowerSurvivesLossOfLeader);
  CPPUNIT_TEST(ChangeIsNotDelayedByLostFollower);
  CPPUNIT_TEST(ChangeAtDeposedLeaderIsForwarded);
  CPPUNIT_TEST(ReportIsAcknowledgedWithQuorumAndRelayedToAll);
  CPPUNIT_TEST(ReportsAreAcknowledgedToTheirSendersOnly);
  CPPUNIT_TEST(MessagesForOthersAreNotHandled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangeAtFollowerSurvivesLossOfLeader() {
    for (MemberId offset = 1; offset < kMachines; ++offset) {
      Group group;
      const MemberId leader = group.WaitForLeader();
      group.Pause(leader);
      group.SubmitDocument(group.Other(leader, offset), 1, 1);
      const std::optional<Duration> took = group.WaitFor(1);
      CPPUNIT_ASSERT(took.has_value());
      CPPUNIT_ASSERT_EQUAL(0, group.CodeOf(1));
      CPPUNIT_ASSERT(*took <= kMaxAnswerTime);
    }
  }

  void ChangeIsNotDelayedByLostFollower() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    group.Pause(group.Other(leader));
    group.SubmitDocument(group.Other(leader, 2), 1, 1);
    CPPUNIT_ASSERT(*group.WaitFor(1) <= kStep);
    CPPUNIT_ASSERT_EQUAL(0, group.CodeOf(1));
  }

  /// The entry is truncated and replaced by the first entry of another leader.
  void ChangeAtDeposedLeaderIsForwarded() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    group.Split({leader, group.Other(leader)});
    group.SubmitDocument(leader, 1, 1);
    group.RunFor(Milliseconds(1000));
    CPPUNIT_ASSERT(group.Leader() != leader);
    group.Split({});
    const std::optional<Duration> took = group.WaitFor(1);
    CPPUNIT_ASSERT(took.has_value());
    CPPUNIT_ASSERT_EQUAL(0, group.CodeOf(1));
    CPPUNIT_ASSERT(*took <= kMaxAnswerTime);
  }

  /// A machine without a quorum is the only one that knows the report, so it leaves it to the node
  /// to report to another machine.
  void ReportIsAcknowledgedWithQuorumAndRelayedToAll() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    wire::RunReport report;
    report.lost = {{IdentityOf({"fatal"}), 1, "leaf", "s"}};
    report.reporter = 7;
    report.number = 1;
    const MemberId isolated = group.Other(leader);
    group.Split({isolated});
    group.RunFor(Seconds(3));
    CPPUNIT_ASSERT(!group.Report(isolated, report));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, group.at(leader).evidence().leafs());
    const MemberId connected = group.Other(leader, 2);
    CPPUNIT_ASSERT(group.Report(connected, report));
    for (MemberId id = 1; id <= kMachines; ++id) {
      CPPUNIT_ASSERT_EQUAL(size_t{1}, group.at(id).evidence().leafs());
    }
    // Repeated because the acknowledgement was lost: acknowledged again, counted once.
    CPPUNIT_ASSERT(group.Report(connected, report));
    group.Split({});
    group.RunFor(Seconds(3));
    CPPUNIT_ASSERT(group.Report(isolated, report));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, group.at(isolated).evidence().leafs());
  }

  /// Gateways send a report to every machine, marked as one that is not relayed further; control
  /// machines mark those that they relay themselves.
  void ReportsAreAcknowledgedToTheirSendersOnly() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    wire::RunReport report;
    report.lost = {{IdentityOf({"fatal"}), 1, "leaf", "s"}};
    report.reporter = 7;
    report.number = 1;
    report.relayed = true;
    CPPUNIT_ASSERT(group.Report(leader, report));
    report.from_control = true;
    CPPUNIT_ASSERT(!group.Report(leader, report));
    // One that a machine relays reaches each of the others once and is acknowledged by none.
    report = {};
    report.reporter = 8;
    report.number = 1;
    const size_t before = group.acknowledged();
    CPPUNIT_ASSERT(group.Report(leader, report));
    CPPUNIT_ASSERT_EQUAL(before + 1, group.acknowledged());
  }

  void MessagesForOthersAreNotHandled() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    CPPUNIT_ASSERT(!group.Deliver(leader, wire::RunReportAck{1}));
    CPPUNIT_ASSERT(!group.Deliver(leader, wire::PartialCancel{1, true}));
    CPPUNIT_ASSERT(!group.Deliver(leader, wire::GatewayPresence{}));
    CPPUNIT_ASSERT(group.Deliver(leader, wire::RunReport{}));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ControlGroupTest);

}  // namespace pumicedyke::control
