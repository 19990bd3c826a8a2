// Control machines as a group, without a network: what an operator's change waits for when machines
// come and go.
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

/// Machines 1 to 5 and a network that delivers at once, except from and to lost ones.
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
        if (!lost_.contains(id)) {
          machine.server->Tick(now_);
        }
      }
      Deliver();
    }
  }

  void Deliver() {
    for (bool moved = true; moved;) {
      moved = false;
      std::deque<std::pair<MemberId, PeerMessage>> messages;
      for (auto& [id, machine] : machines_) {
        ControlOutput output = machine.server->TakeOutput();
        for (PeerMessage& message : output.peers) {
          messages.emplace_back(id, std::move(message));
        }
        for (const SessionMessage& message : output.sessions) {
          const auto* taken = std::get_if<wire::RunReportTaken>(&message.envelope.body);
          taken_ += taken != nullptr ? 1 : 0;
        }
        for (const OperatorReply& reply : output.operators) {
          answers_[reply.ticket] = reply.body;
        }
      }
      for (const auto& [from, message] : messages) {
        moved = true;
        for (auto& [id, machine] : machines_) {
          const bool meant = AddressOf(id) == message.address && Connected(from, id);
          if (meant) {
            machine.server->OnPeerMessage(now_, message.envelope);
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
      const bool leads = !lost_.contains(id) && raft.role() == consensus::Role::kLeader;
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

  void Put(MemberId at, TicketId ticket, uint64_t version) {
    config::Change change;
    change.kind = config::ChangeKind::kPutDocument;
    change.document = {version, "{}"};
    machines_.at(at).server->Submit(now_, ticket, change);
    Deliver();
  }
  /// @return how long the answer took; unset if none came in ten seconds.
  std::optional<Duration> WaitFor(TicketId ticket) {
    const Timestamp start = now_;
    while (!answers_.contains(ticket) && now_ - start < Seconds(10)) {
      RunFor(kStep);
    }
    return answers_.contains(ticket) ? std::optional(now_ - start) : std::nullopt;
  }
  int CodeOf(TicketId ticket) const { return Json::parse(answers_.at(ticket)).value("code", -1); }

  /// A node tells one machine of lost runs. @return whether that takes the report.
  bool Report(MemberId to, const wire::RunReport& report) {
    const size_t before = taken_;
    machines_.at(to).server->OnNodeMessage(now_, /*session=*/1, {"test", 0, report});
    Deliver();
    return taken_ > before;
  }
  /// Neither sends nor gets anything, and stands still.
  void Lose(MemberId id) { lost_.insert(id); }
  void Regain(MemberId id) { lost_.erase(id); }
  /// Two sides that do not reach each other.
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
    return !lost_.contains(from) && !lost_.contains(to) &&
           side_.contains(from) == side_.contains(to);
  }

  std::map<MemberId, Machine> machines_;
  std::map<TicketId, std::string> answers_;
  size_t taken_ = 0;
  std::set<MemberId> lost_;
  std::set<MemberId> side_;
  uint64_t starts_ = 0;
  Timestamp now_{Seconds(100)};
};

/// An election, the leader's first entry, and one more round.
constexpr Duration kAcknowledged = Milliseconds(1200);

}  // namespace

class ControlGroupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlGroupTest);
  CPPUNIT_TEST(ChangeAtAFollowerOutlivesItsLeader);
  CPPUNIT_TEST(ChangeAfterAFollowerIsLostWaitsForNothing);
  CPPUNIT_TEST(ChangeThatADeposedLeaderTookIsPassedOn);
  CPPUNIT_TEST(ReportIsTakenByWhoeverIsInTouchAndReachesAll);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangeAtAFollowerOutlivesItsLeader() {
    for (MemberId offset = 1; offset < kMachines; ++offset) {
      Group group;
      const MemberId leader = group.WaitForLeader();
      group.Lose(leader);
      group.Put(group.Other(leader, offset), 1, 1);
      const std::optional<Duration> took = group.WaitFor(1);
      CPPUNIT_ASSERT(took.has_value());
      CPPUNIT_ASSERT_EQUAL(0, group.CodeOf(1));
      CPPUNIT_ASSERT(*took <= kAcknowledged);
    }
  }

  void ChangeAfterAFollowerIsLostWaitsForNothing() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    group.Lose(group.Other(leader));
    group.Put(group.Other(leader, 2), 1, 1);
    CPPUNIT_ASSERT(*group.WaitFor(1) <= kStep);
    CPPUNIT_ASSERT_EQUAL(0, group.CodeOf(1));
  }

  /// Its entry was cut off: another leader's first entry stands in its place.
  void ChangeThatADeposedLeaderTookIsPassedOn() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    group.Split({leader, group.Other(leader)});
    group.Put(leader, 1, 1);
    group.RunFor(Milliseconds(1000));
    CPPUNIT_ASSERT(group.Leader() != leader);
    group.Split({});
    const std::optional<Duration> took = group.WaitFor(1);
    CPPUNIT_ASSERT(took.has_value());
    CPPUNIT_ASSERT_EQUAL(0, group.CodeOf(1));
    CPPUNIT_ASSERT(*took <= kAcknowledged);
  }

  /// A machine that is cut off knows of it alone: it leaves the node to tell another one.
  void ReportIsTakenByWhoeverIsInTouchAndReachesAll() {
    Group group;
    const MemberId leader = group.WaitForLeader();
    wire::RunReport report;
    report.lost = {{IdentityOf({"fatal"}), 1, "leaf", "s"}};
    report.reporter = 7;
    report.number = 1;
    const MemberId alone = group.Other(leader);
    group.Split({alone});
    group.RunFor(Seconds(3));
    CPPUNIT_ASSERT(!group.Report(alone, report));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, group.at(leader).evidence().leafs());
    const MemberId next = group.Other(leader, 2);
    CPPUNIT_ASSERT(group.Report(next, report));
    for (MemberId id = 1; id <= kMachines; ++id) {
      CPPUNIT_ASSERT_EQUAL(size_t{1}, group.at(id).evidence().leafs());
    }
    // Told again since the word of it was lost: taken again, counted once.
    CPPUNIT_ASSERT(group.Report(next, report));
    group.Split({});
    group.RunFor(Seconds(3));
    CPPUNIT_ASSERT(group.Report(alone, report));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, group.at(alone).evidence().leafs());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ControlGroupTest);

}  // namespace pumicedyke::control
