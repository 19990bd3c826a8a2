// A gateway's decisions without sockets: routes, attempts, failures, partial answers, leaving
// leafs.
#include "gateway/gateway_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gateway/gateway_harness.h"
#include "gateway/record_merge.h"
#include "wire/packing.h"

namespace pumicedyke::gateway {
namespace {

constexpr char kPlain[] = R"([["one", "/one/", true, "desk"], ["job", "/job/", false, "desk"]])";
constexpr char kGather[] = R"([["all", "/all/", true, "s0", "s1", "s2", "s3"]])";

std::string Record(char byte) { return std::string(kRecordBytes, byte); }

}  // namespace

class GatewayServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayServerTest);
  CPPUNIT_TEST(WithoutRoutesARequestIsRefusedAfterAWhile);
  CPPUNIT_TEST(RequestRightAfterTheStartGetsARetryHint);
  CPPUNIT_TEST(EarlyRequestIsServedOnceThereAreRoutes);
  CPPUNIT_TEST(EarlyRequestEndsWithItsClient);
  CPPUNIT_TEST(TimeBeforeReadingCounts);
  CPPUNIT_TEST(ControlIsLostOnlyAfterFirstContact);
  CPPUNIT_TEST(OverdueHedgedSubRequestIsStopped);
  CPPUNIT_TEST(ForwardsALeafsAnswer);
  CPPUNIT_TEST(UnknownPathIsRefused);
  CPPUNIT_TEST(RepeatableIsRetriedUpToTheLimit);
  CPPUNIT_TEST(UnrepeatableIsNeverSentAfterItMayHaveRun);
  CPPUNIT_TEST(UnrepeatableIsRetriedAfterARefusal);
  CPPUNIT_TEST(RefusalIsNotForwardedAfterALaterTry);
  CPPUNIT_TEST(RefusalIsForwardedIfNothingRan);
  CPPUNIT_TEST(LeafsFailureResponseIsForwarded);
  CPPUNIT_TEST(GathersTheGreatestRecords);
  CPPUNIT_TEST(GatherRetriesALeafThatRefusesWithRoom);
  CPPUNIT_TEST(GatherLeavesAFullLeafAloneAfterItsAttempts);
  CPPUNIT_TEST(AnswersBeforeTheObjectiveWithEnoughShards);
  CPPUNIT_TEST(MarginDependsOnTheTimeSpentByTheClient);
  CPPUNIT_TEST(HedgesEarlyIfManyLeafsAreSlow);
  CPPUNIT_TEST(TooFewShardsAreNoSuccess);
  CPPUNIT_TEST(RetiredLeafGetsNothing);
  CPPUNIT_TEST(ManyRetirementsAreMergedTogether);
  CPPUNIT_TEST(ClientDisconnectStopsItsWork);
  CPPUNIT_TEST(RunningRequestKeepsItsShards);
  CPPUNIT_TEST(OlderDocumentIsIgnored);
  CPPUNIT_TEST(DrainingIsReportedToControlAtOnce);
  CPPUNIT_TEST(NamesOtherGatewaysToClients);
  CPPUNIT_TEST(PresenceToUnfollowedControlIsRarerInLargeFleets);
  CPPUNIT_TEST(LeafRetiredByAChangeAmongOthersIsClosedAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a presence load that grows with the fleet: with 1,000 gateways that sent
  /// presence messages to ten control machines twice a second, each machine received 2,000 messages
  /// per second in steady state.
  void PresenceToUnfollowedControlIsRarerInLargeFleets() {
    constexpr int kSeconds = 10;
    for (const uint32_t gateways : {20U, 985U, 8800U}) {
      GatewayHarness h;
      h.Put(1, kPlain);
      const std::vector<std::string> machines = {kControl, "10.0.0.2:7100", "10.0.0.3:7100"};
      int presences = 0;
      for (int i = 0; i < 2 * kSeconds; ++i) {
        h.AnswerHello();
        for (const std::string& machine : machines) {
          wire::LeafFeed feed;
          feed.version = 1;
          feed.gateways = gateways;
          feed.control = machines;
          h.server.OnControlMessage(h.now, machine, {"test", 0, feed});
        }
        h.Pass(Milliseconds(500));
        for (const ControlMessage& message : std::exchange(h.control, {})) {
          const bool presence =
              std::holds_alternative<wire::GatewayPresence>(message.envelope.body);
          presences += presence && message.address == machines[1] ? 1 : 0;
        }
      }
      const int max_presences = gateways == 20U ? 2 * kSeconds + 1 : kSeconds + 2;
      CPPUNIT_ASSERT(presences <= max_presences);
      // A gateway without a presence message for 1.8 s is no longer named to clients.
      CPPUNIT_ASSERT(presences >= kSeconds - 1);
    }
  }

  void LeafRetiredByAChangeAmongOthersIsClosedAtOnce() {
    GatewayHarness h;
    h.Put(1, kPlain);
    h.Report({GatewayHarness::Leaf("a", "desk"), GatewayHarness::Leaf("b", "desk")});
    config::Change change;
    change.kind = config::ChangeKind::kRetireLeaf;
    change.leaf = "a";
    wire::ConfigFeed feed;
    feed.version = 2;
    feed.changes = {{2, wire::Pack(Json(change).dump())}};
    h.server.OnControlMessage(h.now, kControl, {"test", 2, feed});
    h.Take();
    CPPUNIT_ASSERT(h.closed_leafs == std::vector<std::string>{"a"});
    for (int i = 0; i < 4; ++i) {
      h.Ask("/one/" + std::to_string(i));
      CPPUNIT_ASSERT_EQUAL(std::string("b"), h.sends.back().leaf);
      h.Reply(h.sends.back(), query::LeafStatus::kOk, "x");
    }
  }

  void NamesOtherGatewaysToClients() {
    GatewayHarness h;
    // Without routes it does not direct clients to itself, and it knows of no other gateways.
    CPPUNIT_ASSERT(h.server.GatewaysFor({"north", ""}).empty());
    h.Put(1, R"([["one", "/one/", true, "s0"]])");
    CPPUNIT_ASSERT(h.server.GatewaysFor({"north", ""}) == std::vector<std::string>{"10.0.0.9:80"});
    h.Peers({{"g0", "south", "g0:7500", "g0:80"},
             {"g1", "north", "g1:7500", "10.0.0.9:80"},
             {"g2", "north", "g2:7500", "g2:80"}});
    CPPUNIT_ASSERT(h.server.GatewaysFor({"north", ""}) ==
                   (std::vector<std::string>{"10.0.0.9:80", "g2:80", "g0:80"}));
    h.server.StartDraining(h.now);
    CPPUNIT_ASSERT(h.server.GatewaysFor({"north", ""}) ==
                   (std::vector<std::string>{"g2:80", "g0:80"}));
  }

  /// Long before routes can be expected, requests are refused at once with a retry hint.
  void RequestRightAfterTheStartGetsARetryHint() {
    GatewayHarness h;
    h.Ask("/one/1", Seconds(1));
    h.Pass(Duration(0));
    CPPUNIT_ASSERT(h.answers.at(0).code == ResultCode::kNotReady);
    CPPUNIT_ASSERT(h.answers.at(0).run == query::RunState::kNotRun);
    CPPUNIT_ASSERT(h.answers.at(0).retry_after >= GatewayKnobs{}.expected_start);
    CPPUNIT_ASSERT(h.server.Drained());
  }

  void WithoutRoutesARequestIsRefusedAfterAWhile() {
    GatewayHarness h;
    h.Pass(GatewayKnobs{}.expected_start);
    CPPUNIT_ASSERT(!h.server.ready());
    h.Ask("/one/1", Seconds(1));
    h.Pass(Milliseconds(499));
    CPPUNIT_ASSERT(h.answers.empty());
    CPPUNIT_ASSERT(!h.server.Drained());
    h.Pass(Milliseconds(1));
    CPPUNIT_ASSERT(h.server.Drained());
    CPPUNIT_ASSERT(h.answers.at(0).code == ResultCode::kNotReady);
    CPPUNIT_ASSERT(h.answers.at(0).run == query::RunState::kNotRun);
    CPPUNIT_ASSERT(h.answers.at(0).retry_after > Duration(0));
  }

  void EarlyRequestIsServedOnceThereAreRoutes() {
    GatewayHarness h;
    h.Pass(GatewayKnobs{}.expected_start);
    h.Ask("/one/1");
    h.Pass(Milliseconds(100));
    h.Report({GatewayHarness::Leaf("a", "desk")});
    h.Put(1, kPlain);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
    // The waiting time is deducted from the leaf's budget.
    CPPUNIT_ASSERT(h.sends[0].budget <= Milliseconds(900));
    h.Reply(h.sends[0], query::LeafStatus::kOk, "hello");
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), h.answers.at(0).payload->body);
  }

  void EarlyRequestEndsWithItsClient() {
    GatewayHarness h;
    h.Pass(GatewayKnobs{}.expected_start);
    const RequestId id = h.Ask("/one/1");
    h.server.OnClientDisconnected(h.now, id);
    h.Report({GatewayHarness::Leaf("a", "desk")});
    h.Put(1, kPlain);
    CPPUNIT_ASSERT(h.sends.empty());
    CPPUNIT_ASSERT(h.server.Drained());
  }

  void ControlIsLostOnlyAfterFirstContact() {
    GatewayHarness h;
    h.Pass(Milliseconds(10));
    CPPUNIT_ASSERT(h.links.empty());
    h.Report({});
    h.Take();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.links.size());
    CPPUNIT_ASSERT(h.links[0].up);
    h.Pass(Seconds(3));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.links.size());
    CPPUNIT_ASSERT(!h.links[1].up);
    h.Report({});
    h.Take();
    CPPUNIT_ASSERT(h.links.back().up);
  }

  void TimeBeforeReadingCounts() {
    GatewayHarness h;
    h.Put(1, kPlain);
    h.Report({GatewayHarness::Leaf("a", "desk")});
    h.Ask("/one/1", Seconds(1), Milliseconds(300));
    CPPUNIT_ASSERT(h.sends.at(0).budget <= Milliseconds(700));
  }

  /// The slower sub-request of a hedged pair is stopped if it is overdue; one that was just sent
  /// may finish.
  void OverdueHedgedSubRequestIsStopped() {
    GatewayHarness h;
    h.Put(1, R"([["all", "/all/", true, "s1", "s2"]])");
    h.Report({GatewayHarness::Leaf("a1", "s1"), GatewayHarness::Leaf("a2", "s1"),
              GatewayHarness::Leaf("b1", "s2"), GatewayHarness::Leaf("b2", "s2")});
    h.Ask("/all/1");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.sends.size());
    h.Pass(Milliseconds(79));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, h.sends.size());
    h.Reply(h.sends[2], query::LeafStatus::kOk, std::string(16, 'x'));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.cancels.size());
    CPPUNIT_ASSERT(h.cancels[0].id == h.sends[0].id);
    CPPUNIT_ASSERT(h.cancels[0].stop_work);
    h.Reply(h.sends[1], query::LeafStatus::kOk, std::string(16, 'y'));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.cancels.size());
    CPPUNIT_ASSERT(h.cancels[1].id == h.sends[3].id);
    CPPUNIT_ASSERT(!h.cancels[1].stop_work);
  }

  void ForwardsALeafsAnswer() {
    GatewayHarness h;
    h.Put(1, kPlain);
    h.Report({GatewayHarness::Leaf("a", "desk")});
    h.Ask("/one/1?x=y");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a:80"), h.sends[0].address);
    CPPUNIT_ASSERT_EQUAL(std::string("/one/1?x=y"), h.sends[0].request->target);
    CPPUNIT_ASSERT(h.sends[0].budget < Seconds(1));
    h.Reply(h.sends[0], query::LeafStatus::kOk, "hello");
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), h.answers.at(0).payload->body);
    CPPUNIT_ASSERT(h.server.Drained());
  }

  void UnknownPathIsRefused() {
    GatewayHarness h;
    h.Put(1, kPlain);
    h.Ask("/nowhere/1");
    CPPUNIT_ASSERT(h.answers.at(0).code == ResultCode::kUnknownPath);
  }

  void RepeatableIsRetriedUpToTheLimit() {
    GatewayHarness h;
    h.Put(1, kPlain);
    h.Report({GatewayHarness::Leaf("a", "desk"), GatewayHarness::Leaf("b", "desk"),
              GatewayHarness::Leaf("c", "desk")});
    h.Ask("/one/1");
    h.Reply(h.sends.at(0), query::LeafStatus::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.sends.size());
    CPPUNIT_ASSERT(h.sends[0].leaf != h.sends[1].leaf);
    h.Reply(h.sends.at(1), query::LeafStatus::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.sends.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
    CPPUNIT_ASSERT(h.answers[0].payload == nullptr);
    CPPUNIT_ASSERT(h.answers[0].run == query::RunState::kUnknown);
  }

  void UnrepeatableIsNeverSentAfterItMayHaveRun() {
    GatewayHarness h;
    h.Put(1, kPlain);
    h.Report({GatewayHarness::Leaf("a", "desk"), GatewayHarness::Leaf("b", "desk")});
    h.Ask("/job/1");
    h.Reply(h.sends.at(0), query::LeafStatus::kFailed);
    h.Pass(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
    CPPUNIT_ASSERT(h.answers.at(0).run == query::RunState::kUnknown);
  }

  void UnrepeatableIsRetriedAfterARefusal() {
    GatewayHarness h;
    h.Put(1, kPlain);
    h.Report({GatewayHarness::Leaf("a", "desk"), GatewayHarness::Leaf("b", "desk")});
    h.Ask("/job/1");
    h.Reply(h.sends.at(0), query::LeafStatus::kShed);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.sends.size());
    h.Reply(h.sends.at(1), query::LeafStatus::kShed);
    CPPUNIT_ASSERT(h.answers.at(0).run == query::RunState::kNotRun);
  }

  /// Guards against "not run" for work that may have run: the signed refusal of its first try was
  /// passed on after a later try.
  void RefusalIsNotForwardedAfterALaterTry() {
    for (const bool answered : {true, false}) {
      GatewayHarness h;
      h.Put(1, kPlain);
      h.Report({GatewayHarness::Leaf("a", "desk"), GatewayHarness::Leaf("b", "desk")});
      h.Ask("/job/1");
      h.Reply(h.sends.at(0), query::LeafStatus::kShed, "full", 503);
      CPPUNIT_ASSERT_EQUAL(size_t{2}, h.sends.size());
      if (answered) {
        h.Reply(h.sends.at(1), query::LeafStatus::kFailed);
      }
      h.Pass(Seconds(2));
      CPPUNIT_ASSERT(h.answers.at(0).run == query::RunState::kUnknown);
      CPPUNIT_ASSERT(h.answers.at(0).payload == nullptr);
    }
  }

  void RefusalIsForwardedIfNothingRan() {
    GatewayHarness h;
    h.Put(1, kPlain);
    h.Report({GatewayHarness::Leaf("a", "desk"), GatewayHarness::Leaf("b", "desk")});
    h.Ask("/job/1");
    h.Reply(h.sends.at(0), query::LeafStatus::kShed, "full", 503);
    h.Reply(h.sends.at(1), query::LeafStatus::kShed, "full", 503);
    CPPUNIT_ASSERT(h.answers.at(0).run == query::RunState::kNotRun);
    CPPUNIT_ASSERT_EQUAL(503, h.answers.at(0).payload->status);
  }

  void LeafsFailureResponseIsForwarded() {
    GatewayHarness h;
    h.Put(1, kPlain);
    h.Report({GatewayHarness::Leaf("a", "desk")});
    h.Ask("/job/1");
    h.Reply(h.sends.at(0), query::LeafStatus::kFailed, "broken", 500);
    CPPUNIT_ASSERT_EQUAL(500, h.answers.at(0).payload->status);
  }

  void GathersTheGreatestRecords() {
    GatewayHarness h;
    StartGathering(&h);
    h.Ask("/all/1");
    CPPUNIT_ASSERT_EQUAL(size_t{4}, h.sends.size());
    for (size_t i = 0; i < 4; ++i) {
      h.Reply(h.sends[i], query::LeafStatus::kOk, Record(static_cast<char>('a' + i)));
    }
    CPPUNIT_ASSERT_EQUAL(Record('d') + Record('c'), h.answers.at(0).records);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, h.answers[0].signatures.size());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, h.answers[0].missing_shards);
  }

  /// Guards against losing a shard after two refusals within two milliseconds.
  void GatherRetriesALeafThatRefusesWithRoom() {
    GatewayOptions options = GatewayHarness::Options();
    options.extra_load.burst = 100;
    GatewayHarness h(options);
    StartGathering(&h);
    h.Ask("/all/1");
    for (size_t i = 0; i < 3; ++i) {
      h.Reply(h.sends[i], query::LeafStatus::kOk, Record('a'));
    }
    for (size_t i = 3; i < 6; ++i) {
      CPPUNIT_ASSERT_EQUAL(i + 1, h.sends.size());
      CPPUNIT_ASSERT_EQUAL(h.sends[3].leaf, h.sends[i].leaf);
      h.Reply(h.sends[i], query::LeafStatus::kShed);
      // Not at once, because the leaf has just refused.
      CPPUNIT_ASSERT_EQUAL(i + 1, h.sends.size());
      h.Pass(Milliseconds(3));
    }
    h.Reply(h.sends.at(6), query::LeafStatus::kOk, Record('b'));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, h.answers.at(0).signatures.size());
  }

  void GatherLeavesAFullLeafAloneAfterItsAttempts() {
    constexpr uint32_t kFull = 50;
    GatewayHarness h;
    StartGathering(&h);
    h.Ask("/all/1");
    for (size_t i = 0; i < 3; ++i) {
      h.Reply(h.sends[i], query::LeafStatus::kOk, Record('a'));
    }
    h.Reply(h.sends[3], query::LeafStatus::kShed, "", 200, kFull);
    h.Pass(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{5}, h.sends.size());
    h.Reply(h.sends[4], query::LeafStatus::kShed, "", 200, kFull);
    // No further result is possible, so the partial answer is sent.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.at(0).missing_shards);
    CPPUNIT_ASSERT_EQUAL(size_t{5}, h.sends.size());
  }

  void AnswersBeforeTheObjectiveWithEnoughShards() {
    GatewayHarness h;
    StartGathering(&h);
    h.Ask("/all/1");
    h.Reply(h.sends[0], query::LeafStatus::kOk, Record('a'));
    h.Reply(h.sends[1], query::LeafStatus::kOk, Record('b'));
    h.Pass(Milliseconds(75));
    CPPUNIT_ASSERT(h.answers.empty());
    h.Pass(Milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
    CPPUNIT_ASSERT(h.answers[0].gathered);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.answers[0].missing_shards);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.answers[0].signatures.size());
  }

  /// The route's time-out is two seconds, which is also the clients' time-out.
  void MarginDependsOnTheTimeSpentByTheClient() {
    struct Case {
      Duration client_deadline;
      Duration answered;
    };
    for (const Case& c :
         {Case{Seconds(2), Milliseconds(90)}, Case{Milliseconds(1970), Milliseconds(60)},
          // More time spent than the objective allows: the client has started over.
          Case{Milliseconds(1500), Milliseconds(80)}}) {
      GatewayHarness h;
      StartGathering(&h);
      h.Ask("/all/1", c.client_deadline);
      h.Reply(h.sends[0], query::LeafStatus::kOk, Record('a'));
      h.Reply(h.sends[1], query::LeafStatus::kOk, Record('b'));
      h.Pass(c.answered - Milliseconds(1));
      CPPUNIT_ASSERT(h.answers.empty());
      h.Pass(Milliseconds(1));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
    }
  }

  /// A quarter of the shards take 60 ms, the others 10 ms: a high quantile lies among the slow
  /// ones.
  void HedgesEarlyIfManyLeafsAreSlow() {
    GatewayHarness h;
    h.Put(1, kGather);
    std::vector<wire::LeafRecord> leafs;
    for (const char* service : {"s0", "s1", "s2", "s3"}) {
      leafs.push_back(GatewayHarness::Leaf(std::string(service) + "-a", service));
    }
    h.Report(leafs);
    for (int i = 0; i < 12; ++i) {
      h.sends.clear();
      h.Ask("/all/" + std::to_string(i));
      h.Pass(Milliseconds(10));
      for (size_t shard = 0; shard < 3; ++shard) {
        h.Reply(h.sends[shard], query::LeafStatus::kOk, Record('a'));
      }
      h.Pass(Milliseconds(50));
      h.Reply(h.sends[3], query::LeafStatus::kOk, Record('a'));
    }
    for (const char* service : {"s0", "s1", "s2", "s3"}) {
      leafs.push_back(GatewayHarness::Leaf(std::string(service) + "-b", service));
    }
    h.Report(leafs);
    h.Pass(Seconds(1));
    h.sends.clear();
    h.Ask("/all/x");
    h.Pass(Milliseconds(14));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, h.sends.size());
    h.Pass(Milliseconds(11));
    CPPUNIT_ASSERT(h.sends.size() > 4);
  }

  void TooFewShardsAreNoSuccess() {
    GatewayHarness h;
    StartGathering(&h);
    h.Ask("/all/1", Milliseconds(500));
    h.Reply(h.sends[0], query::LeafStatus::kOk, Record('a'));
    h.Pass(Milliseconds(480));
    CPPUNIT_ASSERT(h.answers.empty());
    h.Pass(Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
    CPPUNIT_ASSERT(!h.answers[0].gathered);
  }

  void RetiredLeafGetsNothing() {
    GatewayHarness h;
    h.Put(1, kPlain);
    h.Report({GatewayHarness::Leaf("a", "desk"), GatewayHarness::Leaf("b", "desk")});
    h.Retire("a");
    for (int i = 0; i < 4; ++i) {
      h.Ask("/one/1");
      h.Reply(h.sends.back(), query::LeafStatus::kOk, "x");
    }
    for (const LeafSend& send : h.sends) {
      CPPUNIT_ASSERT_EQUAL(std::string("b"), send.leaf);
    }
    // A late report of a control machine that does not know of the retirement has no effect.
    h.Report({GatewayHarness::Leaf("a", "desk")});
    h.Ask("/one/1");
    CPPUNIT_ASSERT_EQUAL(std::string("b"), h.sends.back().leaf);
  }

  /// Each leaf of an old index is retired by a change of its own. The list of leafs is not
  /// processed for each change, but none of the leafs receives requests for long.
  void ManyRetirementsAreMergedTogether() {
    constexpr int kLeafs = 300;
    GatewayHarness h;
    h.Put(1, kPlain);
    std::vector<wire::LeafRecord> leafs = {GatewayHarness::Leaf("stays", "desk")};
    for (int i = 0; i < kLeafs; ++i) {
      leafs.push_back(GatewayHarness::Leaf("old" + std::to_string(i), "desk"));
    }
    h.Report(leafs);
    h.Pass(Seconds(1));
    const uint64_t before = h.server.leafs().merges();
    for (int i = 0; i < kLeafs; ++i) {
      h.Retire("old" + std::to_string(i));
      h.Pass(Milliseconds(2));
    }
    CPPUNIT_ASSERT(h.server.leafs().merges() - before <= 20);
    h.Pass(Milliseconds(600));
    for (int i = 0; i < 8; ++i) {
      h.Ask("/one/" + std::to_string(i));
      CPPUNIT_ASSERT_EQUAL(std::string("stays"), h.sends.back().leaf);
      h.Reply(h.sends.back(), query::LeafStatus::kOk, "x");
    }
  }

  void ClientDisconnectStopsItsWork() {
    GatewayHarness h;
    StartGathering(&h);
    const RequestId id = h.Ask("/all/1");
    h.server.OnClientDisconnected(h.now, id);
    h.Take();
    CPPUNIT_ASSERT_EQUAL(size_t{4}, h.cancels.size());
    for (const LeafCancel& cancel : h.cancels) {
      CPPUNIT_ASSERT(cancel.stop_work);
    }
    CPPUNIT_ASSERT(h.server.Drained());
    h.Reply(h.sends[0], query::LeafStatus::kOk, Record('a'));
    CPPUNIT_ASSERT(h.answers.empty());
  }

  /// A document with other shards arrives while a request runs.
  void RunningRequestKeepsItsShards() {
    GatewayHarness h;
    StartGathering(&h);
    h.Ask("/all/1");
    h.Put(2, R"([["all", "/all/", true, "s2", "s3"]])");
    for (size_t i = 0; i < 4; ++i) {
      h.Reply(h.sends[i], query::LeafStatus::kOk, Record('a'));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{4}, h.answers.at(0).signatures.size());
    h.Ask("/all/2");
    CPPUNIT_ASSERT_EQUAL(size_t{6}, h.sends.size());
  }

  void OlderDocumentIsIgnored() {
    GatewayHarness h;
    h.Put(5, kPlain);
    h.Put(4, kGather);
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, h.server.document_version());
  }

  void DrainingIsReportedToControlAtOnce() {
    GatewayHarness h;
    h.Put(1, kPlain);
    CPPUNIT_ASSERT(h.server.ready());
    h.control.clear();
    h.server.StartDraining(h.now);
    h.Take();
    CPPUNIT_ASSERT(!h.server.ready());
    const auto& presence = std::get<wire::GatewayPresence>(h.control.at(0).envelope.body);
    CPPUNIT_ASSERT(!presence.serving);
  }

 private:
  static void StartGathering(GatewayHarness* harness) {
    harness->Put(1, kGather);
    std::vector<wire::LeafRecord> leafs;
    for (const char* service : {"s0", "s1", "s2", "s3"}) {
      leafs.push_back(GatewayHarness::Leaf(std::string(service) + "-a", service));
    }
    harness->Report(leafs);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayServerTest);

}  // namespace pumicedyke::gateway
