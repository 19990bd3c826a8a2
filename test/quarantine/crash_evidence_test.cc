// Who is found guilty of ending leafs, and above all who is not.
#include "quarantine/crash_evidence.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace pumicedyke::quarantine {
namespace {

constexpr Timestamp kStart{Seconds(100)};
const RequestIdentity kFatal = IdentityOf({"fatal"});
const RequestIdentity kBystander = IdentityOf({"bystander"});

/// Evidence to which the ends of leafs are added, one by one.
struct Trial {
  CrashEvidence evidence{EvidenceOptions{}};
  Timestamp now = kStart;

  /// A leaf ended while it had these requests, in this attempt of theirs.
  void End(const std::string& leaf, const std::vector<RequestIdentity>& requests, uint64_t attempt,
           const std::string& service = "s") {
    wire::RunReport report;
    for (const RequestIdentity& request : requests) {
      report.lost.push_back({request, attempt, leaf, service});
    }
    evidence.OnReport(now, report);
    now += EvidenceOptions{}.moment_gap;
  }
  void Succeeded(const RequestIdentity& request) {
    wire::RunReport report;
    report.succeeded = {request};
    evidence.OnReport(now, report);
  }
  void Answers(const std::string& leaf) {
    wire::RunReport report;
    report.answering = {leaf};
    evidence.OnReport(now, report);
  }
  bool IsGuilty(const RequestIdentity& request,
                const std::set<RequestIdentity>& offenders = {}) const {
    const std::vector<Verdict> guilty = evidence.Guilty(offenders);
    return std::any_of(guilty.begin(), guilty.end(),
                       [&](const Verdict& verdict) { return verdict.identity == request; });
  }
};

}  // namespace

class CrashEvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashEvidenceTest);
  CPPUNIT_TEST(ThreeLeafsInThreeAttemptsAreEnough);
  CPPUNIT_TEST(OneAttemptAtManyLeafsIsNotEnough);
  CPPUNIT_TEST(OneMomentIsNotEnoughHoweverManyAttempts);
  CPPUNIT_TEST(BystandersAreNotBlamed);
  CPPUNIT_TEST(BystanderOfEveryEndLosesToWhoeverWasThereMoreOften);
  CPPUNIT_TEST(SuccessAcquitsAndLaterLossesCountAnew);
  CPPUNIT_TEST(LeafThatAnswersHasNotEnded);
  CPPUNIT_TEST(LeafThatComesBackUnderItsNameEndsAgain);
  CPPUNIT_TEST(CrashLoopWithoutCommonRequestBlamesNobody);
  CPPUNIT_TEST(ReportThatComesAgainCountsOnce);
  CPPUNIT_TEST(LateReportCountsForWhenItWasSeen);
  CPPUNIT_TEST(TwoFatalRequestsAreBothFound);
  CPPUNIT_TEST(ManyFatalRequestsAreAllFound);
  CPPUNIT_TEST(CrashLoopUnderManyWhoRepeatBlamesNobody);
  CPPUNIT_TEST(OffenderIsStoppedAtTheNextLeaf);
  CPPUNIT_TEST(ReportsThatComeTwiceCountOnce);
  CPPUNIT_TEST(EvidenceIsForgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ThreeLeafsInThreeAttemptsAreEnough() {
    Trial trial;
    trial.End("a", {kFatal}, 1);
    trial.End("b", {kFatal}, 2);
    CPPUNIT_ASSERT(!trial.IsGuilty(kFatal));
    trial.End("c", {kFatal}, 3);
    CPPUNIT_ASSERT(trial.IsGuilty(kFatal));
  }

  /// All leafs of a service crash at once: whoever was there lost a run at each.
  void OneAttemptAtManyLeafsIsNotEnough() {
    Trial trial;
    for (int leaf = 0; leaf < 40; ++leaf) {
      trial.End("leaf" + std::to_string(leaf), {kBystander}, 1 + leaf % 2);
    }
    CPPUNIT_ASSERT(!trial.IsGuilty(kBystander));
  }

  /// The same, and a client that repeats at once had several attempts out.
  void OneMomentIsNotEnoughHoweverManyAttempts() {
    Trial trial;
    for (uint64_t leaf = 0; leaf < 40; ++leaf) {
      trial.End("leaf" + std::to_string(leaf), {kBystander}, leaf % 5);
      trial.now = kStart + Milliseconds(10) * static_cast<int64_t>(leaf);
    }
    CPPUNIT_ASSERT(!trial.IsGuilty(kBystander));
  }

  void BystandersAreNotBlamed() {
    Trial trial;
    for (uint64_t attempt = 1; attempt <= 6; ++attempt) {
      const bool there = attempt % 2 == 0;
      trial.End("leaf" + std::to_string(attempt),
                there ? std::vector{kFatal, kBystander} : std::vector{kFatal}, attempt);
    }
    CPPUNIT_ASSERT(trial.IsGuilty(kFatal));
    CPPUNIT_ASSERT(!trial.IsGuilty(kBystander));
  }

  /// Somebody who sends fatal requests can't get the request of another one stopped with them.
  void BystanderOfEveryEndLosesToWhoeverWasThereMoreOften() {
    Trial trial;
    for (uint64_t attempt = 1; attempt <= 5; ++attempt) {
      trial.End("leaf" + std::to_string(attempt), {kFatal, kBystander}, attempt);
    }
    trial.End("last", {kFatal}, 6);
    CPPUNIT_ASSERT(trial.IsGuilty(kFatal));
    CPPUNIT_ASSERT(!trial.IsGuilty(kBystander));
  }

  void SuccessAcquitsAndLaterLossesCountAnew() {
    Trial trial;
    trial.End("a", {kBystander}, 1);
    trial.End("b", {kBystander}, 2);
    trial.Succeeded(kBystander);
    CPPUNIT_ASSERT(trial.evidence.HasSucceeded(kBystander));
    trial.End("c", {kBystander}, 3);
    CPPUNIT_ASSERT(!trial.evidence.HasSucceeded(kBystander));
    CPPUNIT_ASSERT(!trial.IsGuilty(kBystander));
    trial.End("d", {kBystander}, 4);
    trial.End("e", {kBystander}, 5);
    CPPUNIT_ASSERT(trial.IsGuilty(kBystander));
    trial.Succeeded(kBystander);
    CPPUNIT_ASSERT(!trial.IsGuilty(kBystander));
  }

  /// Connections are reset by something between: the leaf lives.
  void LeafThatAnswersHasNotEnded() {
    Trial trial;
    trial.End("a", {kBystander}, 1);
    trial.End("b", {kBystander}, 2);
    trial.End("c", {kBystander}, 3);
    trial.Answers("b");
    CPPUNIT_ASSERT(!trial.IsGuilty(kBystander));
  }

  void LeafThatComesBackUnderItsNameEndsAgain() {
    Trial trial;
    for (uint64_t attempt = 1; attempt <= 3; ++attempt) {
      trial.End("a", {kFatal}, attempt);
      trial.now += EvidenceOptions{}.one_end;
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, trial.evidence.leafs());
    CPPUNIT_ASSERT(trial.IsGuilty(kFatal));
    trial.Answers("a");
    CPPUNIT_ASSERT_EQUAL(size_t{0}, trial.evidence.leafs());
  }

  /// Leafs end all the time, for a reason of their own, and somebody asks again and again.
  void CrashLoopWithoutCommonRequestBlamesNobody() {
    Trial trial;
    for (uint64_t turn = 1; turn <= 30; ++turn) {
      const RequestIdentity other = IdentityOf({"other", std::to_string(turn)});
      const bool there = turn % 3 == 0;
      trial.End("leaf" + std::to_string(turn),
                there ? std::vector{other, kBystander} : std::vector{other}, turn);
    }
    CPPUNIT_ASSERT(trial.evidence.Guilty({}).empty());
  }

  void TwoFatalRequestsAreBothFound() {
    Trial trial;
    const RequestIdentity second = IdentityOf({"second"});
    for (uint64_t attempt = 1; attempt <= 8; ++attempt) {
      trial.End("leaf" + std::to_string(attempt),
                attempt % 4 == 0   ? std::vector{kFatal, second}
                : attempt % 2 == 0 ? std::vector{second}
                                   : std::vector{kFatal},
                attempt);
    }
    trial.End("more", {second}, 10);
    CPPUNIT_ASSERT(trial.IsGuilty(kFatal));
    CPPUNIT_ASSERT(trial.IsGuilty(second));
  }

  /// Each is there at a fifth of what ends.
  void ManyFatalRequestsAreAllFound() {
    Trial trial;
    constexpr uint64_t kRequests = 5;
    const auto nth = [](uint64_t i) { return IdentityOf({"fatal", std::to_string(i)}); };
    for (uint64_t turn = 0; turn < 4 * kRequests; ++turn) {
      trial.End("leaf" + std::to_string(turn), {nth(turn % kRequests)}, turn);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{kRequests}, trial.evidence.Guilty({}).size());
  }

  /// Several insist while leafs end for a reason of their own: at each end some of them are there.
  void CrashLoopUnderManyWhoRepeatBlamesNobody() {
    Trial trial;
    constexpr uint64_t kCallers = 7;
    const auto nth = [](uint64_t i) {
      return IdentityOf({"caller", std::to_string(i % kCallers)});
    };
    for (uint64_t turn = 0; turn < 6 * kCallers; ++turn) {
      trial.End("leaf" + std::to_string(turn), {nth(turn), nth(turn + 1), nth(turn + 3)}, turn);
    }
    CPPUNIT_ASSERT(trial.evidence.Guilty({}).empty());
  }

  void OffenderIsStoppedAtTheNextLeaf() {
    Trial trial;
    trial.End("a", {kFatal}, 1);
    CPPUNIT_ASSERT(!trial.IsGuilty(kFatal));
    CPPUNIT_ASSERT(trial.IsGuilty(kFatal, {kFatal}));
    trial.evidence.Acquit(kFatal);
    CPPUNIT_ASSERT(!trial.IsGuilty(kFatal, {kFatal}));
  }

  void ReportsThatComeTwiceCountOnce() {
    Trial trial;
    for (int i = 0; i < 3; ++i) {
      trial.End("a", {kFatal}, 1);
      trial.End("b", {kFatal}, 1);
      trial.End("c", {kFatal}, 2);
      trial.now = kStart;
    }
    CPPUNIT_ASSERT(!trial.IsGuilty(kFatal));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, trial.evidence.leafs());
  }

  void EvidenceIsForgotten() {
    Trial trial;
    ThreeEnds(&trial);
    trial.evidence.Tick(trial.now + EvidenceOptions{}.memory + Seconds(1));
    CPPUNIT_ASSERT(!trial.IsGuilty(kFatal));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, trial.evidence.leafs());
  }

 private:
  static void ThreeEnds(Trial* trial) {
    trial->End("a", {kFatal}, 1);
    trial->End("b", {kFatal}, 2);
    trial->End("c", {kFatal}, 3);
    CPPUNIT_ASSERT(trial->IsGuilty(kFatal));
  }

  /// Told again since nobody had said that it was taken, or passed on by two control machines.
  void ReportThatComesAgainCountsOnce() {
    Trial fixture;
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
    // Another process counts by itself.
    report.reporter = 8;
    report.number = 1;
    fixture.evidence.OnReport(fixture.now, report);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, fixture.evidence.leafs());
  }

  void LateReportCountsForWhenItWasSeen() {
    Trial fixture;
    wire::RunReport report;
    report.reporter = 7;
    // Three ends a second apart, all told when control is back.
    for (report.number = 1; report.number <= 3; ++report.number) {
      report.age = Seconds(4) - Seconds(1) * static_cast<int64_t>(report.number);
      report.lost = {{kFatal, report.number, "leaf" + std::to_string(report.number), "s"}};
      fixture.evidence.OnReport(fixture.now, report);
    }
    CPPUNIT_ASSERT(fixture.IsGuilty(kFatal));
    // Nobody's clock is believed beyond what is remembered.
    report.number = 4;
    report.age = Duration::max();
    fixture.evidence.OnReport(fixture.now, report);
    report.number = 5;
    report.age = Duration(-1);
    fixture.evidence.OnReport(fixture.now, report);
    fixture.evidence.Tick(fixture.now);
    CPPUNIT_ASSERT(fixture.IsGuilty(kFatal));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CrashEvidenceTest);

}  // namespace pumicedyke::quarantine
