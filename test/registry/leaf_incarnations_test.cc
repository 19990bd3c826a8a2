// Tests a leaf that restarts under its id: the state of its previous incarnation must not be kept.
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

class LeafIncarnationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeafIncarnationsTest);
  CPPUNIT_TEST(SequenceRestarts);
  CPPUNIT_TEST(HeartbeatsOfThePreviousIncarnationAreStale);
  CPPUNIT_TEST(DrainingOfThePreviousIncarnationIsReset);
  CPPUNIT_TEST(DepartureAppliesToOneIncarnation);
  CPPUNIT_TEST(DepartureWithoutIncarnationAppliesToTheCurrentOne);
  CPPUNIT_TEST(NewIncarnationReportsItsOwnColdTime);
  CPPUNIT_TEST(NewIncarnationMayHaveAnotherAddress);
  CPPUNIT_TEST(UnknownIncarnationIsOrderedBySequence);
  CPPUNIT_TEST(ReceiversGetTheNewIncarnation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SequenceRestarts() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(1000, 50));
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(2000, 1)) == ReportResult::kRestarted);
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(2000, 2)) == ReportResult::kUnchanged);
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(2000, 2)) == ReportResult::kStale);
  }

  void HeartbeatsOfThePreviousIncarnationAreStale() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(2000, 1));
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(1000, 51, true)) == ReportResult::kStale);
    // A heartbeat without an incarnation comes from another process.
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(0, 52, true)) == ReportResult::kStale);
    CPPUNIT_ASSERT(!registry.Find("a")->draining);
    // Heartbeats of the previous incarnation do not keep the leaf from being dropped either.
    for (uint64_t i = 1; i <= 6; ++i) {
      registry.OnReport(kStart + i * Seconds(1), Report(1000, 60 + i));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, registry.DropSilent(kStart + Seconds(6)).size());
  }

  void DrainingOfThePreviousIncarnationIsReset() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(1000, 50, true));
    registry.OnReport(kStart, Report(2000, 1));
    CPPUNIT_ASSERT(!registry.Find("a")->draining);
  }

  void DepartureAppliesToOneIncarnation() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(2000, 1));
    CPPUNIT_ASSERT(!registry.OnDeparture(kStart, "a", 1000));
    CPPUNIT_ASSERT(!registry.Find("a")->draining);
    CPPUNIT_ASSERT(registry.OnDeparture(kStart, "a", 2000));
    CPPUNIT_ASSERT(registry.Find("a")->draining);
    // A later incarnation announces its departure before its first heartbeat.
    CPPUNIT_ASSERT(registry.OnDeparture(kStart, "a", 3000));
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(2000, 9)) == ReportResult::kStale);
    registry.OnReport(kStart, Report(3000, 1));
    CPPUNIT_ASSERT(registry.Find("a")->draining);
  }

  void DepartureWithoutIncarnationAppliesToTheCurrentOne() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(2000, 1));
    CPPUNIT_ASSERT(registry.OnDeparture(kStart, "a"));
    CPPUNIT_ASSERT(registry.Find("a")->draining);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2000}, registry.Find("a")->born_ms);
  }

  void NewIncarnationReportsItsOwnColdTime() {
    LeafRegistry registry({});
    LeafReport report = Report(1000, 1);
    report.record.cold_milliseconds = 9000;
    registry.OnReport(kStart, report);
    registry.OnReport(kStart, Report(2000, 1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                         registry.ChangesSince(kStart, 0).records.front().cold_milliseconds);
  }

  void NewIncarnationMayHaveAnotherAddress() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(1000, 9));
    LeafReport moved = Report(2000, 1);
    moved.record.address = "10.0.0.2:80";
    CPPUNIT_ASSERT(registry.OnReport(kStart, moved) == ReportResult::kRestarted);
    // The previous address is free for another leaf, even with a high sequence number.
    LeafReport other = Report(1500, 40);
    other.record.leaf = "b";
    CPPUNIT_ASSERT(registry.OnReport(kStart, other) == ReportResult::kNew);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, registry.size());
  }

  void UnknownIncarnationIsOrderedBySequence() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(0, 5));
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(0, 5)) == ReportResult::kStale);
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report(0, 6)) == ReportResult::kUnchanged);
  }

  void ReceiversGetTheNewIncarnation() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report(1000, 9));
    const uint64_t seen = registry.version();
    registry.OnReport(kStart, Report(2000, 1));
    const wire::LeafFeed feed = registry.ChangesSince(kStart, seen);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, feed.records.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2000}, feed.records.front().born_ms);
    CPPUNIT_ASSERT(feed.removed.empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeafIncarnationsTest);

}  // namespace pumicedyke::registry
