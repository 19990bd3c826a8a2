// A leaf that starts again under its id: nothing of its former life holds.
#include <cppunit/extensions/HelperMacros.h>

#include "registry/leaf_registry.h"

namespace pumicedyke::registry {
namespace {

constexpr Timestamp kStart{Seconds(100)};

LeafReport Report(uint64_t born_ms, uint64_t sequence, bool draining = false) {
  LeafReport report;
  report.record = {"a", "desk", "10.0.0.1:80", "north", 2, draining, 0, born_ms};
  report.sequence = sequence;
  return report;
}

}  // namespace

class LeafLivesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeafLivesTest);
  CPPUNIT_TEST(SequenceBeginsAnew);
  CPPUNIT_TEST(OldWordsAreStale);
  CPPUNIT_TEST(DrainingOfTheFormerLifeIsForgotten);
  CPPUNIT_TEST(DepartureIsOfOneLife);
  CPPUNIT_TEST(DepartureThatNamesNoLifeIsOfTheKnownOne);
  CPPUNIT_TEST(NewLifeIsAsColdAsItSays);
  CPPUNIT_TEST(NewLifeMayHaveAnotherAddress);
  CPPUNIT_TEST(LifeThatSaysNothingIsJudgedByItsSequence);
  CPPUNIT_TEST(ReceiversHearOfTheNewLife);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SequenceBeginsAnew() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(1000, 50));
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(2000, 1)) == ReportVerdict::kReborn);
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(2000, 2)) == ReportVerdict::kKnown);
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(2000, 2)) == ReportVerdict::kStale);
  }

  void OldWordsAreStale() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(2000, 1));
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(1000, 51, true)) == ReportVerdict::kStale);
    // One that does not say when it was born is by somebody else.
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(0, 52, true)) == ReportVerdict::kStale);
    CPPUNIT_ASSERT(!registry.Find("a")->draining);
    // Nor do old words keep a leaf from falling silent.
    for (uint64_t i = 1; i <= 6; ++i) {
      registry.OnReport(kStart + i * Seconds(1), Report(1000, 60 + i));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, registry.DropSilent(kStart + Seconds(6)).size());
  }

  void DrainingOfTheFormerLifeIsForgotten() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(1000, 50, true));
    registry.OnReport(kStart, Report(2000, 1));
    CPPUNIT_ASSERT(!registry.Find("a")->draining);
  }

  void DepartureIsOfOneLife() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(2000, 1));
    CPPUNIT_ASSERT(!registry.OnDeparture(kStart, "a", 1000));
    CPPUNIT_ASSERT(!registry.Find("a")->draining);
    CPPUNIT_ASSERT(registry.OnDeparture(kStart, "a", 2000));
    CPPUNIT_ASSERT(registry.Find("a")->draining);
    // A later life says that it leaves before any heartbeat of it came.
    CPPUNIT_ASSERT(registry.OnDeparture(kStart, "a", 3000));
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(2000, 9)) == ReportVerdict::kStale);
    registry.OnReport(kStart, Report(3000, 1));
    CPPUNIT_ASSERT(registry.Find("a")->draining);
  }

  void DepartureThatNamesNoLifeIsOfTheKnownOne() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(2000, 1));
    CPPUNIT_ASSERT(registry.OnDeparture(kStart, "a"));
    CPPUNIT_ASSERT(registry.Find("a")->draining);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2000}, registry.Find("a")->born_ms);
  }

  void NewLifeIsAsColdAsItSays() {
    LeafRegistry registry({});
    LeafReport report = Report(1000, 1);
    report.record.cold_milliseconds = 9000;
    registry.OnReport(kStart, report);
    registry.OnReport(kStart, Report(2000, 1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                         registry.ChangesSince(kStart, 0).records.front().cold_milliseconds);
  }

  void NewLifeMayHaveAnotherAddress() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(1000, 9));
    LeafReport moved = Report(2000, 1);
    moved.record.address = "10.0.0.2:80";
    CPPUNIT_ASSERT(registry.OnReport(kStart, moved) == ReportVerdict::kReborn);
    // Its old one is free for another leaf, however late in its life.
    LeafReport other = Report(1500, 40);
    other.record.leaf = "b";
    CPPUNIT_ASSERT(registry.OnReport(kStart, other) == ReportVerdict::kNew);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, registry.size());
  }

  void LifeThatSaysNothingIsJudgedByItsSequence() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(0, 5));
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(0, 5)) == ReportVerdict::kStale);
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(0, 6)) == ReportVerdict::kKnown);
  }

  void ReceiversHearOfTheNewLife() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(1000, 9));
    const uint64_t seen = registry.version();
    registry.OnReport(kStart, Report(2000, 1));
    const wire::LeafFeed feed = registry.ChangesSince(kStart, seen);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, feed.records.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2000}, feed.records.front().born_ms);
    CPPUNIT_ASSERT(feed.gone.empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeafLivesTest);

}  // namespace pumicedyke::registry
