// Which gateways clients are told of.
#include "directory/gateway_directory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::directory {
namespace {

constexpr Timestamp kStart{Seconds(100)};

wire::GatewayPresence Presence(const std::string& node, const std::string& zone, bool serving) {
  return {node, 7, node + ":80", zone, serving, 0};
}

}  // namespace

class GatewayDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayDirectoryTest);
  CPPUNIT_TEST(OwnZoneComesFirst);
  CPPUNIT_TEST(OneThatStopsServingIsNotNamed);
  CPPUNIT_TEST(SilentOneIsNotNamed);
  CPPUNIT_TEST(LossOfAnEarlierLifeLeavesTheLaterOne);
  CPPUNIT_TEST(AnswerIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OwnZoneComesFirst() {
    GatewayDirectory directory({});
    directory.OnPresence(kStart, Presence("a", "north", true));
    directory.OnPresence(kStart, Presence("b", "south", true));
    const std::vector<std::string> expected = {"b:80", "a:80"};
    CPPUNIT_ASSERT(expected == directory.AddressesFor(kStart, "south"));
  }

  void OneThatStopsServingIsNotNamed() {
    GatewayDirectory directory({});
    directory.OnPresence(kStart, Presence("a", "north", true));
    directory.OnPresence(kStart, Presence("a", "north", false));
    CPPUNIT_ASSERT(directory.AddressesFor(kStart, "north").empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, directory.size());
  }

  void SilentOneIsNotNamed() {
    GatewayDirectory directory({.silence_limit = Seconds(1)});
    directory.OnPresence(kStart, Presence("a", "north", true));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         directory.AddressesFor(kStart + Milliseconds(999), "north").size());
    CPPUNIT_ASSERT(directory.AddressesFor(kStart + Seconds(1), "north").empty());
    directory.DropSilent(kStart + Seconds(1));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, directory.size());
  }

  void LossOfAnEarlierLifeLeavesTheLaterOne() {
    GatewayDirectory directory({});
    wire::GatewayPresence later = Presence("a", "north", true);
    later.incarnation = 8;
    directory.OnPresence(kStart, Presence("a", "north", true));
    directory.OnPresence(kStart, later);
    CPPUNIT_ASSERT(!directory.OnLost("a", 7));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, directory.AddressesFor(kStart, "north").size());
    CPPUNIT_ASSERT(directory.OnLost("a", 8));
    CPPUNIT_ASSERT(directory.AddressesFor(kStart, "north").empty());
  }

  void AnswerIsBounded() {
    GatewayDirectory directory({.max_addresses = 3});
    for (int i = 0; i < 10; ++i) {
      directory.OnPresence(kStart, Presence("n" + std::to_string(i), "north", true));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, directory.AddressesFor(kStart, "north").size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayDirectoryTest);

}  // namespace pumicedyke::directory
