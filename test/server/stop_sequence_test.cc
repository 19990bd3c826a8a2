// Tests of the phases of a planned stop.
#include "server/stop_sequence.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::server {
namespace {

constexpr Duration kGrace = Milliseconds(300);
constexpr Duration kKillAfter = Seconds(2);
constexpr Timestamp kStart{Seconds(100)};

}  // namespace

class StopSequenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopSequenceTest);
  CPPUNIT_TEST(LongPauseRestartsTheGracePeriod);
  CPPUNIT_TEST(ProcessExitsOnceNoConnectionIsOpen);
  CPPUNIT_TEST(EverythingIsToBeAnsweredBeforeTheKill);
  CPPUNIT_TEST(GracePeriodLeavesTimeToAnswer);
  CPPUNIT_TEST(PauseDoesNotMoveTheKill);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LongPauseRestartsTheGracePeriod() {
    StopSequence sequence(StopTimes{.grace = kGrace});
    sequence.Start(kStart);
    CPPUNIT_ASSERT(sequence.Advance(kStart + Milliseconds(200)) == StopPhase::kServing);
    const Timestamp resumed = kStart + Seconds(5);
    CPPUNIT_ASSERT(sequence.Advance(resumed) == StopPhase::kServing);
    CPPUNIT_ASSERT(sequence.Advance(resumed + Milliseconds(200)) == StopPhase::kServing);
    CPPUNIT_ASSERT(sequence.Advance(resumed + kGrace) == StopPhase::kNotListening);
  }

  void ProcessExitsOnceNoConnectionIsOpen() {
    CPPUNIT_ASSERT(!StopSequence::MayExit(StopPhase::kServing, true, 0));
    CPPUNIT_ASSERT(!StopSequence::MayExit(StopPhase::kClosingIdle, false, 0));
    CPPUNIT_ASSERT(!StopSequence::MayExit(StopPhase::kClosingIdle, true, 1));
    CPPUNIT_ASSERT(StopSequence::MayExit(StopPhase::kNotListening, true, 0));
    CPPUNIT_ASSERT(StopSequence::MayExit(StopPhase::kRefusing, true, 0));
  }

  /// Guards against a process that is killed while it still holds requests.
  void EverythingIsToBeAnsweredBeforeTheKill() {
    StopSequence sequence(StopTimes{.grace = kGrace, .kill_after = kKillAfter});
    sequence.Start(kStart);
    CPPUNIT_ASSERT(sequence.answer_by() > kStart + kKillAfter / 2);
    CPPUNIT_ASSERT(sequence.answer_by() < kStart + kKillAfter);
    const Duration left = *sequence.answer_by() - kStart;
    for (Duration elapsed{}; elapsed < left; elapsed += Milliseconds(100)) {
      CPPUNIT_ASSERT(sequence.Advance(kStart + elapsed) != StopPhase::kRefusing);
    }
    CPPUNIT_ASSERT(sequence.Advance(kStart + left) == StopPhase::kRefusing);
  }

  void GracePeriodLeavesTimeToAnswer() {
    StopSequence sequence(StopTimes{.grace = 2 * kKillAfter, .kill_after = kKillAfter});
    sequence.Start(kStart);
    CPPUNIT_ASSERT(sequence.Advance(kStart + Milliseconds(200)) == StopPhase::kServing);
    CPPUNIT_ASSERT(sequence.Advance(kStart + Milliseconds(400)) == StopPhase::kServing);
    for (Duration elapsed = Milliseconds(400); elapsed < kKillAfter / 2;
         elapsed += Milliseconds(100)) {
      sequence.Advance(kStart + elapsed);
    }
    CPPUNIT_ASSERT(sequence.Advance(kStart + kKillAfter / 2) == StopPhase::kNotListening);
  }

  void PauseDoesNotMoveTheKill() {
    StopSequence sequence(StopTimes{.grace = kGrace, .kill_after = kKillAfter});
    sequence.Start(kStart);
    CPPUNIT_ASSERT(sequence.Advance(*sequence.answer_by()) == StopPhase::kRefusing);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StopSequenceTest);

}  // namespace pumicedyke::server
