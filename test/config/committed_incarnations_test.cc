// Tests how the replicated state distinguishes incarnations of a leaf.
#include <cppunit/extensions/HelperMacros.h>

#include "common/json.h"
#include "config/config_state.h"
#include "control/leaf_committer.h"

namespace pumicedyke::config {
namespace {

constexpr MemberId kReporter = 7;

ReportedLeaf LeafOf(uint64_t born_ms, MemberId reporter = kReporter) {
  return {"a", "desk", "10.0.0.1:80", "north", 2, reporter, born_ms};
}

Change Reported(ChangeKind kind, const ReportedLeaf& leaf) {
  Change change;
  change.kind = kind;
  change.reported = {leaf};
  return change;
}

Change Retired(uint64_t born_ms) {
  Change change;
  change.kind = ChangeKind::kRetireLeaf;
  change.leaf = "a";
  change.born_ms = born_ms;
  return change;
}

/// Applies a change after a round trip through its JSON text, as when it is read from the log.
void Apply(ConfigState* state, const Change& change) {
  state->Apply(*ParseChange(Json::parse(Json(change).dump())));
}

}  // namespace

class CommittedIncarnationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommittedIncarnationsTest);
  CPPUNIT_TEST(RetiredIncarnationDoesNotBindTheNext);
  CPPUNIT_TEST(LateRetirementOfAPreviousIncarnationHasNoEffect);
  CPPUNIT_TEST(RetirementWithoutIncarnationRetiresTheCommittedOne);
  CPPUNIT_TEST(PreviousIncarnationIsNotCommittedAgain);
  CPPUNIT_TEST(ForgettingAPreviousIncarnationKeepsTheNext);
  CPPUNIT_TEST(LeafsWithoutStartTimeStayRetired);
  CPPUNIT_TEST(IncarnationsSurviveSerialization);
  CPPUNIT_TEST(OlderStatesHaveNoIncarnations);
  CPPUNIT_TEST(CommitterCommitsTheNewIncarnation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RetiredIncarnationDoesNotBindTheNext() {
    ConfigState state;
    Apply(&state, Reported(ChangeKind::kReportLeafs, LeafOf(1000)));
    Apply(&state, Retired(1000));
    CPPUNIT_ASSERT(state.reported().empty());
    CPPUNIT_ASSERT(state.IsRetired("a", 1000));
    CPPUNIT_ASSERT(!state.IsRetired("a", 2000));
    const Change next = Reported(ChangeKind::kReportLeafs, LeafOf(2000));
    CPPUNIT_ASSERT(!state.HasNoEffect(next));
    Apply(&state, next);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2000}, state.reported().at("a").born_ms);
  }

  void LateRetirementOfAPreviousIncarnationHasNoEffect() {
    ConfigState state;
    Apply(&state, Reported(ChangeKind::kReportLeafs, LeafOf(2000)));
    Apply(&state, Retired(1000));
    CPPUNIT_ASSERT(state.reported().contains("a"));
    CPPUNIT_ASSERT(!state.IsRetired("a", 2000));
  }

  void RetirementWithoutIncarnationRetiresTheCommittedOne() {
    ConfigState state;
    Apply(&state, Reported(ChangeKind::kReportLeafs, LeafOf(2000)));
    Apply(&state, Retired(0));
    CPPUNIT_ASSERT(state.reported().empty());
    CPPUNIT_ASSERT(state.IsRetired("a", 2000));
    CPPUNIT_ASSERT(!state.IsRetired("a", 3000));
  }

  void PreviousIncarnationIsNotCommittedAgain() {
    ConfigState state;
    Apply(&state, Reported(ChangeKind::kReportLeafs, LeafOf(2000)));
    const Change old = Reported(ChangeKind::kReportLeafs, LeafOf(1000, kReporter + 1));
    CPPUNIT_ASSERT(state.HasNoEffect(old));
    Apply(&state, old);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2000}, state.reported().at("a").born_ms);
    CPPUNIT_ASSERT(state.IsPreviousIncarnation("a", 1000));
    CPPUNIT_ASSERT(!state.IsPreviousIncarnation("a", 2000));
  }

  /// The same control machine proposed to forget both incarnations, and the first proposal was
  /// forwarded twice.
  void ForgettingAPreviousIncarnationKeepsTheNext() {
    ConfigState state;
    Apply(&state, Reported(ChangeKind::kReportLeafs, LeafOf(2000)));
    const Change forget = Reported(ChangeKind::kForgetLeafs, LeafOf(1000));
    CPPUNIT_ASSERT(state.HasNoEffect(forget));
    Apply(&state, forget);
    CPPUNIT_ASSERT(state.reported().contains("a"));
    Apply(&state, Reported(ChangeKind::kForgetLeafs, LeafOf(2000)));
    CPPUNIT_ASSERT(state.reported().empty());
  }

  void LeafsWithoutStartTimeStayRetired() {
    ConfigState state;
    Apply(&state, Reported(ChangeKind::kReportLeafs, LeafOf(0)));
    Apply(&state, Retired(0));
    CPPUNIT_ASSERT(state.IsRetired("a", 0));
    CPPUNIT_ASSERT(state.HasNoEffect(Retired(0)));
    Apply(&state, Reported(ChangeKind::kReportLeafs, LeafOf(0)));
    CPPUNIT_ASSERT(state.reported().empty());
    CPPUNIT_ASSERT(!Json(LeafOf(0)).contains("born"));
    CPPUNIT_ASSERT(!Json(Retired(0)).contains("born"));
  }

  void IncarnationsSurviveSerialization() {
    ConfigState state;
    Apply(&state, Retired(1000));
    Apply(&state, Reported(ChangeKind::kReportLeafs, LeafOf(2000)));
    const auto read = ConfigState::Deserialize(state.Serialize());
    CPPUNIT_ASSERT(read.ok());
    CPPUNIT_ASSERT(read->retired() == state.retired());
    CPPUNIT_ASSERT(read->reported() == state.reported());
    CPPUNIT_ASSERT_EQUAL(state.Serialize(), read->Serialize());
  }

  void OlderStatesHaveNoIncarnations() {
    ConfigState state;
    Apply(&state, Reported(ChangeKind::kReportLeafs, LeafOf(0)));
    Change other = Retired(0);
    other.leaf = "b";
    Apply(&state, other);
    Json text = Json::parse(state.Serialize());
    text.erase("retired_lives");
    const auto read = ConfigState::Deserialize(text.dump());
    CPPUNIT_ASSERT(read.ok());
    CPPUNIT_ASSERT(read->reported() == state.reported());
    CPPUNIT_ASSERT(read->IsRetired("b", 0));
  }

  void CommitterCommitsTheNewIncarnation() {
    constexpr Timestamp kStart{Seconds(100)};
    ConfigState state;
    Apply(&state, Retired(1000));
    registry::LeafRegistry registry({});
    control::LeafCommitter committer({}, kReporter, kStart);
    registry.OnReport(kStart, {{"a", "desk", "10.0.0.1:80", "north", 2, false, 0, 1000}, 9});
    CPPUNIT_ASSERT(!committer.Propose(kStart, &registry, state, {kReporter}, true).has_value());
    registry.OnReport(kStart, {{"a", "desk", "10.0.0.1:80", "north", 2, false, 0, 2000}, 1});
    const auto change = committer.Propose(kStart + Seconds(1), &registry, state, {kReporter}, true);
    CPPUNIT_ASSERT(change.has_value());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2000}, change->reported.front().born_ms);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CommittedIncarnationsTest);

}  // namespace pumicedyke::config
