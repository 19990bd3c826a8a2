// When the control machines stop a request for the whole fleet, and when they release it.
#include "control/quarantine_manager.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::control {
namespace {

constexpr Timestamp kStart{Seconds(100)};
const RequestIdentity kFatal = IdentityOf({"fatal"});

struct Harness {
  QuarantineManager manager{QuarantineOptions{}};
  config::ConfigState committed;
  Timestamp now = kStart;
  uint64_t crashes = 0;

  void CrashLeafs(int count) {
    for (int i = 0; i < count; ++i) {
      ++crashes;
      now += Milliseconds(600);
      wire::RunReport report;
      report.lost = {{kFatal, crashes, "leaf" + std::to_string(crashes), "s"}};
      manager.OnReport(now, report);
    }
  }
  /// Returns the proposals made during this time, all of which are applied.
  std::vector<QuarantineProposal> RunFor(Duration time, bool leads = true) {
    std::vector<QuarantineProposal> proposals;
    for (const Timestamp end = now + time; now < end; now += Milliseconds(50)) {
      if (auto proposal = manager.Propose(now, committed, leads)) {
        committed.Apply(proposal->change);
        manager.OnAnswer();
        proposals.push_back(*std::move(proposal));
      }
    }
    return proposals;
  }
};

}  // namespace

class QuarantineManagerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineManagerTest);
  CPPUNIT_TEST(FatalRequestIsStoppedOnce);
  CPPUNIT_TEST(FollowerProposesIfLeaderDoesNot);
  CPPUNIT_TEST(WaitsForSuccessInTransit);
  CPPUNIT_TEST(SuccessReleasesTheRequest);
  CPPUNIT_TEST(ReleasedConditionallyAfterHoldTime);
  CPPUNIT_TEST(UnansweredProposalIsRepeated);
  CPPUNIT_TEST(MachineWithoutReportsDoesNotReleaseEarly);
  CPPUNIT_TEST(ManySuspectsAreAllAnnounced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FatalRequestIsStoppedOnce() {
    Harness harness;
    harness.CrashLeafs(3);
    const auto proposals = harness.RunFor(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, proposals.size());
    CPPUNIT_ASSERT(proposals.front().change.kind == config::ChangeKind::kQuarantineRequest);
    CPPUNIT_ASSERT(harness.committed.IsQuarantined(kFatal));
  }

  /// The leader was restarted and has seen fewer reports.
  void FollowerProposesIfLeaderDoesNot() {
    Harness harness;
    harness.CrashLeafs(3);
    CPPUNIT_ASSERT(harness.RunFor(QuarantineOptions{}.settle * 2, /*leads=*/false).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, harness.RunFor(Seconds(1), /*leads=*/false).size());
    // Only the leader releases a request after the hold time.
    CPPUNIT_ASSERT(harness.RunFor(QuarantineOptions{}.hold, /*leads=*/false).empty());
    CPPUNIT_ASSERT(harness.committed.IsQuarantined(kFatal));
  }

  void WaitsForSuccessInTransit() {
    Harness harness;
    harness.CrashLeafs(3);
    CPPUNIT_ASSERT(harness.RunFor(QuarantineOptions{}.settle / 2).empty());
    wire::RunReport report;
    report.succeeded = {kFatal};
    harness.manager.OnReport(harness.now, report);
    CPPUNIT_ASSERT(harness.RunFor(Seconds(1)).empty());
  }

  void SuccessReleasesTheRequest() {
    Harness harness;
    harness.CrashLeafs(3);
    harness.RunFor(Seconds(1));
    wire::RunReport report;
    report.succeeded = {kFatal};
    harness.manager.OnReport(harness.now, report);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, harness.RunFor(Seconds(1)).size());
    CPPUNIT_ASSERT(harness.committed.quarantine().empty());
  }

  void ReleasedConditionallyAfterHoldTime() {
    Harness harness;
    harness.CrashLeafs(3);
    harness.RunFor(Seconds(1));
    harness.RunFor(QuarantineOptions{}.hold);
    CPPUNIT_ASSERT(!harness.committed.IsQuarantined(kFatal));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, harness.committed.quarantine().size());
    CPPUNIT_ASSERT(harness.RunFor(Seconds(5)).empty());
    // One more crash is enough, and the request is held for twice as long.
    harness.CrashLeafs(1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, harness.RunFor(Seconds(1)).size());
    harness.RunFor(QuarantineOptions{}.hold);
    CPPUNIT_ASSERT(harness.committed.IsQuarantined(kFatal));
    harness.RunFor(QuarantineOptions{}.hold);
    CPPUNIT_ASSERT(!harness.committed.IsQuarantined(kFatal));
  }

  void UnansweredProposalIsRepeated() {
    Harness harness;
    harness.CrashLeafs(3);
    size_t proposals = 0;
    for (int i = 0; i < 100; ++i) {
      harness.now += Milliseconds(50);
      proposals +=
          harness.manager.Propose(harness.now, harness.committed, true).has_value() ? 1 : 0;
    }
    CPPUNIT_ASSERT(proposals >= 2 && proposals <= 3);
  }

  /// Guards against suspects beyond the limit of one announcement that were never announced.
  void ManySuspectsAreAllAnnounced() {
    Harness harness;
    const size_t count = 3 * QuarantineOptions{}.max_new_suspects;
    wire::RunReport report;
    for (size_t i = 0; i < count; ++i) {
      for (const char* leaf : {"a", "b", "c"}) {
        report.lost.push_back({IdentityOf({std::to_string(i)}), 1, leaf + std::to_string(i), "s"});
      }
    }
    harness.manager.OnReport(harness.now, report);
    std::set<RequestIdentity> announced;
    for (int round = 0; round < 4; ++round) {
      harness.RunFor(Milliseconds(300));
      for (const RequestIdentity& identity : harness.manager.TakeNewSuspects()) {
        CPPUNIT_ASSERT(announced.insert(identity).second);
      }
      CPPUNIT_ASSERT(harness.manager.TakeInsufficient().size() <= 4);
    }
    CPPUNIT_ASSERT_EQUAL(count, announced.size());
  }

  /// The leader changed or was restarted.
  void MachineWithoutReportsDoesNotReleaseEarly() {
    Harness harness;
    config::Change change;
    change.kind = config::ChangeKind::kQuarantineRequest;
    change.request = kFatal;
    harness.committed.Apply(change);
    CPPUNIT_ASSERT(harness.RunFor(QuarantineOptions{}.hold - Seconds(1)).empty());
    CPPUNIT_ASSERT(harness.committed.IsQuarantined(kFatal));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineManagerTest);

}  // namespace pumicedyke::control
