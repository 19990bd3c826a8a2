// The leafs that a gateway may use, as reported by several control machines that connect and
// disconnect.
#include "gateway/leaf_view.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::gateway {
namespace {

constexpr Timestamp kStart{Seconds(100)};

wire::LeafRecord Record(const std::string& leaf, bool draining = false) {
  return {leaf, "desk", leaf + ":80", "north", 2, draining, 0};
}

wire::LeafFeed Full(uint64_t version, std::vector<wire::LeafRecord> records) {
  return {0, version, std::move(records), {}, {}, 1};
}

config::ConfigState Committed(std::vector<config::ReportedLeaf> leafs) {
  config::ConfigState state;
  config::Change change;
  change.kind = config::ChangeKind::kReportLeafs;
  change.reported = std::move(leafs);
  state.Apply(change);
  return state;
}

void Forget(config::ConfigState* state, const config::ReportedLeaf& leaf) {
  config::Change change;
  change.kind = config::ChangeKind::kForgetLeafs;
  change.reported = {leaf};
  state->Apply(change);
}

void Retire(config::ConfigState* state, const std::string& leaf) {
  config::Change change;
  change.kind = config::ChangeKind::kRetireLeaf;
  change.leaf = leaf;
  state->Apply(change);
}

}  // namespace

class LeafViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeafViewTest);
  CPPUNIT_TEST(DrainingReportedByAnySourceCounts);
  CPPUNIT_TEST(RetiredLeafIsNotUsable);
  CPPUNIT_TEST(GapInUpdatesIsDetected);
  CPPUNIT_TEST(LeafsOfARestartedSourceStayUsableAtFirst);
  CPPUNIT_TEST(LostSourceCountsWhileNoOtherSourceReports);
  CPPUNIT_TEST(LeafReportedElsewhereOutlivesItsOldSource);
  CPPUNIT_TEST(CommittedLeafsAreUsableBeforeAnyReport);
  CPPUNIT_TEST(ManyReportsTakeEffectTogether);
  CPPUNIT_TEST(RepeatedReportsOfKnownLeafsChangeNothing);
  CPPUNIT_TEST(LeafsOfAnEvacuatedZoneAreClosedUntilItIsRestored);
  CPPUNIT_TEST(LeafThatIsOnlyCommittedYieldsItsAddress);
  CPPUNIT_TEST(ColdReportOfAnySourceCounts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LeafsOfAnEvacuatedZoneAreClosedUntilItIsRestored() {
    LeafView view({});
    wire::LeafRecord south = Record("s");
    south.zone = "south";
    view.OnFeed(kStart, "c1", Full(1, {Record("n"), south}));
    view.SetEvacuated(kStart, {"south"});
    CPPUNIT_ASSERT(view.UsableLeafs("desk") == std::vector<std::string>{"n"});
    CPPUNIT_ASSERT(view.IsLeaving("s"));
    CPPUNIT_ASSERT(view.TakeNewlyLeaving() == std::vector<std::string>{"s"});
    // A leaf added meanwhile is closed, too.
    wire::LeafRecord other = Record("t");
    other.zone = "south";
    view.OnFeed(kStart + Seconds(1), "c1", Full(2, {Record("n"), south, other}));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, view.UsableLeafs("desk").size());
    view.SetEvacuated(kStart + Seconds(2), {});
    CPPUNIT_ASSERT_EQUAL(size_t{3}, view.UsableLeafs("desk").size());
    CPPUNIT_ASSERT(view.RestoredAt("south") == kStart + Seconds(2));
  }

  void LeafThatIsOnlyCommittedYieldsItsAddress() {
    config::ConfigState committed = Committed({{"ended", "desk", "x:80", "north", 2, 1}});
    LeafView view({}, &committed);
    view.OnCommittedReset(kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, view.UsableLeafs("desk").size());
    wire::LeafRecord running = Record("living");
    running.address = "x:80";
    view.OnFeed(kStart, "c1", Full(1, {running}));
    CPPUNIT_ASSERT(view.UsableLeafs("desk") == std::vector<std::string>{"living"});
    // It is used again once no leaf reports from its address.
    view.OnFeed(kStart + Seconds(1), "c1", {1, 2, {}, {"living"}, {}, 1});
    CPPUNIT_ASSERT(view.UsableLeafs("desk") == std::vector<std::string>{"ended"});
    Forget(&committed, {"ended", "desk", "x:80", "north", 2, 1});
    view.OnCommitted(kStart + Seconds(2), {"ended"});
    CPPUNIT_ASSERT(view.UsableLeafs("desk").empty());
    CPPUNIT_ASSERT(view.leafs().empty());
  }

  void ColdReportOfAnySourceCounts() {
    LeafView view({});
    wire::LeafRecord cold = Record("a");
    cold.cold_milliseconds = 2000;
    view.OnFeed(kStart, "c1", Full(1, {cold}));
    view.OnFeed(kStart, "c2", Full(1, {Record("a")}));
    CPPUNIT_ASSERT(view.cold_until().at("a") == kStart + Seconds(2));
    view.Tick(kStart + Seconds(2));
    CPPUNIT_ASSERT(view.cold_until().empty());
  }

  /// Each leaf reports again after a restart of all control machines; the state derived from the
  /// view must not be recomputed.
  void RepeatedReportsOfKnownLeafsChangeNothing() {
    LeafView view({});
    view.OnFeed(kStart, "c1", Full(1, {Record("a"), Record("b", /*draining=*/true)}));
    const uint64_t version = view.version();
    const uint64_t merges = view.merges();
    view.OnSourceLost(kStart, "c1");
    view.OnFeed(kStart, "c1", Full(1, {Record("a"), Record("b", /*draining=*/true)}));
    view.OnFeed(kStart, "c2", Full(1, {Record("a")}));
    CPPUNIT_ASSERT_EQUAL(version, view.version());
    CPPUNIT_ASSERT_EQUAL(merges, view.merges());
    CPPUNIT_ASSERT(view.IsLeaving("b"));
    view.OnFeed(kStart, "c2", Full(2, {Record("a", /*draining=*/true)}));
    CPPUNIT_ASSERT(view.version() > version);
  }

  /// A rebuild takes time for every known leaf. Hundreds of leafs that start within a second must
  /// not cause hundreds of rebuilds; pending reports take effect within the interval.
  void ManyReportsTakeEffectTogether() {
    constexpr int kLeafs = 400;
    LeafView view({.merge_interval = Milliseconds(100)});
    view.OnFeed(kStart, "c1", Full(1, {}));
    const uint64_t before = view.version();
    Timestamp now = kStart;
    for (int i = 1; i <= kLeafs; ++i) {
      now += Milliseconds(1);
      const auto version = static_cast<uint64_t>(i);
      view.OnFeed(now, "c1", {version, version + 1, {Record("a" + std::to_string(i))}, {}, {}, 1});
    }
    CPPUNIT_ASSERT(view.version() - before <= 5);
    CPPUNIT_ASSERT(view.next_merge().value_or(now) <= now + Milliseconds(100));
    view.Tick(now + Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{kLeafs}, view.UsableLeafs("desk").size());
    CPPUNIT_ASSERT(!view.next_merge().has_value());
  }

  void DrainingReportedByAnySourceCounts() {
    LeafView view({});
    view.OnFeed(kStart, "c1", Full(1, {Record("a", true)}));
    view.OnFeed(kStart, "c2", Full(1, {Record("a", false)}));
    CPPUNIT_ASSERT(view.UsableLeafs("desk").empty());
    CPPUNIT_ASSERT(view.IsLeaving("a"));
  }

  void RetiredLeafIsNotUsable() {
    config::ConfigState committed;
    LeafView view({.merge_interval = Seconds(1)}, &committed);
    view.OnFeed(kStart, "c1", Full(1, {Record("a"), Record("b")}));
    Retire(&committed, "a");
    view.OnCommitted(kStart, {"a"});
    CPPUNIT_ASSERT(std::vector<std::string>{"b"} == view.UsableLeafs("desk"));
  }

  void GapInUpdatesIsDetected() {
    LeafView view({});
    view.OnFeed(kStart, "c1", Full(3, {Record("a")}));
    CPPUNIT_ASSERT(!view.OnFeed(kStart, "c1", {5, 6, {Record("b")}, {}, {}, 1}));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, view.VersionOf("c1"));
    CPPUNIT_ASSERT(view.OnFeed(kStart, "c1", Full(6, {Record("a"), Record("b")})));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, view.UsableLeafs("desk").size());
  }

  /// After a restart of all control machines the leafs stay usable until they report again.
  void LeafsOfARestartedSourceStayUsableAtFirst() {
    LeafView view({.unconfirmed_timeout = Seconds(8)});
    view.OnFeed(kStart, "c1", Full(9, {Record("a"), Record("b")}));
    view.OnSourceLost(kStart, "c1");
    view.OnFeed(kStart + Seconds(1), "c1", Full(1, {}));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, view.UsableLeafs("desk").size());
    view.OnFeed(kStart + Seconds(2), "c1", {1, 2, {Record("b")}, {}, {}, 1});
    view.Tick(kStart + Seconds(9));
    CPPUNIT_ASSERT(std::vector<std::string>{"b"} == view.UsableLeafs("desk"));
  }

  void LostSourceCountsWhileNoOtherSourceReports() {
    LeafView view({.lost_source_timeout = Seconds(15)});
    view.OnFeed(kStart, "c1", Full(1, {Record("a")}));
    view.OnSourceLost(kStart, "c1");
    view.Tick(kStart + Seconds(1000));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, view.UsableLeafs("desk").size());
    view.OnFeed(kStart + Seconds(1000), "c2", Full(1, {Record("b")}));
    view.Tick(kStart + Seconds(1001));
    CPPUNIT_ASSERT(std::vector<std::string>{"b"} == view.UsableLeafs("desk"));
  }

  void LeafReportedElsewhereOutlivesItsOldSource() {
    LeafView view({});
    view.OnFeed(kStart, "c1", Full(1, {Record("a")}));
    view.OnFeed(kStart, "c2", Full(1, {Record("a")}));
    view.OnFeed(kStart, "c1", {1, 2, {}, {"a"}, {}, 1});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, view.UsableLeafs("desk").size());
  }

  /// After a power failure of all machines the first configuration contains the leafs.
  void CommittedLeafsAreUsableBeforeAnyReport() {
    config::ConfigState committed = Committed(
        {{"a", "desk", "10.0.0.1:80", "north", 2, 7}, {"b", "desk", "10.0.0.2:80", "north", 2, 7}});
    Retire(&committed, "b");
    LeafView view({}, &committed);
    view.OnCommittedReset(kStart);
    CPPUNIT_ASSERT(std::vector<std::string>{"a"} == view.UsableLeafs("desk"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeafViewTest);

}  // namespace pumicedyke::gateway
