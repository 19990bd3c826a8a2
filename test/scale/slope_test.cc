// Fitted lines.
#include "scale/slope.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::scale {

class SlopeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlopeTest);
  CPPUNIT_TEST(LineThroughPointsOfALine);
  CPPUNIT_TEST(ResidualTellsBentData);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LineThroughPointsOfALine() {
    const Line line = FitLine({1, 2, 4}, {5, 7, 11});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, line.slope, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, line.intercept, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, line.worst_residual, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, FitLine({1}, {5}).slope, 0);
  }

  void ResidualTellsBentData() {
    CPPUNIT_ASSERT(FitLine({1, 2, 3, 4}, {1, 4, 9, 16}).worst_residual > 0.05);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SlopeTest);

}  // namespace pumicedyke::scale
