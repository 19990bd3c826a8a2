// Tests late heartbeats, draining, silence, address conflicts and the feed of changes.
#include "registry/leaf_registry.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

namespace pumicedyke::registry {
namespace {

constexpr Timestamp kStart{Seconds(100)};

LeafReport Report(const std::string& leaf, uint64_t sequence, bool draining = false) {
  LeafReport report;
  report.record.leaf = leaf;
  report.record.service = "desk";
  report.record.address = leaf + ":80";
  report.record.slots = 2;
  report.record.draining = draining;
  report.sequence = sequence;
  return report;
}

/// Applies a feed as a receiver does.
void Apply(const wire::LeafFeed& feed, std::map<std::string, wire::LeafRecord>* view) {
  if (feed.from_version == 0) {
    view->clear();
  }
  for (const wire::LeafRecord& record : feed.records) {
    (*view)[record.leaf] = record;
  }
  for (const std::string& leaf : feed.removed) {
    view->erase(leaf);
  }
}

}  // namespace

class LeafRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeafRegistryTest);
  CPPUNIT_TEST(LateHeartbeatIsIgnored);
  CPPUNIT_TEST(DrainingIsNeverRevoked);
  CPPUNIT_TEST(SilentLeafIsDropped);
  CPPUNIT_TEST(SilenceRestartsAfterReset);
  CPPUNIT_TEST(DepartureOfUnknownLeafIsHarmless);
  CPPUNIT_TEST(ReceiverThatFollowsChangesHasAllRecords);
  CPPUNIT_TEST(LeafBecomesColdAgain);
  CPPUNIT_TEST(LateHeartbeatOfAStoppedLeafTakesNoAddress);
  CPPUNIT_TEST(BurstOfLateHeartbeatsTakesNoAddress);
  CPPUNIT_TEST(StartingLeafTakesTheAddressAtOnce);
  CPPUNIT_TEST(LeafThatKeepsReportingTakesTheAddressOfASilentOne);
  CPPUNIT_TEST(LateHeartbeatIsUnconfirmedIfTheHolderReportsElsewhere);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LeafBecomesColdAgain() {
    LeafRegistry registry({});
    LeafReport report = Report("a", 1);
    registry.OnReport(kStart, report);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                         registry.ChangesSince(kStart, 0).records.front().cold_milliseconds);
    report.sequence = 2;
    report.record.cold_milliseconds = 3000;
    CPPUNIT_ASSERT(registry.OnReport(kStart, report) == ReportResult::kChanged);
    // A later receiver gets the cold time left at that point.
    const Timestamp later = kStart + Seconds(1);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2000},
                         registry.ChangesSince(later, 0).records.front().cold_milliseconds);
    report.sequence = 3;
    report.record.cold_milliseconds = 2000;
    CPPUNIT_ASSERT(registry.OnReport(later, report) == ReportResult::kUnchanged);
  }

  static LeafReport At(const std::string& address, const std::string& leaf, uint64_t sequence) {
    LeafReport report = Report(leaf, sequence);
    report.record.address = address;
    return report;
  }

  void LateHeartbeatOfAStoppedLeafTakesNoAddress() {
    LeafRegistry registry({});
    registry.OnReport(kStart, At("x:80", "living", 1));
    const ReportResult result =
        registry.OnReport(kStart + Milliseconds(500), At("x:80", "ended", 7));
    CPPUNIT_ASSERT(result == ReportResult::kUnconfirmed);
    CPPUNIT_ASSERT(registry.Find("ended") == nullptr);
    CPPUNIT_ASSERT(registry.Find("living") != nullptr);
    registry.OnReport(kStart + Milliseconds(1200), At("x:80", "living", 2));
    CPPUNIT_ASSERT(registry.Find("living") != nullptr);
  }

  void BurstOfLateHeartbeatsTakesNoAddress() {
    LeafRegistry registry({});
    registry.OnReport(kStart, At("x:80", "living", 1));
    for (uint64_t sequence = 7; sequence < 10; ++sequence) {
      registry.OnReport(kStart + Milliseconds(static_cast<int64_t>(sequence)),
                        At("x:80", "ended", sequence));
    }
    CPPUNIT_ASSERT(registry.Find("ended") == nullptr);
  }

  void StartingLeafTakesTheAddressAtOnce() {
    LeafRegistry registry({});
    registry.OnReport(kStart, At("x:80", "ended", 9));
    CPPUNIT_ASSERT(registry.OnReport(kStart + Milliseconds(800), At("x:80", "new", 1)) ==
                   ReportResult::kNew);
    CPPUNIT_ASSERT(registry.Find("ended") == nullptr);
    // A heartbeat of the stopped leaf that was still in transit arrives.
    CPPUNIT_ASSERT(registry.OnReport(kStart + Milliseconds(900), At("x:80", "ended", 10)) ==
                   ReportResult::kUnconfirmed);
  }

  void LeafThatKeepsReportingTakesTheAddressOfASilentOne() {
    LeafRegistry registry({});
    registry.OnReport(kStart, At("x:80", "ended", 9));
    registry.OnReport(kStart + Milliseconds(600), At("x:80", "new", 5));
    CPPUNIT_ASSERT(registry.Find("new") == nullptr);
    CPPUNIT_ASSERT(registry.OnReport(kStart + Milliseconds(1800), At("x:80", "new", 6)) ==
                   ReportResult::kNew);
    CPPUNIT_ASSERT(registry.Find("ended") == nullptr);
  }

  void LateHeartbeatIsUnconfirmedIfTheHolderReportsElsewhere() {
    LeafRegistry registry({});
    const std::string living = "living";
    CPPUNIT_ASSERT(registry.OnReport(kStart, At("x:80", "ended", 7), &living) ==
                   ReportResult::kUnconfirmed);
    // A leaf that is alive keeps reporting.
    CPPUNIT_ASSERT(registry.OnReport(kStart + Milliseconds(1200), At("x:80", "ended", 8),
                                     &living) == ReportResult::kNew);
  }

  void LateHeartbeatIsIgnored() {
    LeafRegistry registry({});
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report("a", 5)) == ReportResult::kNew);
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report("a", 4, true)) == ReportResult::kStale);
    CPPUNIT_ASSERT(!registry.Find("a")->draining);
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report("a", 6)) == ReportResult::kUnchanged);
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report("a", 7, true)) == ReportResult::kChanged);
  }

  void DrainingIsNeverRevoked() {
    LeafRegistry registry({});
    registry.OnReport(kStart, Report("a", 1));
    CPPUNIT_ASSERT(registry.OnDeparture(kStart, "a"));
    registry.OnReport(kStart, Report("a", 2, false));
    CPPUNIT_ASSERT(registry.Find("a")->draining);
  }

  void SilentLeafIsDropped() {
    LeafRegistry registry({.silence_limit = Seconds(6)});
    registry.OnReport(kStart, Report("a", 1));
    registry.OnReport(kStart + Seconds(3), Report("b", 1));
    CPPUNIT_ASSERT(registry.DropSilent(kStart + Milliseconds(5999)).empty());
    const auto dropped = registry.DropSilent(kStart + Seconds(6));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, dropped.size());
    CPPUNIT_ASSERT(registry.Find("a") == nullptr);
    CPPUNIT_ASSERT(registry.Find("b") != nullptr);
  }

  void SilenceRestartsAfterReset() {
    LeafRegistry registry({.silence_limit = Seconds(6)});
    registry.OnReport(kStart, Report("a", 1));
    registry.ResetSilence(kStart + Seconds(20));
    CPPUNIT_ASSERT(registry.DropSilent(kStart + Seconds(25)).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, registry.DropSilent(kStart + Seconds(26)).size());
  }

  void DepartureOfUnknownLeafIsHarmless() {
    LeafRegistry registry({});
    const uint64_t before = registry.version();
    CPPUNIT_ASSERT(!registry.OnDeparture(kStart, "nobody"));
    CPPUNIT_ASSERT_EQUAL(before, registry.version());
  }

  void ReceiverThatFollowsChangesHasAllRecords() {
    const bool property_holds =
        rc::check("a receiver that follows the changes has all records", [] {
          LeafRegistry registry({.silence_limit = Seconds(6), .retained_removals = 3});
          std::map<std::string, wire::LeafRecord> view;
          uint64_t version = 0;
          Timestamp now = kStart;
          const int steps = *rc::gen::inRange(1, 60);
          for (int i = 0; i < steps; ++i) {
            now += Milliseconds(*rc::gen::inRange(0, 1500));
            const std::string leaf = "leaf" + std::to_string(*rc::gen::inRange(0, 6));
            registry.OnReport(
                now, Report(leaf, static_cast<uint64_t>(i) + 1, *rc::gen::arbitrary<bool>()));
            registry.DropSilent(now);
            // The receiver polls only at some of the steps.
            if (*rc::gen::inRange(0, 3) == 0) {
              const wire::LeafFeed feed = registry.ChangesSince(now, version);
              Apply(feed, &view);
              version = feed.version;
            }
          }
          Apply(registry.ChangesSince(now, version), &view);
          std::map<std::string, wire::LeafRecord> full;
          Apply(registry.ChangesSince(now, 0), &full);
          RC_ASSERT(view == full);
        });
    CPPUNIT_ASSERT(property_holds);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeafRegistryTest);

}  // namespace pumicedyke::registry
