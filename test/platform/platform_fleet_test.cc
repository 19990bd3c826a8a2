// Tests of the helpers for real processes.
#include "platform/platform_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::platform {

class PlatformFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformFleetTest);
  CPPUNIT_TEST(ControlMachinesBeyondTheTenthAreToldApart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ControlMachinesBeyondTheTenthAreToldApart() {
    CPPUNIT_ASSERT_EQUAL(0, ControlIndex("c0"));
    CPPUNIT_ASSERT_EQUAL(11, ControlIndex("c11"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlatformFleetTest);

}  // namespace pumicedyke::platform
