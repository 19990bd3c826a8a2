// Tests the order of gateways for clients.
#include "directory/near_first.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::directory {

class NearFirstTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NearFirstTest);
  CPPUNIT_TEST(NearGatewaysComeFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NearGatewaysComeFirst() {
    const std::vector<GatewayLocation> gateways = {
        {"far", "z3", "east"}, {"other-zone", "z2", "west"}, {"own-zone", "z1", "west"}};
    struct Case {
      const char* what;
      ClientLocation client;
      size_t max_addresses;
      std::vector<std::string> expected;
    };
    const Case cases[] = {
        {"own region only", {"z1", "west"}, 64, {"own-zone", "other-zone"}},
        {"a zone without gateways", {"z9", "west"}, 64, {"other-zone", "own-zone"}},
        {"a region without gateways", {"z9", "south"}, 64, {"far", "other-zone", "own-zone"}},
        {"no more than clients read", {"z1", "west"}, 1, {"own-zone"}},
        {"the other region", {"z3", "east"}, 64, {"far"}},
    };
    for (const Case& item : cases) {
      CPPUNIT_ASSERT_MESSAGE(item.what,
                             NearFirst(gateways, item.client, item.max_addresses) == item.expected);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NearFirstTest);

}  // namespace pumicedyke::directory
