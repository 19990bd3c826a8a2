// When control stops a request for the whole fleet, and when it lets it go.
#include "control/quarantine_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::control {
namespace {

constexpr Timestamp kStart{Seconds(100)};
const RequestIdentity kFatal = IdentityOf({"fatal"});

struct Keeper {
  QuarantineKeeper keeper{QuarantineOptions{}};
  config::ConfigState committed;
  Timestamp now = kStart;
  uint64_t ends = 0;

  void End(int count) {
    for (int i = 0; i < count; ++i) {
      ++ends;
      now += Milliseconds(600);
      wire::RunReport report;
      report.lost = {{kFatal, ends, "leaf" + std::to_string(ends), "s"}};
      keeper.OnReport(now, report);
    }
  }
  /// Proposals of this much time, all of them taken.
  std::vector<QuarantineProposal> Pass(Duration time, bool leads = true) {
    std::vector<QuarantineProposal> made;
    for (const Timestamp end = now + time; now < end; now += Milliseconds(50)) {
      if (auto proposal = keeper.Propose(now, committed, leads)) {
        committed.Apply(proposal->change);
        keeper.OnAnswer();
        made.push_back(*std::move(proposal));
      }
    }
    return made;
  }
};

}  // namespace

class QuarantineKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineKeeperTest);
  CPPUNIT_TEST(GuiltyRequestIsStoppedOnce);
  CPPUNIT_TEST(FollowerProposesWhatTheLeaderDoesNot);
  CPPUNIT_TEST(SuccessUnderWayIsWaitedFor);
  CPPUNIT_TEST(SuccessReleasesAndForgets);
  CPPUNIT_TEST(HeldLongEnoughItGoesOnParole);
  CPPUNIT_TEST(UnansweredProposalIsMadeAgain);
  CPPUNIT_TEST(MachineThatSawNothingReleasesNothingEarly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GuiltyRequestIsStoppedOnce() {
    Keeper fixture;
    fixture.End(3);
    const auto made = fixture.Pass(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, made.size());
    CPPUNIT_ASSERT(made.front().change.kind == config::ChangeKind::kQuarantineRequest);
    CPPUNIT_ASSERT(fixture.committed.IsQuarantined(kFatal));
  }

  /// The leader was restarted and has seen less.
  void FollowerProposesWhatTheLeaderDoesNot() {
    Keeper fixture;
    fixture.End(3);
    CPPUNIT_ASSERT(fixture.Pass(QuarantineOptions{}.settle * 2, /*leads=*/false).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fixture.Pass(Seconds(1), /*leads=*/false).size());
    // How long it is held is for the leader alone to say.
    CPPUNIT_ASSERT(fixture.Pass(QuarantineOptions{}.hold, /*leads=*/false).empty());
    CPPUNIT_ASSERT(fixture.committed.IsQuarantined(kFatal));
  }

  void SuccessUnderWayIsWaitedFor() {
    Keeper fixture;
    fixture.End(3);
    CPPUNIT_ASSERT(fixture.Pass(QuarantineOptions{}.settle / 2).empty());
    wire::RunReport report;
    report.succeeded = {kFatal};
    fixture.keeper.OnReport(fixture.now, report);
    CPPUNIT_ASSERT(fixture.Pass(Seconds(1)).empty());
  }

  void SuccessReleasesAndForgets() {
    Keeper fixture;
    fixture.End(3);
    fixture.Pass(Seconds(1));
    wire::RunReport report;
    report.succeeded = {kFatal};
    fixture.keeper.OnReport(fixture.now, report);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fixture.Pass(Seconds(1)).size());
    CPPUNIT_ASSERT(fixture.committed.quarantine().empty());
  }

  void HeldLongEnoughItGoesOnParole() {
    Keeper fixture;
    fixture.End(3);
    fixture.Pass(Seconds(1));
    fixture.Pass(QuarantineOptions{}.hold);
    CPPUNIT_ASSERT(!fixture.committed.IsQuarantined(kFatal));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fixture.committed.quarantine().size());
    CPPUNIT_ASSERT(fixture.Pass(Seconds(5)).empty());
    // One more leaf is enough, and it is held for twice as long.
    fixture.End(1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fixture.Pass(Seconds(1)).size());
    fixture.Pass(QuarantineOptions{}.hold);
    CPPUNIT_ASSERT(fixture.committed.IsQuarantined(kFatal));
    fixture.Pass(QuarantineOptions{}.hold);
    CPPUNIT_ASSERT(!fixture.committed.IsQuarantined(kFatal));
  }

  void UnansweredProposalIsMadeAgain() {
    Keeper fixture;
    fixture.End(3);
    size_t made = 0;
    for (int i = 0; i < 100; ++i) {
      fixture.now += Milliseconds(50);
      made += fixture.keeper.Propose(fixture.now, fixture.committed, true).has_value() ? 1 : 0;
    }
    CPPUNIT_ASSERT(made >= 2 && made <= 3);
  }

  /// Another machine leads now, or the leader was restarted.
  void MachineThatSawNothingReleasesNothingEarly() {
    Keeper fixture;
    config::Change change;
    change.kind = config::ChangeKind::kQuarantineRequest;
    change.request = kFatal;
    fixture.committed.Apply(change);
    CPPUNIT_ASSERT(fixture.Pass(QuarantineOptions{}.hold - Seconds(1)).empty());
    CPPUNIT_ASSERT(fixture.committed.IsQuarantined(kFatal));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineKeeperTest);

}  // namespace pumicedyke::control
