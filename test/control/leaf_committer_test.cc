// Tests of which leafs a control machine proposes to commit and to forget.
#include "control/leaf_committer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::control {
namespace {

constexpr Timestamp kStart{Seconds(100)};
constexpr MemberId kSelf = 7;
constexpr MemberId kOther = 8;

registry::LeafReport Report(const std::string& leaf, uint64_t sequence) {
  registry::LeafReport report;
  report.record = {leaf, "desk", leaf + ":80", "north", 2, false, 0};
  report.sequence = sequence;
  return report;
}

/// The committer of one control machine with a state that applies its proposals immediately.
struct Harness {
  explicit Harness(MemberId self = kSelf)
      : registry({.silence_limit = Seconds(6)}), committer({}, self, kStart) {}

  std::optional<config::Change> Propose(Timestamp now, bool leads = false,
                                        const std::set<MemberId>& members = {kSelf, kOther}) {
    auto change = committer.Propose(now, &registry, state, members, leads);
    if (change.has_value()) {
      state.Apply(*change);
      committer.OnAnswer();
    }
    return change;
  }
  void Commit(const std::string& leaf, MemberId reporter) {
    config::Change change;
    change.kind = config::ChangeKind::kReportLeafs;
    change.reported = {{leaf, "desk", leaf + ":80", "north", 2, reporter}};
    state.Apply(change);
  }

  registry::LeafRegistry registry;
  config::ConfigState state;
  LeafCommitter committer;
};

}  // namespace

class LeafCommitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeafCommitterTest);
  CPPUNIT_TEST(SimultaneousReportsShareOneProposal);
  CPPUNIT_TEST(SilentLeafIsForgotten);
  CPPUNIT_TEST(LeafsMayReportAgainAfterRestart);
  CPPUNIT_TEST(MovedLeafIsNotForgottenByOldMachine);
  CPPUNIT_TEST(MovedLeafIsCommittedOnce);
  CPPUNIT_TEST(LeaderForgetsLeafsOfRemovedMachines);
  CPPUNIT_TEST(RetiredLeafIsNotCommittedAgain);
  CPPUNIT_TEST(SilentLeafsAreForgottenBeforeNextCheck);
  CPPUNIT_TEST(ProposesLeafsReportedBeforeReopening);
  CPPUNIT_TEST(StateSurvivesSerialization);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SimultaneousReportsShareOneProposal() {
    Harness h;
    for (int i = 0; i < 100; ++i) {
      h.registry.OnReport(kStart, Report("leaf" + std::to_string(i), 1));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{100}, h.Propose(kStart + Seconds(1))->reported.size());
    CPPUNIT_ASSERT(!h.Propose(kStart + Seconds(2)).has_value());
  }

  void SilentLeafIsForgotten() {
    Harness h;
    h.registry.OnReport(kStart, Report("a", 1));
    h.Propose(kStart + Seconds(1));
    h.registry.DropSilent(kStart + Seconds(20));
    CPPUNIT_ASSERT(h.Propose(kStart + Seconds(20))->kind == config::ChangeKind::kForgetLeafs);
    CPPUNIT_ASSERT(h.state.reported().empty());
  }

  void LeafsMayReportAgainAfterRestart() {
    Harness h;
    h.Commit("a", kSelf);
    CPPUNIT_ASSERT(!h.Propose(kStart + Seconds(9)).has_value());
    CPPUNIT_ASSERT(h.Propose(kStart + Seconds(10)).has_value());
    CPPUNIT_ASSERT(h.state.reported().empty());
  }

  void MovedLeafIsNotForgottenByOldMachine() {
    Harness h;
    h.Commit("a", kSelf);
    // The old machine proposes to forget the leaf while the new one commits it.
    auto forget = h.committer.Propose(kStart + Seconds(20), &h.registry, h.state, {kSelf}, false);
    h.Commit("a", kOther);
    h.state.Apply(*forget);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.state.reported().size());
    CPPUNIT_ASSERT(h.state.HasNoEffect(*forget));
  }

  /// After a leaf has moved, both machines hold it for some seconds, the old one without new
  /// heartbeats.
  void MovedLeafIsCommittedOnce() {
    Harness old_machine(kSelf);
    Harness new_machine(kOther);
    old_machine.registry.OnReport(kStart, Report("a", 1));
    int proposals = 0;
    for (int i = 0; i < 5; ++i) {
      if (const auto change = old_machine.Propose(kStart + Milliseconds(200) * (i + 1))) {
        ++proposals;
        new_machine.state.Apply(*change);
      }
    }
    new_machine.registry.OnReport(kStart + Seconds(1), Report("a", 2));
    for (int i = 0; i < 50; ++i) {
      const Timestamp now = kStart + Seconds(2) + Milliseconds(100) * i;
      for (Harness* machine : {&old_machine, &new_machine}) {
        if (const auto change = machine->Propose(now)) {
          ++proposals;
          old_machine.state.Apply(*change);
          new_machine.state.Apply(*change);
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(2, proposals);
    CPPUNIT_ASSERT_EQUAL(kOther, old_machine.state.reported().at("a").reporter);
  }

  void LeaderForgetsLeafsOfRemovedMachines() {
    Harness h;
    h.Commit("a", kOther);
    CPPUNIT_ASSERT(!h.Propose(kStart + Seconds(20), /*leads=*/false, {kSelf}).has_value());
    CPPUNIT_ASSERT(!h.Propose(kStart + Seconds(20), /*leads=*/true, {kSelf, kOther}).has_value());
    CPPUNIT_ASSERT(!h.Propose(kStart + Seconds(20), /*leads=*/true, {kSelf}).has_value());
    CPPUNIT_ASSERT(h.Propose(kStart + Seconds(30), /*leads=*/true, {kSelf}).has_value());
  }

  void RetiredLeafIsNotCommittedAgain() {
    Harness h;
    config::Change retire;
    retire.kind = config::ChangeKind::kRetireLeaf;
    retire.leaf = "a";
    h.Commit("a", kSelf);
    h.state.Apply(retire);
    CPPUNIT_ASSERT(h.state.reported().empty());
    h.registry.OnReport(kStart, Report("a", 1));
    CPPUNIT_ASSERT(!h.Propose(kStart + Seconds(1)).has_value());
    h.Commit("a", kOther);
    CPPUNIT_ASSERT(h.state.reported().empty());
  }

  /// The leafs are removed between two checks of all committed leafs.
  void SilentLeafsAreForgottenBeforeNextCheck() {
    Harness h;
    for (int i = 0; i < 5; ++i) {
      h.registry.OnReport(kStart, Report("leaf" + std::to_string(i), 1));
    }
    h.Propose(kStart + Seconds(1));
    CPPUNIT_ASSERT(!h.Propose(kStart + Seconds(12)).has_value());
    h.registry.DropSilent(kStart + Seconds(12));
    CPPUNIT_ASSERT_EQUAL(size_t{5},
                         h.Propose(kStart + Seconds(12) + Milliseconds(200))->reported.size());
    CPPUNIT_ASSERT(h.state.reported().empty());
  }

  /// The replica was reopened after a disk failure, beside a registry whose reports were already
  /// consumed.
  void ProposesLeafsReportedBeforeReopening() {
    Harness h;
    h.registry.OnReport(kStart, Report("a", 1));
    h.registry.TakeReported();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.Propose(kStart + Seconds(1))->reported.size());
  }

  void StateSurvivesSerialization() {
    Harness h;
    h.Commit("a", kOther);
    config::Change change;
    change.kind = config::ChangeKind::kRetireLeaf;
    change.leaf = "b";
    h.state.Apply(change);
    change.kind = config::ChangeKind::kPutDocument;
    change.document = {4, "{\"text\": \"\\u00e9\"}"};
    h.state.Apply(change);
    const auto read = config::ConfigState::Deserialize(h.state.Serialize());
    CPPUNIT_ASSERT(read.ok());
    CPPUNIT_ASSERT(read->reported() == h.state.reported());
    CPPUNIT_ASSERT(read->retired() == h.state.retired());
    CPPUNIT_ASSERT_EQUAL(h.state.document().text, read->document().text);
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, read->document().version);
    // An older document, and the same version with other content, change nothing.
    for (const uint64_t version : {uint64_t{3}, uint64_t{4}}) {
      change.document = {version, "other"};
      CPPUNIT_ASSERT(h.state.HasNoEffect(change));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeafCommitterTest);

}  // namespace pumicedyke::control
