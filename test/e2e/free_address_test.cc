// Tests that test programs which run at the same time get different ports.
#include "e2e/free_address.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace pumicedyke::e2e {

class FreeAddressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreeAddressTest);
  CPPUNIT_TEST(ProgramsAtTheSameTimeGetDifferentPorts);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against test programs that take each other's ports: a process that was about to listen
  /// found its address in use.
  void ProgramsAtTheSameTimeGetDifferentPorts() {
    PortBlocks one;
    PortBlocks other;
    constexpr int kPortsEach = PortBlocks::kPortsPerBlock + 1;
    std::set<uint16_t> ports;
    for (int i = 0; i < kPortsEach; ++i) {
      ports.insert(one.Next());
      ports.insert(other.Next());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2} * kPortsEach, ports.size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FreeAddressTest);

}  // namespace pumicedyke::e2e
