// A gateway keeps the incarnations of a leaf apart, whichever control machine reports them.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway/leaf_pool_updater.h"
#include "gateway/leaf_view.h"

namespace pumicedyke::gateway {
namespace {

constexpr Timestamp kStart{Seconds(100)};

wire::LeafRecord Record(uint64_t born_ms, bool draining = false) {
  return {"a", "desk", "10.0.0.1:80", "north", 2, draining, 0, born_ms};
}

wire::LeafFeed Full(uint64_t version, std::vector<wire::LeafRecord> records) {
  return {0, version, std::move(records), {}, {}, 1};
}

bool Usable(const LeafView& view) { return !view.UsableLeafs("desk").empty(); }

}  // namespace

class LeafViewIncarnationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeafViewIncarnationsTest);
  CPPUNIT_TEST(DrainingOfAPreviousIncarnationDoesNotApply);
  CPPUNIT_TEST(LateReportOfAPreviousIncarnationClosesNothing);
  CPPUNIT_TEST(RetirementAppliesToOneIncarnation);
  CPPUNIT_TEST(CommittedPreviousIncarnationYieldsToTheReportedOne);
  CPPUNIT_TEST(ColdnessAppliesToOneIncarnation);
  CPPUNIT_TEST(PoolDropsStateOfThePreviousIncarnation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DrainingOfAPreviousIncarnationDoesNotApply() {
    LeafView view({});
    view.OnFeed(kStart, "c1", Full(1, {Record(1000, true)}));
    CPPUNIT_ASSERT(!Usable(view));
    view.OnFeed(kStart, "c2", Full(1, {Record(2000)}));
    CPPUNIT_ASSERT(Usable(view));
  }

  void LateReportOfAPreviousIncarnationClosesNothing() {
    LeafView view({});
    view.OnFeed(kStart, "c2", Full(1, {Record(2000)}));
    view.OnFeed(kStart, "c1", Full(1, {Record(1000, true)}));
    CPPUNIT_ASSERT(Usable(view));
    CPPUNIT_ASSERT(view.TakeNewlyLeaving().empty());
    view.OnFeed(kStart, "c1", Full(2, {Record(2000, true)}));
    CPPUNIT_ASSERT(!Usable(view));
  }

  void RetirementAppliesToOneIncarnation() {
    config::ConfigState committed;
    LeafView view({}, &committed);
    config::Change change;
    change.kind = config::ChangeKind::kRetireLeaf;
    change.leaf = "a";
    change.born_ms = 1000;
    committed.Apply(change);
    view.OnFeed(kStart, "c1", Full(1, {Record(2000)}));
    view.OnCommitted(kStart, {"a"});
    CPPUNIT_ASSERT(Usable(view));
    view.OnCommittedReset(kStart);
    CPPUNIT_ASSERT(Usable(view));
    change.born_ms = 2000;
    committed.Apply(change);
    view.OnCommitted(kStart, {"a"});
    CPPUNIT_ASSERT(!Usable(view));
  }

  void CommittedPreviousIncarnationYieldsToTheReportedOne() {
    config::ConfigState committed;
    config::Change change;
    change.kind = config::ChangeKind::kReportLeafs;
    change.reported = {{"a", "desk", "10.0.0.1:80", "north", 2, 7, 1000}};
    committed.Apply(change);
    LeafView view({}, &committed);
    view.OnCommittedReset(kStart);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1000}, view.leafs().at("a").born_ms);
    wire::LeafRecord moved = Record(2000);
    moved.address = "10.0.0.2:80";
    view.OnFeed(kStart, "c1", Full(1, {moved}));
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:80"), view.leafs().at("a").address);
  }

  void ColdnessAppliesToOneIncarnation() {
    LeafView view({});
    wire::LeafRecord cold = Record(1000);
    cold.cold_milliseconds = 60000;
    view.OnFeed(kStart, "c1", Full(1, {cold}));
    CPPUNIT_ASSERT(view.cold_until().contains("a"));
    view.OnFeed(kStart, "c1", Full(2, {Record(2000)}));
    CPPUNIT_ASSERT(!view.cold_until().contains("a"));
  }

  void PoolDropsStateOfThePreviousIncarnation() {
    LeafView view({});
    balance::LeafPool pool({}, 1);
    LeafPoolUpdater pool_updater("g1", "north", &pool);
    view.OnFeed(kStart, "c1", Full(1, {Record(1000)}));
    pool_updater.Sync(kStart, view, view.TakeChanges(), {nullptr, 1});
    pool.OnHealth(kStart, "a", /*draining=*/true);
    CPPUNIT_ASSERT(pool.AvailabilityOf("a", kStart) == balance::Availability::kLeaving);
    view.OnFeed(kStart, "c1", Full(2, {Record(2000)}));
    pool_updater.Sync(kStart, view, view.TakeChanges(), {nullptr, 1});
    CPPUNIT_ASSERT(pool.AvailabilityOf("a", kStart) == balance::Availability::kReady);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeafViewIncarnationsTest);

}  // namespace pumicedyke::gateway
