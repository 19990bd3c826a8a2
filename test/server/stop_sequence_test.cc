// Tests of the phases of a planned stop.
#include "server/stop_sequence.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::server {
namespace {

constexpr Duration kGrace = Milliseconds(300);
constexpr Timestamp kStart{Seconds(100)};

}  // namespace

class StopSequenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopSequenceTest);
  CPPUNIT_TEST(LongPauseRestartsTheGracePeriod);
  CPPUNIT_TEST(ProcessExitsOnceNoConnectionIsOpen);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LongPauseRestartsTheGracePeriod() {
    StopSequence sequence(kGrace);
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
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StopSequenceTest);

}  // namespace pumicedyke::server
