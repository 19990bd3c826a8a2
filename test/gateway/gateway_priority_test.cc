// Tight objectives and priorities at a gateway, without sockets.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway_harness.h"
#include "gateway/gateway_server.h"
#include "gateway/record_merge.h"

namespace pumicedyke::gateway {
namespace {

constexpr size_t kShards = 90;
/// Objective and time-out of the harness's routes.
constexpr Duration kObjective = Milliseconds(100);
constexpr Duration kClientTimeout = Seconds(2);
/// A shard result at this time was too late for the default margin, with which answers leave after
/// 87 ms.
constexpr Duration kLateResult = Milliseconds(88);
/// Resolution of the test's event loop.
constexpr Duration kStep = Milliseconds(1);

std::string Service(size_t i) { return "s" + std::to_string(i); }

/// A gateway of 0.12 cores that shares requests over 90 shards with five others.
struct Root {
  Root() : h(Options()) {
    Json route = {"all", "/all/", true};
    std::vector<wire::LeafRecord> leafs;
    for (size_t i = 0; i < kShards; ++i) {
      route.push_back(Service(i));
      leafs.push_back(GatewayHarness::Leaf("leaf" + std::to_string(i), Service(i)));
    }
    h.Put(1, Json::array({route}).dump());
    h.Report(leafs);
    std::vector<wire::GatewayRecord> peers;
    for (const char* node : {"g1", "g2", "g3", "g4", "g5", "g6"}) {
      peers.push_back({node, "north", std::string(node) + ":7500"});
    }
    h.Peers(peers);
    h.Take();
  }
  static GatewayOptions Options() {
    GatewayOptions options = GatewayHarness::Options();
    options.zone = "north";
    options.peer_address = "10.0.0.9:7500";
    options.processor_share = 0.12;
    return options;
  }

  void Ask(Duration round_trip, Duration client_deadline = kClientTimeout) {
    queries.clear();
    h.peer_messages.clear();
    h.answers.clear();
    auto request = std::make_shared<PayloadRequest>();
    request->request_id = "r" + std::to_string(++request_count);
    request->method = "GET";
    request->target = "/all/" + std::to_string(request_count);
    request->host = kHost;
    request->deadline = client_deadline;
    request->round_trip = round_trip;
    started = h.now;
    h.server.OnRequest(h.now, RequestId{1000 + request_count}, std::move(request), h.now);
    h.Take();
    for (const PeerMessage& message : h.peer_messages) {
      if (const auto* query = std::get_if<wire::PartialQuery>(&message.envelope.body)) {
        queries.push_back(*query);
        addresses.push_back(message.address);
      }
    }
  }
  /// Sends the results of all shards of a group but the first `missing` ones.
  void SendAnswer(size_t group, uint32_t missing) {
    const wire::PartialQuery& query = queries.at(group);
    wire::PartialAnswer answer;
    answer.id = query.id;
    answer.stage = missing == 0 ? wire::PartialStage::kDone : wire::PartialStage::kShardResults;
    for (uint32_t i = missing; i < query.shards.size(); ++i) {
      answer.parts.push_back({i, "sig"});
    }
    answer.records = std::string(kRecordBytes, 'a');
    h.server.OnPeerReply(h.now, addresses.at(group), {"test", 1, answer});
    h.Take();
  }
  /// Runs a request for which two shards of the first group are late or missing.
  /// @return the time from the request's arrival to its answer.
  Duration AnswerWithoutTwo(Duration round_trip, Duration lag,
                            Duration client_deadline = kClientTimeout,
                            std::optional<Duration> late = std::nullopt) {
    Ask(round_trip, client_deadline);
    h.Pass(Milliseconds(20));
    for (size_t i = 0; i < queries.size(); ++i) {
      SendAnswer(i, i == 0 ? 2 : 0);
    }
    while (h.answers.empty() && h.now < started + Seconds(3)) {
      h.Pass(kStep);
      if (h.answers.empty() && late.has_value() && h.now >= started + *late) {
        SendAnswer(0, 0);
      }
    }
    const Duration took = h.now - started;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
    h.server.OnAnswerWritten(h.now + lag, h.answers[0].trace);
    return took;
  }
  /// As AnswerWithoutTwo() without the late results, after enough answers with this lag, half of
  /// which included them.
  Duration Learn(Duration round_trip, Duration lag) {
    for (int i = 0; i < 100; ++i) {
      const std::optional<Duration> late = i % 2 == 0 ? std::optional(kLateResult) : std::nullopt;
      AnswerWithoutTwo(round_trip, lag, kClientTimeout, late);
    }
    return AnswerWithoutTwo(round_trip, lag);
  }

  GatewayHarness h;
  Timestamp started{};
  std::vector<wire::PartialQuery> queries;
  std::vector<std::string> addresses;
  uint64_t request_count = 0;
};

}  // namespace

class GatewayPriorityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayPriorityTest);
  CPPUNIT_TEST(WithoutARoundTripTheFixedMarginApplies);
  CPPUNIT_TEST(KnownRoundTripAndSmallLagLeaveMoreTime);
  CPPUNIT_TEST(LargeLagIsLearned);
  CPPUNIT_TEST(TimeSpentByTheClientIsDeducted);
  CPPUNIT_TEST(UrgentRequestsAreSentFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WithoutARoundTripTheFixedMarginApplies() {
    Root root;
    const GatewayKnobs knobs;
    const Duration processing = TimeForPartialAnswers(6, 0.12, knobs.sharing_costs);
    const Duration took = root.AnswerWithoutTwo(Duration(0), Milliseconds(1));
    CPPUNIT_ASSERT(took >= kObjective - knobs.network_margin - processing - kStep);
    CPPUNIT_ASSERT(took <= kObjective - knobs.network_margin);
  }

  /// The latency to the client is 3 ms, and answers are written within 1 ms.
  void KnownRoundTripAndSmallLagLeaveMoreTime() {
    Root root;
    const Duration took = root.Learn(Milliseconds(6), Milliseconds(1));
    CPPUNIT_ASSERT(took >= kLateResult);
    CPPUNIT_ASSERT(took + Milliseconds(6) + Milliseconds(1) <= kObjective + kStep);
  }

  /// More than ten times that lag: the event loop is overloaded.
  void LargeLagIsLearned() {
    Root root;
    const Duration lag = Milliseconds(30);
    const Duration took = root.Learn(Milliseconds(6), lag);
    CPPUNIT_ASSERT(took + Milliseconds(6) + lag <= kObjective + kStep);
  }

  void TimeSpentByTheClientIsDeducted() {
    Root root;
    const Duration usual = root.Learn(Milliseconds(6), Milliseconds(1));
    const Duration spent = Milliseconds(15);
    const Duration took =
        root.AnswerWithoutTwo(Milliseconds(6), Milliseconds(1), kClientTimeout - spent);
    CPPUNIT_ASSERT(took <= usual - spent + 3 * kStep);
  }

  /// A merger has queries of several priorities: its sub-requests for the most urgent one precede
  /// those of queries that arrived before.
  void UrgentRequestsAreSentFirst() {
    Root root;
    for (const uint32_t priority : {4, 0, 2}) {
      wire::PartialQuery query;
      query.id = 10 + priority;
      query.route = "all";
      query.method = "GET";
      query.budget = Milliseconds(500);
      query.objective = kObjective;
      query.max_attempts = 1;
      query.groups = 6;
      query.priority = priority;
      query.shards = {Service(2 * priority), Service(2 * priority + 1)};
      root.h.server.OnPeerRequest(root.h.now, 3, {"test", 1, query}, root.h.now);
    }
    root.h.Take();
    CPPUNIT_ASSERT_EQUAL(size_t{6}, root.h.sends.size());
    const auto urgent_first = [](const auto& a, const auto& b) { return a.priority < b.priority; };
    CPPUNIT_ASSERT(std::is_sorted(root.h.sends.begin(), root.h.sends.end(), urgent_first));
    CPPUNIT_ASSERT(
        std::is_sorted(root.h.peer_replies.begin(), root.h.peer_replies.end(), urgent_first));
    CPPUNIT_ASSERT_EQUAL(4, root.h.sends.back().priority);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayPriorityTest);

}  // namespace pumicedyke::gateway
