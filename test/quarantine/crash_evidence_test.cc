// Tests which requests are confirmed as fatal, and that requests which only ran at the same time
// are not.
#include "quarantine/crash_evidence.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace pumicedyke::quarantine {
namespace {

constexpr Timestamp kStart{Seconds(100)};
const RequestIdentity kFatal = IdentityOf({"fatal"});
const RequestIdentity kConcurrent = IdentityOf({"bystander"});

/// Crash evidence with helpers that report one leaf crash at a time.
struct EvidenceFixture {
  CrashEvidence evidence{EvidenceOptions{}};
  Timestamp now = kStart;

  /// Reports that a leaf crashed while it ran this attempt of the requests.
  void Crash(const std::string& leaf, const std::vector<RequestIdentity>& requests,
             uint64_t attempt, const std::string& service = "s") {
    wire::RunReport report;
    for (const RequestIdentity& request : requests) {
      report.lost.push_back({request, attempt, leaf, service});
    }
    evidence.OnReport(now, report);
    now += EvidenceOptions{}.time_point_gap;
  }
  /// Reports that a leaf crashed in a trial of kFatal.
  void LoseTrial(const std::string& leaf, uint32_t number) {
    wire::RunReport report;
    report.lost = {{kFatal, number, leaf, "s", number}};
    evidence.OnReport(now, report);
    now += EvidenceOptions{}.time_point_gap;
  }
  void Succeeded(const RequestIdentity& request) {
    wire::RunReport report;
    report.succeeded = {request};
    evidence.OnReport(now, report);
  }
  void Answers(const std::string& leaf) {
    wire::RunReport report;
    report.alive_leafs = {leaf};
    evidence.OnReport(now, report);
  }
  bool IsConfirmed(const RequestIdentity& request,
                   const std::set<RequestIdentity>& known_fatal = {}) const {
    const std::vector<CrashFinding> confirmed = evidence.FatalRequests(known_fatal);
    return std::any_of(confirmed.begin(), confirmed.end(),
                       [&](const CrashFinding& finding) { return finding.identity == request; });
  }
};

}  // namespace

class CrashEvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashEvidenceTest);
  CPPUNIT_TEST(ThreeLeafsInThreeAttemptsAreEnough);
  CPPUNIT_TEST(OneAttemptAtManyLeafsIsNotEnough);
  CPPUNIT_TEST(OnePointInTimeIsNotEnoughForManyAttempts);
  CPPUNIT_TEST(ConcurrentRequestsAreNotConfirmed);
  CPPUNIT_TEST(MoreFrequentRequestIsConfirmedInsteadOfConcurrentOne);
  CPPUNIT_TEST(SuccessClearsAndLaterLossesCountAgain);
  CPPUNIT_TEST(LeafThatAnswersHasNotEnded);
  CPPUNIT_TEST(LeafThatRestartsUnderItsNameCanCrashAgain);
  CPPUNIT_TEST(CrashLoopWithoutCommonRequestConfirmsNone);
  CPPUNIT_TEST(RepeatedNumberedReportCountsOnce);
  CPPUNIT_TEST(LateReportCountsAtItsTimeOfObservation);
  CPPUNIT_TEST(OvertakenReportsCount);
  CPPUNIT_TEST(OvertakenLossDoesNotRevokeLaterSuccess);
  CPPUNIT_TEST(TwoFatalRequestsAreBothFound);
  CPPUNIT_TEST(ManyFatalRequestsAreAllFound);
  CPPUNIT_TEST(CrashLoopUnderManyRetryingClientsConfirmsNone);
  CPPUNIT_TEST(KnownFatalRequestIsConfirmedAtTheNextCrash);
  CPPUNIT_TEST(OtherCrashesDoNotHideLostTrials);
  CPPUNIT_TEST(LostTrialsAreForgivenIfTheLeafAnswers);
  CPPUNIT_TEST(RepeatedReportsCountOnce);
  CPPUNIT_TEST(EvidenceExpires);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ThreeLeafsInThreeAttemptsAreEnough() {
    EvidenceFixture fixture;
    fixture.Crash("a", {kFatal}, 1);
    fixture.Crash("b", {kFatal}, 2);
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kFatal));
    fixture.Crash("c", {kFatal}, 3);
    CPPUNIT_ASSERT(fixture.IsConfirmed(kFatal));
  }

  /// When all leafs of a service crash at once, every request in flight loses a run at each of
  /// them.
  void OneAttemptAtManyLeafsIsNotEnough() {
    EvidenceFixture fixture;
    for (int leaf = 0; leaf < 40; ++leaf) {
      fixture.Crash("leaf" + std::to_string(leaf), {kConcurrent}, 1 + leaf % 2);
    }
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kConcurrent));
  }

  /// The same, with a client that retries at once and thus has several attempts in flight.
  void OnePointInTimeIsNotEnoughForManyAttempts() {
    EvidenceFixture fixture;
    for (uint64_t leaf = 0; leaf < 40; ++leaf) {
      fixture.Crash("leaf" + std::to_string(leaf), {kConcurrent}, leaf % 5);
      fixture.now = kStart + Milliseconds(10) * static_cast<int64_t>(leaf);
    }
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kConcurrent));
  }

  void ConcurrentRequestsAreNotConfirmed() {
    EvidenceFixture fixture;
    for (uint64_t attempt = 1; attempt <= 6; ++attempt) {
      const bool concurrent_present = attempt % 2 == 0;
      fixture.Crash("leaf" + std::to_string(attempt),
                    concurrent_present ? std::vector{kFatal, kConcurrent} : std::vector{kFatal},
                    attempt);
    }
    CPPUNIT_ASSERT(fixture.IsConfirmed(kFatal));
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kConcurrent));
  }

  /// A client that sends fatal requests cannot get another client's request quarantined with them.
  void MoreFrequentRequestIsConfirmedInsteadOfConcurrentOne() {
    EvidenceFixture fixture;
    for (uint64_t attempt = 1; attempt <= 5; ++attempt) {
      fixture.Crash("leaf" + std::to_string(attempt), {kFatal, kConcurrent}, attempt);
    }
    fixture.Crash("last", {kFatal}, 6);
    CPPUNIT_ASSERT(fixture.IsConfirmed(kFatal));
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kConcurrent));
  }

  void SuccessClearsAndLaterLossesCountAgain() {
    EvidenceFixture fixture;
    fixture.Crash("a", {kConcurrent}, 1);
    fixture.Crash("b", {kConcurrent}, 2);
    fixture.Succeeded(kConcurrent);
    CPPUNIT_ASSERT(fixture.evidence.HasSucceeded(kConcurrent));
    fixture.Crash("c", {kConcurrent}, 3);
    CPPUNIT_ASSERT(!fixture.evidence.HasSucceeded(kConcurrent));
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kConcurrent));
    fixture.Crash("d", {kConcurrent}, 4);
    fixture.Crash("e", {kConcurrent}, 5);
    CPPUNIT_ASSERT(fixture.IsConfirmed(kConcurrent));
    fixture.Succeeded(kConcurrent);
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kConcurrent));
  }

  /// Connections may be reset by the network while the leaf keeps running.
  void LeafThatAnswersHasNotEnded() {
    EvidenceFixture fixture;
    fixture.Crash("a", {kConcurrent}, 1);
    fixture.Crash("b", {kConcurrent}, 2);
    fixture.Crash("c", {kConcurrent}, 3);
    fixture.Answers("b");
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kConcurrent));
  }

  void LeafThatRestartsUnderItsNameCanCrashAgain() {
    EvidenceFixture fixture;
    for (uint64_t attempt = 1; attempt <= 3; ++attempt) {
      fixture.Crash("a", {kFatal}, attempt);
      fixture.now += EvidenceOptions{}.same_crash_window;
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fixture.evidence.leafs());
    CPPUNIT_ASSERT(fixture.IsConfirmed(kFatal));
    fixture.Answers("a");
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fixture.evidence.leafs());
  }

  /// Leafs crash continually for an unrelated reason while one client keeps retrying.
  void CrashLoopWithoutCommonRequestConfirmsNone() {
    EvidenceFixture fixture;
    for (uint64_t turn = 1; turn <= 30; ++turn) {
      const RequestIdentity other = IdentityOf({"other", std::to_string(turn)});
      const bool concurrent_present = turn % 3 == 0;
      fixture.Crash("leaf" + std::to_string(turn),
                    concurrent_present ? std::vector{other, kConcurrent} : std::vector{other},
                    turn);
    }
    CPPUNIT_ASSERT(fixture.evidence.FatalRequests({}).empty());
  }

  void TwoFatalRequestsAreBothFound() {
    EvidenceFixture fixture;
    const RequestIdentity second = IdentityOf({"second"});
    for (uint64_t attempt = 1; attempt <= 8; ++attempt) {
      fixture.Crash("leaf" + std::to_string(attempt),
                    attempt % 4 == 0   ? std::vector{kFatal, second}
                    : attempt % 2 == 0 ? std::vector{second}
                                       : std::vector{kFatal},
                    attempt);
    }
    fixture.Crash("more", {second}, 10);
    CPPUNIT_ASSERT(fixture.IsConfirmed(kFatal));
    CPPUNIT_ASSERT(fixture.IsConfirmed(second));
  }

  /// Each request is present at only a fifth of the crashes.
  void ManyFatalRequestsAreAllFound() {
    EvidenceFixture fixture;
    constexpr uint64_t kRequests = 5;
    const auto nth = [](uint64_t i) { return IdentityOf({"fatal", std::to_string(i)}); };
    for (uint64_t turn = 0; turn < 4 * kRequests; ++turn) {
      fixture.Crash("leaf" + std::to_string(turn), {nth(turn % kRequests)}, turn);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{kRequests}, fixture.evidence.FatalRequests({}).size());
  }

  /// Several clients keep retrying while leafs crash for an unrelated reason, so that each crash
  /// has some of their requests in flight.
  void CrashLoopUnderManyRetryingClientsConfirmsNone() {
    EvidenceFixture fixture;
    constexpr uint64_t kCallers = 7;
    const auto nth = [](uint64_t i) {
      return IdentityOf({"caller", std::to_string(i % kCallers)});
    };
    for (uint64_t turn = 0; turn < 6 * kCallers; ++turn) {
      fixture.Crash("leaf" + std::to_string(turn), {nth(turn), nth(turn + 1), nth(turn + 3)}, turn);
    }
    CPPUNIT_ASSERT(fixture.evidence.FatalRequests({}).empty());
  }

  void KnownFatalRequestIsConfirmedAtTheNextCrash() {
    EvidenceFixture fixture;
    fixture.Crash("a", {kFatal}, 1);
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kFatal));
    CPPUNIT_ASSERT(fixture.IsConfirmed(kFatal, {kFatal}));
    fixture.evidence.Clear(kFatal);
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kFatal, {kFatal}));
  }

  /// Guards against a verdict that requires the request to be present at most crashes of its
  /// services.
  void OtherCrashesDoNotHideLostTrials() {
    EvidenceFixture fixture;
    for (uint64_t turn = 0; turn < 100; ++turn) {
      fixture.Crash("other" + std::to_string(turn), {IdentityOf({std::to_string(turn)})}, turn);
    }
    fixture.LoseTrial("a", 1);
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kFatal));
    fixture.LoseTrial("b", kMaxTrials);
    CPPUNIT_ASSERT(fixture.IsConfirmed(kFatal));
    // Nothing else is blamed for these crashes, or confirmed with them.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fixture.evidence.FatalRequests({}).size());
    fixture.Succeeded(kFatal);
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kFatal));
  }

  void LostTrialsAreForgivenIfTheLeafAnswers() {
    EvidenceFixture fixture;
    fixture.LoseTrial("a", kMaxTrials);
    CPPUNIT_ASSERT(fixture.IsConfirmed(kFatal));
    fixture.Answers("a");
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kFatal));
  }

  void RepeatedReportsCountOnce() {
    EvidenceFixture fixture;
    for (int i = 0; i < 3; ++i) {
      fixture.Crash("a", {kFatal}, 1);
      fixture.Crash("b", {kFatal}, 1);
      fixture.Crash("c", {kFatal}, 2);
      fixture.now = kStart;
    }
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kFatal));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fixture.evidence.leafs());
  }

  void EvidenceExpires() {
    EvidenceFixture fixture;
    ThreeCrashes(&fixture);
    fixture.evidence.Tick(fixture.now + EvidenceOptions{}.retention + Seconds(1));
    CPPUNIT_ASSERT(!fixture.IsConfirmed(kFatal));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fixture.evidence.leafs());
  }

 private:
  static void ThreeCrashes(EvidenceFixture* fixture) {
    fixture->Crash("a", {kFatal}, 1);
    fixture->Crash("b", {kFatal}, 2);
    fixture->Crash("c", {kFatal}, 3);
    CPPUNIT_ASSERT(fixture->IsConfirmed(kFatal));
  }

  /// A report arrives repeatedly when its acknowledgement was lost or when two control machines
  /// forward it.
  void RepeatedNumberedReportCountsOnce() {
    EvidenceFixture fixture;
    wire::RunReport report;
    report.reporter = 7;
    for (report.number = 1; report.number <= 2; ++report.number) {
      report.lost = {{kFatal, report.number, "a", "s"}};
      for (int i = 0; i < 3; ++i) {
        fixture.evidence.OnReport(fixture.now, report);
        fixture.now += Seconds(2);
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fixture.evidence.leafs());
    // Reports of another process are counted separately.
    report.reporter = 8;
    report.number = 1;
    fixture.evidence.OnReport(fixture.now, report);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fixture.evidence.leafs());
  }

  /// A report that was lost with its connection is repeated after later ones have arrived.
  void OvertakenReportsCount() {
    EvidenceFixture fixture;
    wire::RunReport report;
    report.reporter = 7;
    for (const uint64_t number : {300, 2, 299, 301, 2, 299, 300, 45}) {
      report.number = number;
      report.lost = {{kFatal, number, "leaf" + std::to_string(number), "s"}};
      fixture.evidence.OnReport(fixture.now, report);
    }
    // Number 2 was too far behind to tell whether it had arrived before.
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fixture.evidence.leafs());
    report.number = 46;
    report.lost = {{kFatal, 46, "leaf46", "s"}};
    fixture.evidence.OnReport(fixture.now, report);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fixture.evidence.leafs());
  }

  void OvertakenLossDoesNotRevokeLaterSuccess() {
    EvidenceFixture fixture;
    wire::RunReport success;
    success.reporter = 7;
    success.number = 2;
    success.succeeded = {kFatal};
    fixture.evidence.OnReport(fixture.now, success);
    wire::RunReport loss;
    loss.reporter = 7;
    loss.number = 1;
    loss.lost = {{kFatal, 1, "a", "s"}, {kConcurrent, 1, "a", "s"}};
    fixture.evidence.OnReport(fixture.now, loss);
    CPPUNIT_ASSERT(fixture.evidence.HasSucceeded(kFatal));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fixture.evidence.leafs());
    // A loss after the success revokes it, as does one that another process reports.
    loss.number = 3;
    fixture.evidence.OnReport(fixture.now, loss);
    CPPUNIT_ASSERT(!fixture.evidence.HasSucceeded(kFatal));
  }

  void LateReportCountsAtItsTimeOfObservation() {
    EvidenceFixture fixture;
    wire::RunReport report;
    report.reporter = 7;
    // Three crashes one second apart, all reported once control is reachable again.
    for (report.number = 1; report.number <= 3; ++report.number) {
      report.age = Seconds(4) - Seconds(1) * static_cast<int64_t>(report.number);
      report.lost = {{kFatal, report.number, "leaf" + std::to_string(report.number), "s"}};
      fixture.evidence.OnReport(fixture.now, report);
    }
    CPPUNIT_ASSERT(fixture.IsConfirmed(kFatal));
    // Ages outside the retention period are clamped.
    report.number = 4;
    report.age = Duration::max();
    fixture.evidence.OnReport(fixture.now, report);
    report.number = 5;
    report.age = Duration(-1);
    fixture.evidence.OnReport(fixture.now, report);
    fixture.evidence.Tick(fixture.now);
    CPPUNIT_ASSERT(fixture.IsConfirmed(kFatal));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CrashEvidenceTest);

}  // namespace pumicedyke::quarantine
