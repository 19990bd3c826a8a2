// Leafs by their heartbeats: late ones, draining, silence, and what a receiver is told of changes.
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
  report.record.address = "10.0.0.1:80";
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
  for (const std::string& leaf : feed.gone) {
    view->erase(leaf);
  }
}

}  // namespace

class LeafRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeafRegistryTest);
  CPPUNIT_TEST(LateHeartbeatSaysNothing);
  CPPUNIT_TEST(DrainingIsNeverTakenBack);
  CPPUNIT_TEST(SilentLeafIsDropped);
  CPPUNIT_TEST(ForgivenSilenceStartsAnew);
  CPPUNIT_TEST(DepartureOfUnknownLeafIsHarmless);
  CPPUNIT_TEST(ReceiverThatFollowsChangesHasTheWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LateHeartbeatSaysNothing() {
    LeafRegistry registry({});
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report("a", 5)) == ReportVerdict::kNew);
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report("a", 4, true)) == ReportVerdict::kStale);
    CPPUNIT_ASSERT(!registry.Find("a")->draining);
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report("a", 6)) == ReportVerdict::kKnown);
    CPPUNIT_ASSERT(registry.OnReport(kStart, Report("a", 7, true)) == ReportVerdict::kChanged);
  }

  void DrainingIsNeverTakenBack() {
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

  void ForgivenSilenceStartsAnew() {
    LeafRegistry registry({.silence_limit = Seconds(6)});
    registry.OnReport(kStart, Report("a", 1));
    registry.ForgiveSilence(kStart + Seconds(20));
    CPPUNIT_ASSERT(registry.DropSilent(kStart + Seconds(25)).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, registry.DropSilent(kStart + Seconds(26)).size());
  }

  void DepartureOfUnknownLeafIsHarmless() {
    LeafRegistry registry({});
    const uint64_t before = registry.version();
    CPPUNIT_ASSERT(!registry.OnDeparture(kStart, "nobody"));
    CPPUNIT_ASSERT_EQUAL(before, registry.version());
  }

  void ReceiverThatFollowsChangesHasTheWhole() {
    const bool held = rc::check("a receiver that follows has the whole", [] {
      LeafRegistry registry({.silence_limit = Seconds(6), .kept_removals = 3});
      std::map<std::string, wire::LeafRecord> view;
      uint64_t version = 0;
      Timestamp now = kStart;
      const int steps = *rc::gen::inRange(1, 60);
      for (int i = 0; i < steps; ++i) {
        now += Milliseconds(*rc::gen::inRange(0, 1500));
        const std::string leaf = "leaf" + std::to_string(*rc::gen::inRange(0, 6));
        registry.OnReport(now,
                          Report(leaf, static_cast<uint64_t>(i) + 1, *rc::gen::arbitrary<bool>()));
        registry.DropSilent(now);
        // The receiver hears of some moments only.
        if (*rc::gen::inRange(0, 3) == 0) {
          const wire::LeafFeed feed = registry.ChangesSince(version);
          Apply(feed, &view);
          version = feed.version;
        }
      }
      Apply(registry.ChangesSince(version), &view);
      std::map<std::string, wire::LeafRecord> whole;
      Apply(registry.ChangesSince(0), &whole);
      RC_ASSERT(view == whole);
    });
    CPPUNIT_ASSERT(held);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeafRegistryTest);

}  // namespace pumicedyke::registry
