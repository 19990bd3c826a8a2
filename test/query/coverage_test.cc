// Coverage and continuation tokens.
#include <cppunit/extensions/HelperMacros.h>

#include "query/messages.h"

namespace pumicedyke::query {

class ContinuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ContinuationTest);
  CPPUNIT_TEST(TokenNamesMissingShardsOfTheSameSnapshot);
  CPPUNIT_TEST(ChangedTokenIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TokenNamesMissingShardsOfTheSameSnapshot() {
    const std::string token = EncodeContinuation(
        "desk", SnapshotId{7}, {{ShardId{3}, MissingReason::kTimeout}, {ShardId{9}, {}}});
    const auto decoded = DecodeContinuation(token);
    CPPUNIT_ASSERT(decoded.ok());
    CPPUNIT_ASSERT(decoded->snapshot == SnapshotId{7});
    CPPUNIT_ASSERT(decoded->shards == (std::vector<ShardId>{ShardId{3}, ShardId{9}}));
  }

  void ChangedTokenIsRefused() {
    std::string token = EncodeContinuation("desk", SnapshotId{7}, {{ShardId{3}, {}}});
    token[token.size() / 2] = token[token.size() / 2] == 'A' ? 'B' : 'A';
    CPPUNIT_ASSERT(CodeOf(DecodeContinuation(token).status()) == ResultCode::kBadContinuation);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ContinuationTest);

}  // namespace pumicedyke::query
