#include "common/recent_durations.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace pumicedyke {

class RecentDurationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecentDurationsTest);
  CPPUNIT_TEST(NoDurationsGiveZero);
  CPPUNIT_TEST(QuantilesLieWithinOneBucket);
  CPPUNIT_TEST(OldDurationsLoseWeight);
  CPPUNIT_TEST(SharesGrowWithTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoDurationsGiveZero() {
    const RecentDurations durations(32);
    CPPUNIT_ASSERT(durations.Quantile(0.5) == Duration(0));
    CPPUNIT_ASSERT_EQUAL(0.0, durations.ShareUpTo(Seconds(1)));
  }

  void QuantilesLieWithinOneBucket() {
    RecentDurations durations(1e9);
    for (int i = 1; i <= 1000; ++i) {
      durations.Record(Microseconds(100 * i));
    }
    for (const double quantile : {0.1, 0.5, 0.9, 0.99}) {
      const double wanted = quantile * 100;
      const double got = ToMilliseconds(durations.Quantile(quantile));
      CPPUNIT_ASSERT(got > wanted / 1.25 && got < wanted * 1.25);
      const double share = durations.ShareUpTo(durations.Quantile(quantile));
      CPPUNIT_ASSERT_DOUBLES_EQUAL(quantile, share, 0.01);
    }
  }

  void OldDurationsLoseWeight() {
    RecentDurations durations(16);
    for (int i = 0; i < 200; ++i) {
      durations.Record(Milliseconds(50));
    }
    for (int i = 0; i < 64; ++i) {
      durations.Record(Milliseconds(2));
    }
    CPPUNIT_ASSERT(durations.Quantile(0.9) < Milliseconds(3));
    CPPUNIT_ASSERT(durations.weight() < 30);
  }

  void SharesGrowWithTheLimit() {
    const bool holds = rc::check("shares grow with the limit, from 0 to 1", [] {
      RecentDurations durations(*rc::gen::inRange(1, 100));
      const auto values = *rc::gen::nonEmpty(
          rc::gen::container<std::vector<int>>(rc::gen::inRange(-5, 100'000'000)));
      for (const int value : values) {
        durations.Record(Microseconds(value));
      }
      double last = 0;
      for (int64_t limit = 1; limit < 200'000'000; limit *= 2) {
        const double share = durations.ShareUpTo(Microseconds(limit));
        RC_ASSERT(share >= last);
        last = share;
      }
      RC_ASSERT(last > 1 - 1e-6);
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecentDurationsTest);

}  // namespace pumicedyke
