// Tests that messages survive encoding and decoding, and that invalid bytes are refused.
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
  CPPUNIT_TEST(HellosAreSmall);
  CPPUNIT_TEST(PartialQuerySurvives);
  CPPUNIT_TEST(PartialAnswerSurvives);
  CPPUNIT_TEST(GatewayFeedAndPresenceSurvive);
  CPPUNIT_TEST(GarbageIsRefusedOrHarmless);
  CPPUNIT_TEST(RunReportsAndNoticesSurvive);
  CPPUNIT_TEST(TrialsSurvive);
  CPPUNIT_TEST(LimitRequestsAndGrantsSurvive);
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

  void LimitRequestsAndGrantsSurvive() {
    const LimitRequest ask{uint64_t{5} << 40, "tenant", 3, 17, true, 2, uint64_t{4} << 40};
    const auto asked = DecodeEnvelope(Encode(Envelope{"c", 1, ask}));
    CPPUNIT_ASSERT(asked.ok());
    const auto& back = std::get<LimitRequest>(asked->body);
    CPPUNIT_ASSERT_EQUAL(ask.id, back.id);
    CPPUNIT_ASSERT_EQUAL(ask.tenant, back.tenant);
    CPPUNIT_ASSERT_EQUAL(ask.part, back.part);
    CPPUNIT_ASSERT_EQUAL(ask.wanted, back.wanted);
    CPPUNIT_ASSERT_EQUAL(ask.claim, back.claim);
    CPPUNIT_ASSERT_EQUAL(ask.returned, back.returned);
    CPPUNIT_ASSERT_EQUAL(ask.returned_of, back.returned_of);
    const LimitGrant grant{9, "tenant", LimitStage::kExhausted, 4, Milliseconds(300), Seconds(2)};
    const auto granted = DecodeEnvelope(Encode(Envelope{"c", 1, grant}));
    CPPUNIT_ASSERT(granted.ok());
    const auto& back_grant = std::get<LimitGrant>(granted->body);
    CPPUNIT_ASSERT_EQUAL(grant.id, back_grant.id);
    CPPUNIT_ASSERT_EQUAL(grant.tenant, back_grant.tenant);
    CPPUNIT_ASSERT(grant.stage == back_grant.stage);
    CPPUNIT_ASSERT_EQUAL(grant.granted, back_grant.granted);
    CPPUNIT_ASSERT(grant.lifetime == back_grant.lifetime);
    CPPUNIT_ASSERT(grant.retry_after == back_grant.retry_after);
  }

  void PartialQuerySurvives() {
    PartialQuery query;
    query.id = 7;
    query.route = "route";
    query.request_id = "client-1";
    query.method = "POST";
    query.head = "POST / HTTP/1.1\r\n";
    query.payload = std::string(70000, 'p');
    query.budget = Milliseconds(800);
    query.report_after = Microseconds(1234);
    query.objective = Milliseconds(50);
    query.top_records = 5;
    query.max_attempts = 2;
    query.reassigned = true;
    query.groups = 9;
    query.shards = {"s1", "s2"};
    query.identity = {0x0123456789abcdef, 42};
    query.allowed_regions = {"west"};
    query.tenant = "acme";
    query.priority = 3;
    const auto decoded = DecodeEnvelope(Encode(Envelope{"c", 1, query}));
    CPPUNIT_ASSERT(decoded.ok());
    const auto& back = std::get<PartialQuery>(decoded->body);
    CPPUNIT_ASSERT_EQUAL(query.id, back.id);
    CPPUNIT_ASSERT_EQUAL(query.route, back.route);
    CPPUNIT_ASSERT_EQUAL(query.request_id, back.request_id);
    CPPUNIT_ASSERT_EQUAL(query.method, back.method);
    CPPUNIT_ASSERT_EQUAL(query.head, back.head);
    CPPUNIT_ASSERT_EQUAL(query.payload, back.payload);
    CPPUNIT_ASSERT(query.identity == back.identity);
    CPPUNIT_ASSERT(query.budget == back.budget);
    CPPUNIT_ASSERT(query.report_after == back.report_after);
    CPPUNIT_ASSERT(query.objective == back.objective);
    CPPUNIT_ASSERT_EQUAL(query.top_records, back.top_records);
    CPPUNIT_ASSERT_EQUAL(query.max_attempts, back.max_attempts);
    CPPUNIT_ASSERT(back.reassigned);
    CPPUNIT_ASSERT_EQUAL(query.groups, back.groups);
    CPPUNIT_ASSERT(query.shards == back.shards);
    CPPUNIT_ASSERT(query.allowed_regions == back.allowed_regions);
    CPPUNIT_ASSERT_EQUAL(query.tenant, back.tenant);
    CPPUNIT_ASSERT_EQUAL(query.priority, back.priority);
  }

  void PartialAnswerSurvives() {
    PartialAnswer answer;
    answer.id = 9;
    answer.stage = PartialStage::kDone;
    answer.parts = {{0, "sig-a"}, {3, "sig-b"}};
    answer.records = std::string(32, 'r');
    answer.gaps = {{1, 2}};
    answer.run = 2;
    answer.extra = 4;
    const auto decoded = DecodeEnvelope(Encode(Envelope{"c", 1, answer}));
    CPPUNIT_ASSERT(decoded.ok());
    const auto& back = std::get<PartialAnswer>(decoded->body);
    CPPUNIT_ASSERT_EQUAL(answer.id, back.id);
    CPPUNIT_ASSERT(back.stage == PartialStage::kDone);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, back.parts.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{3}, back.parts[1].shard);
    CPPUNIT_ASSERT_EQUAL(std::string("sig-b"), back.parts[1].signature);
    CPPUNIT_ASSERT_EQUAL(answer.records, back.records);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, back.gaps.at(0).shard);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, back.gaps[0].reason);
    CPPUNIT_ASSERT_EQUAL(answer.run, back.run);
    CPPUNIT_ASSERT_EQUAL(answer.extra, back.extra);
  }

  void GatewayFeedAndPresenceSurvive() {
    const GatewayFeed feed{4, 6, {{"g1", "north", "10.0.0.1:7500"}}, {"g2"}};
    const auto decoded_feed = DecodeEnvelope(Encode(Envelope{"c", 1, feed}));
    CPPUNIT_ASSERT(decoded_feed.ok());
    const auto& back = std::get<GatewayFeed>(decoded_feed->body);
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, back.from_version);
    CPPUNIT_ASSERT_EQUAL(uint64_t{6}, back.version);
    CPPUNIT_ASSERT(back.peers == feed.peers);
    CPPUNIT_ASSERT(back.removed == feed.removed);
    GatewayPresence presence{"g1", 3, "10.0.0.1:80", "north", true, 5, "10.0.0.1:7500",
                             true, 6, true};
    const auto decoded_presence = DecodeEnvelope(Encode(Envelope{"c", 1, presence}));
    CPPUNIT_ASSERT(decoded_presence.ok());
    const auto& back_presence = std::get<GatewayPresence>(decoded_presence->body);
    CPPUNIT_ASSERT_EQUAL(presence.peer_address, back_presence.peer_address);
    CPPUNIT_ASSERT(back_presence.wants_peers);
    CPPUNIT_ASSERT_EQUAL(uint64_t{6}, back_presence.peers_version);
    CPPUNIT_ASSERT(back_presence.used);
    LeafFeed leaf_feed;
    leaf_feed.gateways_used = true;
    const auto decoded_leaf_feed = DecodeEnvelope(Encode(Envelope{"c", 1, leaf_feed}));
    CPPUNIT_ASSERT(decoded_leaf_feed.ok());
    CPPUNIT_ASSERT(std::get<LeafFeed>(decoded_leaf_feed->body).gateways_used);
  }

  /// Each node sends a hello four times a second, so its size bounds a node's control traffic.
  void HellosAreSmall() {
    constexpr size_t kMaxBytes = 128;
    const uint64_t year_us = uint64_t{365} * 24 * 3600 * 1000000;
    const NodeHello hello{"node-of-a-usual-name-4711", ~uint64_t{0}, 1000000, false, year_us};
    CPPUNIT_ASSERT(Encode(Envelope{"cluster", 1000000, hello}).size() < kMaxBytes);
    ConfigFeed feed;
    feed.version = 1000000;
    feed.echo = year_us;
    feed.proof_age = Milliseconds(400);
    CPPUNIT_ASSERT(Encode(Envelope{"cluster", 1000000, feed}).size() < kMaxBytes);
  }

  /// nanopb as packaged counts field sizes in 16 bits, so larger values are split into pieces.
  void LargeEntriesSurvive() {
    RaftMessage message;
    message.type = RaftMessageType::kAppend;
    message.entries.push_back({1, 1, EntryKind::kCommand, std::string(300000, 'x')});
    message.stamp = 0xfedcba9876543210;
    message.proof_lag = Milliseconds(7);
    const auto decoded = DecodeEnvelope(Encode(Envelope{"c", 1, message}));
    CPPUNIT_ASSERT(decoded.ok());
    const auto& back = std::get<RaftMessage>(decoded->body);
    CPPUNIT_ASSERT(back.entries.at(0).data == message.entries[0].data);
    CPPUNIT_ASSERT_EQUAL(message.stamp, back.stamp);
    CPPUNIT_ASSERT(back.proof_lag == message.proof_lag);
  }

  void GarbageIsRefusedOrHarmless() {
    const bool held = rc::check("garbage does no harm", [](const std::string& bytes) {
      // Random bytes are either refused or happen to be a message, which can be encoded again.
      const auto decoded = DecodeEnvelope(bytes);
      if (decoded.ok()) {
        RC_ASSERT(DecodeEnvelope(Encode(*decoded)).ok());
      }
    });
    CPPUNIT_ASSERT(held);
    std::string truncated = Encode(Envelope{"cluster", 1, ConfigFeed{1, true, "state", {}, 0}});
    truncated.resize(truncated.size() / 2);
    CPPUNIT_ASSERT(!DecodeEnvelope(truncated).ok());
  }

  void RunReportsAndNoticesSurvive() {
    RunReport report;
    report.lost = {{{1, 2}, 3, "leaf-a", "desk"}, {{4, 5}, 6, "leaf-b", "desk", 2}};
    report.succeeded = {{7, 8}};
    report.alive_leafs = {"leaf-c"};
    report.relayed = true;
    report.from_control = true;
    const auto decoded = DecodeEnvelope(Encode(Envelope{"c", 1, report}));
    CPPUNIT_ASSERT(decoded.ok());
    const auto& back = std::get<RunReport>(decoded->body);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, back.lost.size());
    CPPUNIT_ASSERT(back.lost[1].identity == report.lost[1].identity);
    CPPUNIT_ASSERT_EQUAL(uint64_t{6}, back.lost[1].attempt);
    CPPUNIT_ASSERT_EQUAL(std::string("leaf-b"), back.lost[1].leaf);
    CPPUNIT_ASSERT_EQUAL(std::string("desk"), back.lost[1].service);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, back.lost[1].trial);
    CPPUNIT_ASSERT(back.succeeded == report.succeeded);
    CPPUNIT_ASSERT(back.alive_leafs == report.alive_leafs);
    CPPUNIT_ASSERT(back.relayed);
    CPPUNIT_ASSERT(back.from_control);
    const auto decoded_ack = DecodeEnvelope(Encode(Envelope{"c", 1, RunReportAck{13}}));
    CPPUNIT_ASSERT(decoded_ack.ok());
    CPPUNIT_ASSERT_EQUAL(uint64_t{13}, std::get<RunReportAck>(decoded_ack->body).number);
    const SuspectNotice notice{{{9, 10}, {11, 12}}};
    const auto decoded_notice = DecodeEnvelope(Encode(Envelope{"c", 1, notice}));
    CPPUNIT_ASSERT(decoded_notice.ok());
    CPPUNIT_ASSERT(std::get<SuspectNotice>(decoded_notice->body).requests == notice.requests);
  }

  void TrialsSurvive() {
    const TrialRequest request{{1, 2}, 3, 4};
    const auto asked = DecodeEnvelope(Encode(Envelope{"c", 1, request}));
    CPPUNIT_ASSERT(asked.ok());
    const auto& back = std::get<TrialRequest>(asked->body);
    CPPUNIT_ASSERT(back.identity == request.identity);
    CPPUNIT_ASSERT_EQUAL(request.attempt, back.attempt);
    CPPUNIT_ASSERT_EQUAL(request.returned, back.returned);
    const TrialReply reply{{5, 6}, 7, TrialVerdict::kNotNeeded, 8, Milliseconds(9)};
    const auto replied = DecodeEnvelope(Encode(Envelope{"c", 1, reply}));
    CPPUNIT_ASSERT(replied.ok());
    const auto& back_reply = std::get<TrialReply>(replied->body);
    CPPUNIT_ASSERT(back_reply.identity == reply.identity);
    CPPUNIT_ASSERT_EQUAL(reply.attempt, back_reply.attempt);
    CPPUNIT_ASSERT(back_reply.verdict == reply.verdict);
    CPPUNIT_ASSERT_EQUAL(reply.number, back_reply.number);
    CPPUNIT_ASSERT(back_reply.retry_after == reply.retry_after);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace pumicedyke::wire
