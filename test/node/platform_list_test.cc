// The platform's list of leaving machines, which other writers may edit.
#include "node/platform_list.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace pumicedyke::node {

class PlatformListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformListTest);
  CPPUNIT_TEST(SkipsEntriesThatAreNotStrings);
  CPPUNIT_TEST(MissingListIsAnError);
  CPPUNIT_TEST(AcceptsArbitraryBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SkipsEntriesThatAreNotStrings() {
    const auto list = ReadPlatformList(R"({"leaving":["a", 7, null, {"id":"b"}, ["c"], "d"]})");
    CPPUNIT_ASSERT(list.ok());
    CPPUNIT_ASSERT(*list == (std::set<std::string>{"a", "d"}));
  }

  void MissingListIsAnError() {
    for (const char* text : {"", "{", "[]", "7", "{}", R"({"leaving":7})", R"({"leaving":null})",
                             R"({"leaving":{"a":1}})", "{\"leaving\":[\"\xff\"]}"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ReadPlatformList(text).ok());
    }
  }

  void AcceptsArbitraryBytes() {
    const bool held = rc::check("any bytes are harmless", [](const std::string& bytes) {
      ReadPlatformList(bytes).status().IgnoreError();
      ReadPlatformList("{\"leaving\":[" + bytes + ",\"a\"]}").status().IgnoreError();
    });
    CPPUNIT_ASSERT(held);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlatformListTest);

}  // namespace pumicedyke::node
