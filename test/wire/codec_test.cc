// Messages survive encoding; bytes that are no message are refused.
#include "wire/codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace pumicedyke::wire {

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(FeedSurvives);
  CPPUNIT_TEST(LedgerRequestSurvives);
  CPPUNIT_TEST(LargeEntriesSurvive);
  CPPUNIT_TEST(GarbageIsRefusedOrHarmless);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FeedSurvives() {
    const bool held = rc::check("feeds survive", [](const std::string& state, uint64_t version,
                                                    const std::vector<std::string>& commands) {
      ConfigFeed feed{version, true, state, {}, version / 2};
      for (size_t i = 0; i < commands.size(); ++i) {
        feed.changes.push_back({i, commands[i]});
      }
      const auto decoded = DecodeEnvelope(Encode(Envelope{"c", 9, feed}));
      RC_ASSERT(decoded.ok());
      const auto* back = std::get_if<ConfigFeed>(&decoded->body);
      RC_ASSERT(back != nullptr);
      RC_ASSERT(back->state == state);
      RC_ASSERT(back->version == version);
      RC_ASSERT(back->echo == version / 2);
      RC_ASSERT(back->changes.size() == commands.size());
      for (size_t i = 0; i < commands.size(); ++i) {
        RC_ASSERT(back->changes[i].command == commands[i]);
      }
    });
    CPPUNIT_ASSERT(held);
  }

  void LedgerRequestSurvives() {
    const LedgerRequest request{LedgerOperation::kComplete, "s/key", "node.3.77", 5, "outcome", 8};
    const auto decoded = DecodeEnvelope(Encode(Envelope{"c", 1, request}));
    CPPUNIT_ASSERT(decoded.ok());
    const auto& back = std::get<LedgerRequest>(decoded->body);
    CPPUNIT_ASSERT_EQUAL(std::string("node.3.77"), back.owner);
    CPPUNIT_ASSERT_EQUAL(std::string("outcome"), back.outcome);
    CPPUNIT_ASSERT_EQUAL(uint64_t{8}, back.request);
  }

  /// nanopb as packaged counts field sizes in 16 bits; larger values are cut into pieces.
  void LargeEntriesSurvive() {
    RaftMessage message;
    message.type = RaftMessageType::kAppend;
    message.entries.push_back({1, 1, EntryKind::kCommand, std::string(300000, 'x')});
    const auto decoded = DecodeEnvelope(Encode(Envelope{"c", 1, message}));
    CPPUNIT_ASSERT(decoded.ok());
    const auto& back = std::get<RaftMessage>(decoded->body);
    CPPUNIT_ASSERT(back.entries.at(0).data == message.entries[0].data);
  }

  void GarbageIsRefusedOrHarmless() {
    const bool held = rc::check("garbage does no harm", [](const std::string& bytes) {
      // Either it is refused, or it happens to be a message, which can then be encoded again.
      const auto decoded = DecodeEnvelope(bytes);
      if (decoded.ok()) {
        RC_ASSERT(DecodeEnvelope(Encode(*decoded)).ok());
      }
    });
    CPPUNIT_ASSERT(held);
    std::string cut = Encode(Envelope{"cluster", 1, ConfigFeed{1, true, "state", {}, 0}});
    cut.resize(cut.size() / 2);
    CPPUNIT_ASSERT(!DecodeEnvelope(cut).ok());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace pumicedyke::wire
