// Limits of tenants enforced by three gateways that are connected by the test.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "gateway/gateway_harness.h"
#include "limits/lender_placement.h"

namespace pumicedyke::gateway {
namespace {

constexpr size_t kGateways = 3;
constexpr char kKey[] = "hush";
constexpr Duration kWarmUp = Seconds(14);

std::string NodeAt(size_t i) { return "g" + std::to_string(i + 1); }
std::string AddressAt(size_t i) { return NodeAt(i) + ":7500"; }

/// Three gateways that know each other, with one tenant limited to one request per second.
struct ThreeGateways {
  explicit ThreeGateways(Duration window = Seconds(5)) {
    tenants::Tenant tenant;
    tenant.name = "acme";
    tenant.api_keys = {kKey};
    tenant.requests_per_second = 1;
    tenant.burst = 2;
    std::vector<wire::GatewayRecord> peers;
    for (size_t i = 0; i < kGateways; ++i) {
      peers.push_back({NodeAt(i), "north", AddressAt(i)});
    }
    for (size_t i = 0; i < kGateways; ++i) {
      GatewayOptions options = GatewayHarness::Options();
      options.node = NodeAt(i);
      options.zone = "north";
      options.peer_address = AddressAt(i);
      options.entry.limits.bound = {window, 0.1, 20};
      harnesses.push_back(std::make_unique<GatewayHarness>(options));
      GatewayHarness& h = *harnesses.back();
      h.SetTenants(std::vector{tenant});
      h.Put(1, Json::array({{"one", "/one/", true, "s0"}}).dump());
      h.Report({GatewayHarness::Leaf("a", "s0"), GatewayHarness::Leaf("b", "s0")});
      h.Peers(peers);
    }
    Pass(kWarmUp);
  }

  /// Returns the index of the gateway that lends the tenant's budget.
  static size_t Lender() {
    limits::LenderPlacement placement;
    placement.SetAccounts({{"acme", 0}});
    std::vector<limits::LimitGateway> gateways;
    for (size_t i = 0; i < kGateways; ++i) {
      gateways.push_back({NodeAt(i), AddressAt(i), "north"});
    }
    placement.SetGateways(gateways);
    const std::string node = placement.Find({"acme", 0}).primary->node;
    return node == NodeAt(0) ? 0 : node == NodeAt(1) ? 1 : 2;
  }

  /// Delivers messages between the gateways until no more are sent.
  void DeliverMessages() {
    for (bool delivered_all = false; !delivered_all;) {
      delivered_all = true;
      for (size_t from = 0; from < kGateways; ++from) {
        for (const PeerMessage& message : std::exchange(harnesses[from]->peer_messages, {})) {
          delivered_all = false;
          Deliver(from, message);
        }
        for (const PeerReply& reply : std::exchange(harnesses[from]->peer_replies, {})) {
          delivered_all = false;
          GatewayHarness& to = *harnesses[reply.session - 1];
          to.server.OnPeerReply(to.now, AddressAt(from), reply.envelope);
          to.Take();
        }
      }
    }
  }
  void Deliver(size_t from, const PeerMessage& message) {
    for (size_t to = 0; to < kGateways; ++to) {
      if (message.address == AddressAt(to) && !unreachable.contains(to)) {
        harnesses[to]->server.OnPeerRequest(harnesses[to]->now, from + 1, message.envelope,
                                            harnesses[to]->now);
        harnesses[to]->Take();
      }
    }
  }
  /// Advances the time while control continues to prove the configuration.
  void Pass(Duration length) {
    constexpr Duration kInterval = Milliseconds(10);
    for (Duration passed{}; passed < length; passed += kInterval) {
      for (const auto& h : harnesses) {
        wire::ConfigFeed feed;
        feed.version = h->server.config_version();
        feed.echo = static_cast<uint64_t>(h->now.time_since_epoch().count());
        h->server.OnControlMessage(h->now, kControl, {"test", feed.version, feed});
        h->Pass(kInterval);
      }
      DeliverMessages();
      Serve();
    }
  }
  /// @return the number of sub-requests sent to leafs.
  size_t Ask(size_t gateway, int count) {
    GatewayHarness& h = *harnesses[gateway];
    const size_t before = h.sends.size();
    for (int i = 0; i < count; ++i) {
      h.AskWithKey("/one/" + std::to_string(++request_count), kKey);
      DeliverMessages();
      Serve();
    }
    return h.sends.size() - before;
  }
  /// Answers all sub-requests sent to leafs.
  void Serve() {
    for (size_t i = 0; i < kGateways; ++i) {
      while (served[i] < harnesses[i]->sends.size()) {
        const LeafSend send = harnesses[i]->sends[served[i]++];
        harnesses[i]->Reply(send, query::LeafStatus::kOk, "done");
      }
    }
  }

  std::vector<std::unique_ptr<GatewayHarness>> harnesses;
  /// Gateways that receive no messages.
  std::set<size_t> unreachable;
  int request_count = 0;
  /// Number of sub-requests answered, by gateway.
  std::vector<size_t> served = std::vector<size_t>(kGateways);
};

}  // namespace

class GatewayLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayLimitsTest);
  CPPUNIT_TEST(RequestIsSentOnceItsLimitIsGranted);
  CPPUNIT_TEST(RequestBeyondTheLimitReachesNoLeaf);
  CPPUNIT_TEST(RefusedRequestIsServedOnRetry);
  CPPUNIT_TEST(FewRequestsAreServedWithoutTheLender);
  CPPUNIT_TEST(WithoutAWindowNoLimitIsRequested);
  CPPUNIT_TEST(RequestThatWaitsForItsLimitIsRefusedBeforeTheKill);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestIsSentOnceItsLimitIsGranted() {
    ThreeGateways fleet;
    for (size_t i = 0; i < kGateways; ++i) {
      CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.Ask(i, 1));
    }
    // The request takes one message to the lender, and none at the lender itself.
    const size_t other = (ThreeGateways::Lender() + 1) % kGateways;
    fleet.harnesses[other]->AskWithKey("/one/x", kKey);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.harnesses[other]->peer_messages.size());
    fleet.harnesses[ThreeGateways::Lender()]->AskWithKey("/one/y", kKey);
    CPPUNIT_ASSERT(fleet.harnesses[ThreeGateways::Lender()]->peer_messages.empty());
  }

  void RequestBeyondTheLimitReachesNoLeaf() {
    ThreeGateways fleet;
    size_t sent = 0;
    for (int i = 0; i < 30; ++i) {
      sent += fleet.Ask(static_cast<size_t>(i) % kGateways, 2);
    }
    // The bound is (1 x 5 + 2) x 1.1 + 20; only a part of it is granted at once.
    CPPUNIT_ASSERT(sent >= 2 && sent <= 27);
    size_t refused = 0;
    for (const auto& h : fleet.harnesses) {
      for (const GatewayAnswer& answer : h->answers) {
        if (answer.code == ResultCode::kOk) {
          continue;
        }
        CPPUNIT_ASSERT(answer.code == ResultCode::kTenantLimit);
        CPPUNIT_ASSERT(answer.retry_after > Duration(0));
        CPPUNIT_ASSERT(answer.retry_after <= Seconds(10));
        ++refused;
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{60}, sent + refused);
  }

  void RefusedRequestIsServedOnRetry() {
    ThreeGateways fleet;
    const size_t gateway = (ThreeGateways::Lender() + 1) % kGateways;
    while (fleet.Ask(gateway, 1) == 1) {
    }
    const Duration retry_after = fleet.harnesses[gateway]->answers.back().retry_after;
    fleet.Pass(retry_after + Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.Ask(gateway, 1));
  }

  void FewRequestsAreServedWithoutTheLender() {
    ThreeGateways fleet;
    fleet.unreachable.insert(ThreeGateways::Lender());
    const size_t gateway = (ThreeGateways::Lender() + 1) % kGateways;
    GatewayHarness& h = *fleet.harnesses[gateway];
    const size_t before = h.sends.size();
    for (int i = 0; i < 3; ++i) {
      fleet.Ask(gateway, 1);
      fleet.Pass(Milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(before + 3, h.sends.size());
  }

  /// Guards against requests that wait for another gateway's decision on their limit and are still
  /// held when the gateway is killed.
  void RequestThatWaitsForItsLimitIsRefusedBeforeTheKill() {
    constexpr size_t kRequests = 10;
    ThreeGateways g;
    GatewayHarness& h = *g.harnesses[(ThreeGateways::Lender() + 1) % kGateways];
    for (size_t i = 0; i < kRequests; ++i) {
      h.AskWithKey("/one/" + std::to_string(i), kKey);
    }
    CPPUNIT_ASSERT(h.answers.size() + h.sends.size() < kRequests);
    h.server.StartDraining(h.now, h.now + Milliseconds(5));
    h.Pass(Milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(kRequests, h.answers.size());
    CPPUNIT_ASSERT(h.answers.back().code == ResultCode::kShuttingDown);
    CPPUNIT_ASSERT(h.server.Drained());
  }

  void WithoutAWindowNoLimitIsRequested() {
    ThreeGateways fleet(Duration(0));
    CPPUNIT_ASSERT_EQUAL(size_t{40}, fleet.Ask(0, 40));
    CPPUNIT_ASSERT(fleet.harnesses[0]->peer_messages.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayLimitsTest);

}  // namespace pumicedyke::gateway
