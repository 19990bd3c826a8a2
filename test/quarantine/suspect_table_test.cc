// Tests how many trials the fleet grants to a suspect request.
#include "quarantine/suspect_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::quarantine {
namespace {

constexpr int64_t kStartMilliseconds = 1'000'000;
const RequestIdentity kSuspect = IdentityOf({"suspect"});

struct TableFixture {
  SuspectTable table;
  int64_t now = kStartMilliseconds;

  TrialDecision Apply(SuspectOperation::Kind kind, uint64_t attempt = 0, uint32_t number = 0,
                      const RequestIdentity& identity = kSuspect) {
    return table.Apply({kind, {identity}, attempt, number, now});
  }
  TrialDecision Try(uint64_t attempt) { return Apply(SuspectOperation::Kind::kTry, attempt); }
};

}  // namespace

class SuspectTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspectTableTest);
  CPPUNIT_TEST(TrialsAreCountedForAll);
  CPPUNIT_TEST(RepeatedQuestionGetsTheSameTrial);
  CPPUNIT_TEST(ReturnedTrialDoesNotCount);
  CPPUNIT_TEST(ClearedSuspectStartsOver);
  CPPUNIT_TEST(ClockThatJumpsGrantsNoMoreTrials);
  CPPUNIT_TEST(OldestWithoutTrialsAreEvicted);
  CPPUNIT_TEST(StateIsRestored);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against trials that each gateway counts for itself.
  void TrialsAreCountedForAll() {
    TableFixture fixture;
    uint64_t attempt = 0;
    uint32_t granted = 0;
    // Every gateway asks in each millisecond, until the verdict is due.
    for (; fixture.now < kStartMilliseconds + kUnresolvedTrialMilliseconds; ++fixture.now) {
      const TrialDecision decision = fixture.Try(++attempt);
      granted += decision.granted ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL(decision.granted ? granted : 0, decision.number);
      CPPUNIT_ASSERT(decision.granted || decision.retry_after_ms > 0);
    }
    CPPUNIT_ASSERT_EQUAL(kMaxTrials, granted);
    // Had the last one crashed leafs, the request would have been stopped.
    fixture.now += kUnresolvedTrialMilliseconds;
    CPPUNIT_ASSERT_EQUAL(kMaxTrials + 1, fixture.Try(++attempt).number);
  }

  void RepeatedQuestionGetsTheSameTrial() {
    TableFixture fixture;
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, fixture.Try(7).number);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, fixture.Try(7).number);
    CPPUNIT_ASSERT(!fixture.Try(8).granted);
  }

  void ReturnedTrialDoesNotCount() {
    TableFixture fixture;
    for (uint64_t attempt = 1; attempt <= 5; ++attempt) {
      CPPUNIT_ASSERT_EQUAL(uint32_t{1}, fixture.Try(attempt).number);
      fixture.Apply(SuspectOperation::Kind::kReturn, attempt, 1);
      // A repeated message, and one about another trial, change nothing.
      fixture.Apply(SuspectOperation::Kind::kReturn, attempt, 1);
      fixture.Apply(SuspectOperation::Kind::kReturn, attempt, 2);
      fixture.now += kTrialIntervalMilliseconds;
    }
    fixture.Apply(SuspectOperation::Kind::kReturn, 1, 1, IdentityOf({"unknown"}));
  }

  void ClearedSuspectStartsOver() {
    TableFixture fixture;
    fixture.Try(1);
    fixture.Apply(SuspectOperation::Kind::kClear);
    CPPUNIT_ASSERT(!fixture.table.Contains(kSuspect));
    fixture.Apply(SuspectOperation::Kind::kAccuse);
    CPPUNIT_ASSERT(fixture.table.Contains(kSuspect));
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, fixture.Try(2).number);
  }

  void ClockThatJumpsGrantsNoMoreTrials() {
    TableFixture fixture;
    uint32_t granted = 0;
    for (uint64_t attempt = 1; attempt <= 20; ++attempt) {
      fixture.now = kStartMilliseconds + (attempt % 2 == 0 ? -2000 : 2000);
      granted += fixture.Try(attempt).granted ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(kMaxTrials, granted);
  }

  void OldestWithoutTrialsAreEvicted() {
    TableFixture fixture;
    fixture.Try(1);
    for (size_t i = 0; i < 2 * kMaxSuspects; ++i) {
      ++fixture.now;
      fixture.Apply(SuspectOperation::Kind::kAccuse, 0, 0, IdentityOf({std::to_string(i)}));
    }
    CPPUNIT_ASSERT_EQUAL(kMaxSuspects, fixture.table.suspects().size());
    CPPUNIT_ASSERT(fixture.table.Contains(kSuspect));
    CPPUNIT_ASSERT(fixture.table.Contains(IdentityOf({std::to_string(2 * kMaxSuspects - 1)})));
    CPPUNIT_ASSERT(!fixture.table.Contains(IdentityOf({"0"})));
  }

  void StateIsRestored() {
    TableFixture fixture;
    fixture.Try(1);
    fixture.now += kTrialIntervalMilliseconds;
    SuspectTable restored;
    restored.FromJson(fixture.table.ToJson());
    fixture.table = restored;
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, fixture.Try(2).number);
    const SuspectOperation operation{SuspectOperation::Kind::kReturn, {kSuspect}, 5, 6, 7};
    const auto read = Json(operation).get<SuspectOperation>();
    CPPUNIT_ASSERT(read.kind == operation.kind && read.requests == operation.requests);
    CPPUNIT_ASSERT_EQUAL(operation.attempt, read.attempt);
    CPPUNIT_ASSERT_EQUAL(operation.number, read.number);
    CPPUNIT_ASSERT_EQUAL(operation.time_ms, read.time_ms);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SuspectTableTest);

}  // namespace pumicedyke::quarantine
