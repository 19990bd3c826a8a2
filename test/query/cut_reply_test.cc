// Tests that a leaf's reply in JSON that is cut is no reply.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "query/messages.h"

namespace pumicedyke::query {

class CutReplyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutReplyTest);
  CPPUNIT_TEST(CutReplyIsUnreadable);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a shard that counts as covered by the part of a reply without a length that
  /// came before its leaf broke off.
  void CutReplyIsUnreadable() {
    LeafReply reply;
    reply.origin = "node-1";
    reply.leaf = "leaf-a";
    reply.results.resize(2);
    const std::string whole = LeafReplyToJson(reply).dump();
    CPPUNIT_ASSERT(LeafReplyFromJson(whole).ok());
    for (size_t cut = 0; cut < whole.size(); ++cut) {
      CPPUNIT_ASSERT_MESSAGE(whole.substr(0, cut), !LeafReplyFromJson(whole.substr(0, cut)).ok());
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CutReplyTest);

}  // namespace pumicedyke::query
