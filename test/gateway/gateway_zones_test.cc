// Requests to leafs of evacuated zones (none) and to cold leafs (a limited share).
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "gateway/gateway_harness.h"

namespace pumicedyke::gateway {
namespace {

constexpr size_t kShards = 100;

wire::LeafRecord LeafIn(const std::string& zone, const std::string& id,
                        const std::string& service) {
  wire::LeafRecord record = GatewayHarness::Leaf(id, service);
  record.zone = zone;
  return record;
}

std::string OneService() { return Json::array({{"one", "/one/", true, "s0"}}).dump(); }

std::string TwoShards() { return Json::array({{"all", "/all/", true, "s0", "s1"}}).dump(); }

GatewayOptions OptionsOf(const std::string& node) {
  GatewayOptions options = GatewayHarness::Options();
  options.node = node;
  options.zone = "north";
  options.peer_address = node + ":7500";
  return options;
}

}  // namespace

class GatewayZonesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayZonesTest);
  CPPUNIT_TEST(NothingGoesToAnEvacuatedZone);
  CPPUNIT_TEST(RunningRequestIsNotRetriedInTheZone);
  CPPUNIT_TEST(MergerSendsNothingIntoTheZone);
  CPPUNIT_TEST(ClosedLeafsAreReported);
  CPPUNIT_TEST(WithoutAUsableLeafRequestsAreRefusedAtOnce);
  CPPUNIT_TEST(GatherAnswersWithTheRemainingShards);
  CPPUNIT_TEST(RestoredZoneServesAgain);
  CPPUNIT_TEST(ColdLeafIsNotOverloadedByAllGatewaysTogether);
  CPPUNIT_TEST(ColdShardIsNotOverloadedByItsMergers);
  CPPUNIT_TEST(LeafsOfARestoredZoneCountAsCold);
  CPPUNIT_TEST(RequestsStayInAllowedRegions);
  CPPUNIT_TEST(PartialQueriesGoToAllowedRegionsAndNameThem);
  CPPUNIT_TEST(MergerUsesLeafsOfAllowedRegionsOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Two zones in the region west, one in the region east.
  static GatewayOptions TwoRegions() {
    GatewayOptions options = OptionsOf("g1");
    options.regions = RegionMap({{"north", "west"}, {"south", "west"}, {"far", "east"}});
    return options;
  }

  void RequestsStayInAllowedRegions() {
    GatewayHarness h(TwoRegions());
    h.SetAllowedRegions({"east"});
    h.Put(1, OneService());
    h.Report({LeafIn("north", "n", "s0"), LeafIn("far", "f", "s0")});
    for (int i = 0; i < 20; ++i) {
      h.Ask("/one/1");
      CPPUNIT_ASSERT_EQUAL(std::string("f"), h.sends.back().leaf);
      h.Reply(h.sends.back(), query::LeafStatus::kOk, "x");
    }
    // Without a leaf in an allowed region the request is refused, not sent elsewhere.
    h.SetAllowedRegions({"south-east"});
    h.Put(2, OneService());
    const size_t sent = h.sends.size();
    h.Ask("/one/1");
    CPPUNIT_ASSERT_EQUAL(sent, h.sends.size());
    CPPUNIT_ASSERT(h.answers.back().run == query::RunState::kNotRun);
  }

  void PartialQueriesGoToAllowedRegionsAndNameThem() {
    GatewayOptions options = TwoRegions();
    options.processor_share = 0.12;
    GatewayHarness h(options);
    h.SetAllowedRegions({"east"});
    Json route = {"all", "/all/", true};
    std::vector<wire::LeafRecord> leafs;
    for (size_t i = 0; i < kShards; ++i) {
      const std::string service = "s" + std::to_string(i);
      route.push_back(service);
      leafs.push_back(LeafIn("north", "n" + service, service));
      leafs.push_back(LeafIn("far", "f" + service, service));
    }
    h.Put(1, Json::array({route}).dump());
    h.Report(leafs);
    std::vector<wire::GatewayRecord> peers;
    for (const char* zone : {"north", "far"}) {
      for (int i = 0; i < 8; ++i) {
        const std::string node = std::string(zone) + std::to_string(i);
        peers.push_back({node, zone, node + ":7500"});
      }
    }
    h.Peers(peers);
    h.Pass(Milliseconds(200));
    h.Ask("/all/1");
    CPPUNIT_ASSERT(!h.peer_messages.empty());
    for (const PeerMessage& message : h.peer_messages) {
      CPPUNIT_ASSERT_EQUAL(size_t{0}, message.address.find("far"));
      const auto& query = std::get<wire::PartialQuery>(message.envelope.body);
      CPPUNIT_ASSERT(query.allowed_regions == std::vector<std::string>{"east"});
    }
  }

  void MergerUsesLeafsOfAllowedRegionsOnly() {
    GatewayHarness h(TwoRegions());
    h.Put(1, TwoShards());
    h.Report({LeafIn("north", "a0", "s0"), LeafIn("far", "b0", "s0"), LeafIn("north", "a1", "s1")});
    wire::PartialQuery query;
    query.id = 1;
    query.route = "all";
    query.budget = Seconds(1);
    query.objective = Milliseconds(100);
    query.shards = {"s0", "s1"};
    query.allowed_regions = {"east"};
    h.server.OnPeerRequest(h.now, 3, {"test", 1, query}, h.now);
    h.Take();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b0"), h.sends[0].leaf);
  }

  void NothingGoesToAnEvacuatedZone() {
    GatewayHarness h(OptionsOf("g1"));
    h.Put(1, OneService());
    h.Report({LeafIn("north", "n", "s0"), LeafIn("south", "s", "s0")});
    h.Evacuate("north");
    for (int i = 0; i < 20; ++i) {
      h.Ask("/one/1");
      CPPUNIT_ASSERT_EQUAL(std::string("s"), h.sends.back().leaf);
      h.Reply(h.sends.back(), query::LeafStatus::kOk, "x");
    }
  }

  void RunningRequestIsNotRetriedInTheZone() {
    GatewayHarness h(OptionsOf("g1"));
    h.Put(1, TwoShards());
    h.Report(
        {LeafIn("north", "a0", "s0"), LeafIn("south", "b0", "s0"), LeafIn("north", "a1", "s1")});
    h.Ask("/all/1");
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.sends.size());
    h.Evacuate("north");
    h.Evacuate("south");
    // Neither hedges nor retries: all other leafs are in the two zones.
    h.Reply(h.sends[0], query::LeafStatus::kShed);
    h.Pass(Milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.sends.size());
  }

  void MergerSendsNothingIntoTheZone() {
    GatewayHarness h(OptionsOf("g1"));
    h.Put(1, TwoShards());
    h.Report(
        {LeafIn("north", "a0", "s0"), LeafIn("south", "b0", "s0"), LeafIn("north", "a1", "s1")});
    h.Evacuate("north");
    wire::PartialQuery query;
    query.id = 1;
    query.route = "all";
    query.budget = Seconds(1);
    query.report_after = Milliseconds(50);
    query.objective = Milliseconds(100);
    query.top_records = 2;
    query.shards = {"s0", "s1"};
    h.server.OnPeerRequest(h.now, 3, {"test", 1, query}, h.now);
    h.Take();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b0"), h.sends[0].leaf);
  }

  void ClosedLeafsAreReported() {
    GatewayHarness h(OptionsOf("g1"));
    h.Put(1, OneService());
    h.Report({LeafIn("north", "n", "s0"), LeafIn("south", "s", "s0")});
    h.Evacuate("north");
    CPPUNIT_ASSERT(h.closed_leafs == std::vector<std::string>{"n"});
    h.Retire("s");
    CPPUNIT_ASSERT_EQUAL(std::string("s"), h.closed_leafs.back());
  }

  void WithoutAUsableLeafRequestsAreRefusedAtOnce() {
    GatewayHarness h(OptionsOf("g1"));
    h.Put(1, OneService());
    h.Report({LeafIn("north", "n", "s0")});
    h.Evacuate("north");
    h.Ask("/one/1");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
    CPPUNIT_ASSERT(h.answers[0].run == query::RunState::kNotRun);
    CPPUNIT_ASSERT(h.answers[0].code != ResultCode::kOk);
    CPPUNIT_ASSERT(h.answers[0].retry_after > Duration(0));
  }

  void GatherAnswersWithTheRemainingShards() {
    GatewayHarness h(OptionsOf("g1"));
    h.Put(1, TwoShards());
    h.Report({LeafIn("north", "a0", "s0"), LeafIn("south", "b1", "s1")});
    h.Evacuate("north");
    h.Ask("/all/1");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
    h.Reply(h.sends[0], query::LeafStatus::kOk, "0123456789abcdef");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
    CPPUNIT_ASSERT(h.answers[0].code == ResultCode::kPartial);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers[0].missing_shards);
  }

  void RestoredZoneServesAgain() {
    GatewayHarness h(OptionsOf("g1"));
    h.Put(1, OneService());
    h.Report({LeafIn("north", "n", "s0")});
    h.Evacuate("north");
    h.Restore("north");
    h.Ask("/one/1");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
  }

  void ColdLeafIsNotOverloadedByAllGatewaysTogether() {
    constexpr int kGateways = 40;
    constexpr double kColdRate = 6;
    std::vector<wire::GatewayRecord> peers;
    for (int i = 0; i < kGateways; ++i) {
      const std::string node = "g" + std::to_string(i);
      peers.push_back({node, "north", node + ":7500"});
    }
    size_t sent = 0;
    std::vector<std::unique_ptr<GatewayHarness>> fleet;
    for (const wire::GatewayRecord& peer : peers) {
      auto h = std::make_unique<GatewayHarness>(OptionsOf(peer.node));
      h->SetColdRequestsPerSecond(kColdRate);
      h->Put(1, OneService());
      h->Peers(peers);
      wire::LeafRecord cold = LeafIn("north", "n", "s0");
      cold.cold_milliseconds = 3000;
      h->Report({cold});
      fleet.push_back(std::move(h));
    }
    for (int step = 0; step < 100; ++step) {
      for (const auto& h : fleet) {
        h->Pass(Milliseconds(20));
        h->Ask("/one/1");
        for (const LeafSend& send : std::exchange(h->sends, {})) {
          ++sent;
          h->Reply(send, query::LeafStatus::kOk, "x");
        }
      }
    }
    // Within two seconds, fewer requests than the leaf can take, but some.
    CPPUNIT_ASSERT(sent <= static_cast<size_t>(2 * kColdRate));
    CPPUNIT_ASSERT(sent >= 4);
  }

  void ColdShardIsNotOverloadedByItsMergers() {
    Json route = {"all", "/all/", true};
    std::vector<wire::LeafRecord> leafs;
    for (size_t i = 0; i < kShards; ++i) {
      route.push_back("s" + std::to_string(i));
      leafs.push_back(LeafIn("north", "leaf" + std::to_string(i), "s" + std::to_string(i)));
      leafs.back().cold_milliseconds = 3000;
    }
    std::vector<wire::GatewayRecord> peers;
    for (int i = 0; i < 20; ++i) {
      const std::string node = "g" + std::to_string(i);
      peers.push_back({node, "north", node + ":7500"});
    }
    std::map<std::string, size_t> sent;
    for (const wire::GatewayRecord& peer : peers) {
      GatewayOptions options = OptionsOf(peer.node);
      options.processor_share = 0.12;
      GatewayHarness h(options);
      h.SetColdRequestsPerSecond(8);
      h.Put(1, Json::array({route}).dump());
      h.Peers(peers);
      h.Report(leafs);
      h.Take();
      // Every gateway continuously receives queries over all shards.
      for (uint64_t step = 0; step < 50; ++step) {
        h.Pass(Milliseconds(20));
        wire::PartialQuery query;
        query.id = step + 1;
        query.route = "all";
        query.budget = Seconds(1);
        query.objective = Milliseconds(100);
        query.report_after = Milliseconds(50);
        query.groups = 7;
        for (size_t i = 0; i < kShards; ++i) {
          query.shards.push_back("s" + std::to_string(i));
        }
        h.server.OnPeerRequest(h.now, 3, {"test", 1, query}, h.now);
        h.Take();
        for (const LeafSend& send : std::exchange(h.sends, {})) {
          ++sent[send.leaf];
          h.Reply(send, query::LeafStatus::kOk, "0123456789abcdef");
        }
      }
    }
    CPPUNIT_ASSERT(sent.size() > kShards / 2);
    for (const auto& [leaf, count] : sent) {
      CPPUNIT_ASSERT_MESSAGE(leaf + ": " + std::to_string(count), count <= 8);
    }
  }

  void LeafsOfARestoredZoneCountAsCold() {
    GatewayHarness h(OptionsOf("g1"));
    h.SetColdRequestsPerSecond(1);
    h.Put(1, OneService());
    h.Report({LeafIn("north", "n", "s0")});
    h.Evacuate("north");
    h.Restore("north");
    for (int i = 0; i < 10; ++i) {
      h.Ask("/one/1");
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, h.sends.size());
    CPPUNIT_ASSERT_EQUAL(size_t{10}, h.answers.size());
    h.Pass(Seconds(3));
    h.Ask("/one/1");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayZonesTest);

}  // namespace pumicedyke::gateway
