// Limits of tenants through the gateways themselves: three of them, wired by hand.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "gateway/gateway_harness.h"
#include "limits/keeper_placement.h"

namespace pumicedyke::gateway {
namespace {

constexpr size_t kGateways = 3;
constexpr char kKey[] = "hush";
constexpr Duration kWarm = Seconds(14);

std::string NodeAt(size_t i) { return "g" + std::to_string(i + 1); }
std::string AddressAt(size_t i) { return NodeAt(i) + ":7500"; }

/// Three gateways that know each other, with one tenant of one request a second.
struct Trio {
  explicit Trio(Duration window = Seconds(5)) {
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
    Pass(kWarm);
  }

  /// The gateway that keeps the account.
  static size_t Keeper() {
    limits::KeeperPlacement placement;
    placement.SetAccounts({{"acme", 0}});
    std::vector<limits::LimitGateway> gateways;
    for (size_t i = 0; i < kGateways; ++i) {
      gateways.push_back({NodeAt(i), AddressAt(i), "north"});
    }
    placement.SetGateways(gateways);
    const std::string node = placement.Find({"acme", 0}).first->node;
    return node == NodeAt(0) ? 0 : node == NodeAt(1) ? 1 : 2;
  }

  /// Passes on what the gateways say to each other, until nobody says anything.
  void Exchange() {
    for (bool quiet = false; !quiet;) {
      quiet = true;
      for (size_t from = 0; from < kGateways; ++from) {
        for (const PeerMessage& message : std::exchange(harnesses[from]->peer_messages, {})) {
          quiet = false;
          Pass(from, message);
        }
        for (const PeerReply& reply : std::exchange(harnesses[from]->peer_replies, {})) {
          quiet = false;
          GatewayHarness& to = *harnesses[reply.session - 1];
          to.server.OnPeerWord(to.now, AddressAt(from), reply.envelope);
          to.Take();
        }
      }
    }
  }
  void Pass(size_t from, const PeerMessage& message) {
    for (size_t to = 0; to < kGateways; ++to) {
      if (message.address == AddressAt(to) && !lost.contains(to)) {
        harnesses[to]->server.OnPeerQuestion(harnesses[to]->now, from + 1, message.envelope,
                                             harnesses[to]->now);
        harnesses[to]->Take();
      }
    }
  }
  /// Time passes; control goes on to prove the configuration.
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
      Exchange();
      Serve();
    }
  }
  /// @return how many requests were sent to leafs.
  size_t Ask(size_t gateway, int count) {
    GatewayHarness& h = *harnesses[gateway];
    const size_t before = h.sends.size();
    for (int i = 0; i < count; ++i) {
      h.AskWithKey("/one/" + std::to_string(++asked), kKey);
      Exchange();
      Serve();
    }
    return h.sends.size() - before;
  }
  /// Leafs answer what they were sent.
  void Serve() {
    for (size_t i = 0; i < kGateways; ++i) {
      while (served[i] < harnesses[i]->sends.size()) {
        const LeafSend send = harnesses[i]->sends[served[i]++];
        harnesses[i]->Reply(send, query::LeafStatus::kOk, "done");
      }
    }
  }

  std::vector<std::unique_ptr<GatewayHarness>> harnesses;
  /// Nothing reaches these.
  std::set<size_t> lost;
  int asked = 0;
  /// How many of the requests to leafs were answered, by gateway.
  std::vector<size_t> served = std::vector<size_t>(kGateways);
};

}  // namespace

class GatewayLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayLimitsTest);
  CPPUNIT_TEST(RequestIsSentOnceItsLimitAllowsIt);
  CPPUNIT_TEST(BeyondTheLimitItIsRefusedAndNoLeafIsAsked);
  CPPUNIT_TEST(RefusedRequestIsServedWhenItComesBack);
  CPPUNIT_TEST(LostKeeperRefusesNothingOfAFew);
  CPPUNIT_TEST(WithoutAWindowNothingIsAsked);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestIsSentOnceItsLimitAllowsIt() {
    Trio trio;
    for (size_t i = 0; i < kGateways; ++i) {
      CPPUNIT_ASSERT_EQUAL(size_t{1}, trio.Ask(i, 1));
    }
    // One hop, but for the keeper itself.
    const size_t other = (Trio::Keeper() + 1) % kGateways;
    trio.harnesses[other]->AskWithKey("/one/x", kKey);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, trio.harnesses[other]->peer_messages.size());
    trio.harnesses[Trio::Keeper()]->AskWithKey("/one/y", kKey);
    CPPUNIT_ASSERT(trio.harnesses[Trio::Keeper()]->peer_messages.empty());
  }

  void BeyondTheLimitItIsRefusedAndNoLeafIsAsked() {
    Trio trio;
    size_t sent = 0;
    for (int i = 0; i < 30; ++i) {
      sent += trio.Ask(static_cast<size_t>(i) % kGateways, 2);
    }
    // The bound is (1 x 5 + 2) x 1.1 + 20; what is granted at once is a part of it.
    CPPUNIT_ASSERT(sent >= 2 && sent <= 27);
    size_t refused = 0;
    for (const auto& h : trio.harnesses) {
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

  void RefusedRequestIsServedWhenItComesBack() {
    Trio trio;
    const size_t gateway = (Trio::Keeper() + 1) % kGateways;
    while (trio.Ask(gateway, 1) == 1) {
    }
    const Duration retry_after = trio.harnesses[gateway]->answers.back().retry_after;
    trio.Pass(retry_after + Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, trio.Ask(gateway, 1));
  }

  void LostKeeperRefusesNothingOfAFew() {
    Trio trio;
    trio.lost.insert(Trio::Keeper());
    const size_t gateway = (Trio::Keeper() + 1) % kGateways;
    GatewayHarness& h = *trio.harnesses[gateway];
    const size_t before = h.sends.size();
    for (int i = 0; i < 3; ++i) {
      trio.Ask(gateway, 1);
      trio.Pass(Milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(before + 3, h.sends.size());
  }

  void WithoutAWindowNothingIsAsked() {
    Trio trio(Duration(0));
    CPPUNIT_ASSERT_EQUAL(size_t{40}, trio.Ask(0, 40));
    CPPUNIT_ASSERT(trio.harnesses[0]->peer_messages.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayLimitsTest);

}  // namespace pumicedyke::gateway
