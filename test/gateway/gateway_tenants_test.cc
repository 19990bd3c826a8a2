// Requests and sub-requests of a gateway whose documents have tenants, without sockets.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway/gateway_harness.h"

namespace pumicedyke::gateway {
namespace {

constexpr size_t kShards = 100;
constexpr PeerSessionId kSession = 3;
constexpr char kKey[] = "hush-1";
constexpr char kOtherKey[] = "hush-2";

tenants::Tenant TenantOf(const std::string& name, const std::vector<std::string>& keys) {
  tenants::Tenant tenant;
  tenant.name = name;
  tenant.api_keys = keys;
  return tenant;
}

/// One route over one service, one that needs no key, and one over two shards.
std::string Document() {
  return Json::array({{"one", "/one/", true, "s0"},
                      {"open", "/open/", true, "s0"},
                      {"two", "/two/", true, "s0", "s1"}})
      .dump();
}

std::string SharedDocument() {
  Json route = {"all", "/all/", true};
  for (size_t i = 0; i < kShards; ++i) {
    route.push_back("s" + std::to_string(i));
  }
  return Json::array({route}).dump();
}

/// A gateway whose document has two tenants, with two leafs per service.
struct KeyedGateway {
  explicit KeyedGateway(const GatewayOptions& options = GatewayHarness::Options()) : h(options) {
    h.SetTenants(std::vector{TenantOf("acme", {kKey}), TenantOf("other", {kOtherKey})});
    h.SetOpen({"open"});
    h.Put(1, Document());
    h.Report({GatewayHarness::Leaf("a", "s0"), GatewayHarness::Leaf("b", "s0"),
              GatewayHarness::Leaf("c", "s1"), GatewayHarness::Leaf("d", "s1")});
  }
  GatewayHarness h;
};

/// A gateway that shares gathers over a hundred shards with four others.
struct KeyedSharing {
  explicit KeyedSharing(bool keyed = true) : h(Options()) {
    if (keyed) {
      h.SetTenants(std::vector{TenantOf("acme", {kKey}), TenantOf("other", {kOtherKey})});
    }
    h.Put(1, SharedDocument());
    std::vector<wire::LeafRecord> leafs;
    for (size_t i = 0; i < kShards; ++i) {
      leafs.push_back(GatewayHarness::Leaf("leaf" + std::to_string(i), "s" + std::to_string(i)));
    }
    h.Report(leafs);
    std::vector<wire::GatewayRecord> peers;
    for (const char* node : {"g1", "g2", "g3", "g4", "g5"}) {
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
  std::vector<wire::PartialQuery> PartialQueries() const {
    std::vector<wire::PartialQuery> queries;
    for (const PeerMessage& message : h.peer_messages) {
      if (const auto* query = std::get_if<wire::PartialQuery>(&message.envelope.body)) {
        queries.push_back(*query);
      }
    }
    return queries;
  }
  GatewayHarness h;
};

/// Returns the head sent to a leaf, without the dialect's additions.
std::string HeadOf(const LeafSend& send) {
  return send.head != nullptr ? *send.head : send.request->encoded_head;
}

void AssertTenant(const std::string& tenant, const LeafSend& send) {
  CPPUNIT_ASSERT_EQUAL(tenant, send.tenant);
  CPPUNIT_ASSERT(HeadOf(send).find("hush") == std::string::npos);
  CPPUNIT_ASSERT(HeadOf(send).find("somebody else") == std::string::npos);
}

}  // namespace

class GatewayTenantsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayTenantsTest);
  CPPUNIT_TEST(RequestsWithoutAKnownKeyAreRefusedAtOnce);
  CPPUNIT_TEST(FullGatewayRefusesUnknownKeysAsSuch);
  CPPUNIT_TEST(FirstSendsHedgesAndRetriesNameTheTenant);
  CPPUNIT_TEST(GathersNameTheTenantAtEachShard);
  CPPUNIT_TEST(OpenRoutesDropTheClaimedIdentity);
  CPPUNIT_TEST(WithoutTenantsAllHeadersAreForwarded);
  CPPUNIT_TEST(PartialQueriesNameTheTenantAndNoKey);
  CPPUNIT_TEST(PartialQueriesWithoutTenantsForwardAllHeaders);
  CPPUNIT_TEST(MergersAndStandbysNameTheTenant);
  CPPUNIT_TEST(MergersUseTheTenantGivenByTheRoot);
  CPPUNIT_TEST(KeysChangeWithTheDocument);
  CPPUNIT_TEST(MovedKeyNamesItsNewTenant);
  CPPUNIT_TEST(RequestsBeforeTheFirstDocumentNeedKeys);
  CPPUNIT_TEST(ResumedGatewayHoldsUnknownKeysAndPaths);
  CPPUNIT_TEST(NewDocumentIsUsedWithoutProof);
  CPPUNIT_TEST(WithoutProofUnknownRequestsGetStaleConfiguration);
  CPPUNIT_TEST(RequestsWithoutAKeyDoNotWaitForProof);
  CPPUNIT_TEST(HeldRequestsAreBoundedAndCancellable);
  CPPUNIT_TEST(TenantsPriorityOverridesTheRoutes);
  CPPUNIT_TEST(AllowedRegionsOfTenantsApply);
  CPPUNIT_TEST(AllowedRegionsOfRouteAndTenantBothApply);
  CPPUNIT_TEST(PartialQueriesNameTheTenantsRegions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestsWithoutAKnownKeyAreRefusedAtOnce() {
    KeyedGateway k;
    for (const char* key : {"", "unknown", "acme", "HUSH-1"}) {
      for (const char* path : {"/one/1", "/two/1"}) {
        const RequestId id = k.h.AskWithKey(path, key);
        CPPUNIT_ASSERT_MESSAGE(key, k.h.answers.back().id == id);
        CPPUNIT_ASSERT_MESSAGE(key, k.h.answers.back().code == ResultCode::kUnknownKey);
        CPPUNIT_ASSERT(k.h.answers.back().run == query::RunState::kNotRun);
      }
    }
    CPPUNIT_ASSERT(k.h.sends.empty());
  }

  void FullGatewayRefusesUnknownKeysAsSuch() {
    GatewayOptions options = GatewayHarness::Options();
    options.knobs.max_in_progress = 1;
    KeyedGateway k(options);
    k.h.AskWithKey("/one/1", kKey);
    k.h.AskWithKey("/one/2", kKey);
    CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kOverloaded);
    CPPUNIT_ASSERT_EQUAL(std::string("acme"), k.h.answers.back().trace.tenant);
    k.h.AskWithKey("/one/3", "unknown");
    CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kUnknownKey);
  }

  void FirstSendsHedgesAndRetriesNameTheTenant() {
    KeyedGateway k;
    k.h.AskWithKey("/one/1", kKey);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, k.h.sends.size());
    AssertTenant("acme", k.h.sends[0]);
    // A hedge.
    k.h.Pass(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, k.h.sends.size());
    AssertTenant("acme", k.h.sends[1]);
    k.h.Reply(k.h.sends[1], query::LeafStatus::kOk, "x");
    CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kOk);
    CPPUNIT_ASSERT_EQUAL(std::string("acme"), k.h.answers.back().trace.tenant);
    // A retry.
    k.h.AskWithKey("/one/2", kOtherKey);
    k.h.Reply(k.h.sends.back(), query::LeafStatus::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, k.h.sends.size());
    AssertTenant("other", k.h.sends[2]);
    AssertTenant("other", k.h.sends[3]);
  }

  void GathersNameTheTenantAtEachShard() {
    KeyedGateway k;
    k.h.AskWithKey("/two/1", kOtherKey);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, k.h.sends.size());
    for (const LeafSend& send : k.h.sends) {
      AssertTenant("other", send);
    }
  }

  void OpenRoutesDropTheClaimedIdentity() {
    KeyedGateway k;
    for (const char* key : {"", "unknown", kKey}) {
      k.h.AskWithKey("/open/1", key);
      AssertTenant("", k.h.sends.back());
      k.h.Reply(k.h.sends.back(), query::LeafStatus::kOk, "x");
      CPPUNIT_ASSERT_MESSAGE(key, k.h.answers.back().code == ResultCode::kOk);
    }
  }

  void WithoutTenantsAllHeadersAreForwarded() {
    KeyedGateway k;
    k.h.SetTenants(std::nullopt);
    k.h.Put(2, Document());
    for (const char* path : {"/one/1", "/open/1", "/two/1"}) {
      k.h.sends.clear();
      k.h.AskWithKey(path, "any");
      CPPUNIT_ASSERT_MESSAGE(path, !k.h.sends.empty());
      for (const LeafSend& send : k.h.sends) {
        CPPUNIT_ASSERT(send.tenant.empty());
        CPPUNIT_ASSERT_EQUAL(
            "GET " + std::string(path) + " HTTP/1.1\r\nKey: any\r\nClaim: somebody else\r\n",
            HeadOf(send));
        k.h.Reply(send, query::LeafStatus::kOk, "0123456789abcdef");
      }
    }
  }

  void PartialQueriesNameTheTenantAndNoKey() {
    KeyedSharing k;
    k.h.AskWithKey("/all/1", kKey);
    CPPUNIT_ASSERT(k.PartialQueries().size() > 1);
    // No merger answers, so others are tried.
    const size_t first = k.PartialQueries().size();
    k.h.Pass(Milliseconds(300));
    CPPUNIT_ASSERT(k.PartialQueries().size() > first);
    for (const wire::PartialQuery& query : k.PartialQueries()) {
      CPPUNIT_ASSERT_EQUAL(std::string("acme"), query.tenant);
      CPPUNIT_ASSERT_EQUAL(std::string("GET /all/1 HTTP/1.1\r\n"), query.head);
      CPPUNIT_ASSERT(query.payload.find("hush") == std::string::npos);
    }
  }

  void PartialQueriesWithoutTenantsForwardAllHeaders() {
    KeyedSharing k(/*keyed=*/false);
    k.h.AskWithKey("/all/1", kKey);
    CPPUNIT_ASSERT(!k.PartialQueries().empty());
    for (const wire::PartialQuery& query : k.PartialQueries()) {
      CPPUNIT_ASSERT(query.tenant.empty());
      CPPUNIT_ASSERT_EQUAL(
          std::string("GET /all/1 HTTP/1.1\r\nKey: hush-1\r\nClaim: somebody else\r\n"),
          query.head);
    }
  }

  /// Sends a partial query. @return the sub-requests sent for it.
  static std::vector<LeafSend> SendsOf(KeyedSharing* k, wire::PartialQuery query) {
    k->h.server.OnPeerRequest(k->h.now, kSession, {"test", 1, query}, k->h.now);
    if (query.await_confirmation) {
      k->h.Take();
      CPPUNIT_ASSERT(k->h.sends.empty());
      k->h.server.OnPeerRequest(k->h.now, kSession, {"test", 1, wire::PartialConfirm{query.id}},
                                k->h.now);
    }
    k->h.Take();
    return k->h.sends;
  }
  static wire::PartialQuery Group() {
    wire::PartialQuery query;
    query.id = 77;
    query.route = "all";
    query.request_id = "r1";
    query.method = "GET";
    query.head = "GET /all/1 HTTP/1.1\r\n";
    query.budget = Seconds(1);
    query.objective = Milliseconds(100);
    query.groups = 50;
    query.shards = {"s0", "s1"};
    query.tenant = "acme";
    return query;
  }

  void MergersAndStandbysNameTheTenant() {
    for (const bool await_confirmation : {false, true}) {
      KeyedSharing k;
      wire::PartialQuery query = Group();
      query.await_confirmation = await_confirmation;
      const std::vector<LeafSend> sends = SendsOf(&k, query);
      CPPUNIT_ASSERT_EQUAL(size_t{2}, sends.size());
      for (const LeafSend& send : sends) {
        AssertTenant("acme", send);
        CPPUNIT_ASSERT_EQUAL(query.head, HeadOf(send));
      }
    }
  }

  void MergersUseTheTenantGivenByTheRoot() {
    // The root has a newer document, with a tenant that is unknown here.
    KeyedSharing older;
    wire::PartialQuery query = Group();
    query.tenant = "new";
    for (const LeafSend& send : SendsOf(&older, query)) {
      AssertTenant("new", send);
    }
    // The root's document has no tenants, so its head includes the client's claims.
    KeyedSharing newer;
    query.tenant.clear();
    query.head = "GET /all/1 HTTP/1.1\r\nClaim: me\r\n";
    for (const LeafSend& send : SendsOf(&newer, query)) {
      CPPUNIT_ASSERT(send.tenant.empty());
      CPPUNIT_ASSERT_EQUAL(query.head, HeadOf(send));
    }
  }

  void KeysChangeWithTheDocument() {
    KeyedGateway k;
    k.h.AskWithKey("/one/1", "hush-3");
    CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kUnknownKey);
    k.h.SetTenants(std::vector{TenantOf("acme", {"hush-3"}), TenantOf("new", {"hush-4"})});
    k.h.Put(2, Document());
    k.h.AskWithKey("/one/2", "hush-3");
    AssertTenant("acme", k.h.sends.back());
    k.h.AskWithKey("/one/3", "hush-4");
    AssertTenant("new", k.h.sends.back());
    const size_t sent = k.h.sends.size();
    for (const char* removed : {kKey, kOtherKey}) {
      k.h.AskWithKey("/one/4", removed);
      CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kUnknownKey);
    }
    // No tenant is left, but keys are still required.
    k.h.SetTenants(std::vector<tenants::Tenant>{});
    k.h.Put(3, Document());
    k.h.AskWithKey("/one/5", "hush-3");
    CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kUnknownKey);
    CPPUNIT_ASSERT_EQUAL(sent, k.h.sends.size());
  }

  void MovedKeyNamesItsNewTenant() {
    KeyedGateway k;
    k.h.SetTenants(std::vector{TenantOf("acme", {}), TenantOf("other", {kKey, kOtherKey})});
    k.h.Put(2, Document());
    k.h.AskWithKey("/one/1", kKey);
    AssertTenant("other", k.h.sends.back());
  }

  void RequestsBeforeTheFirstDocumentNeedKeys() {
    GatewayHarness h;
    h.Pass(Milliseconds(350));
    const RequestId known = h.AskWithKey("/one/1", kKey);
    const RequestId unknown = h.AskWithKey("/one/2", "unknown");
    CPPUNIT_ASSERT(h.answers.empty());
    h.SetTenants(std::vector{TenantOf("acme", {kKey})});
    h.Report({GatewayHarness::Leaf("a", "s0")});
    h.Put(1, Document());
    h.Take();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.answers.size());
    CPPUNIT_ASSERT(h.answers[0].id == unknown);
    CPPUNIT_ASSERT(h.answers[0].code == ResultCode::kUnknownKey);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
    AssertTenant("acme", h.sends[0]);
    h.Reply(h.sends[0], query::LeafStatus::kOk, "x");
    CPPUNIT_ASSERT(h.answers.back().id == known);
  }

  /// Simulates a paused process: the clock jumps ahead.
  static void Pause(GatewayHarness* h, Duration time) { h->now += time; }

  void ResumedGatewayHoldsUnknownKeysAndPaths() {
    KeyedGateway k;
    Pause(&k.h, Seconds(20));
    const RequestId key = k.h.AskWithKey("/one/1", "hush-3");
    const RequestId path = k.h.AskWithKey("/new/1", kKey);
    const RequestId false_key = k.h.AskWithKey("/one/2", "never");
    const RequestId known = k.h.AskWithKey("/one/3", kKey);
    CPPUNIT_ASSERT(k.h.answers.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, k.h.sends.size());
    k.h.Reply(k.h.sends[0], query::LeafStatus::kOk, "x");
    CPPUNIT_ASSERT(k.h.answers.back().id == known);
    // The new document arrives with the first answer of control.
    k.h.SetTenants(std::vector{TenantOf("acme", {kKey}), TenantOf("new", {"hush-3"})});
    k.h.Put(2, Json::array({{"one", "/one/", true, "s0"}, {"new", "/new/", true, "s1"}}).dump());
    k.h.Prove();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, k.h.answers.size());
    CPPUNIT_ASSERT(k.h.answers[1].id == false_key);
    CPPUNIT_ASSERT(k.h.answers[1].code == ResultCode::kUnknownKey);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, k.h.sends.size());
    AssertTenant("new", k.h.sends[1]);
    AssertTenant("acme", k.h.sends[2]);
    for (size_t i = 1; i < 3; ++i) {
      k.h.Reply(k.h.sends[i], query::LeafStatus::kOk, "x");
    }
    CPPUNIT_ASSERT(k.h.answers[2].id == key && k.h.answers[3].id == path);
  }

  void NewDocumentIsUsedWithoutProof() {
    // The first routes arrive late, without proof that they are current.
    GatewayHarness h;
    h.Report({GatewayHarness::Leaf("a", "s0")});
    Pause(&h, Seconds(20));
    h.AskWithKey("/one/1", kKey);
    h.SetTenants(std::vector{TenantOf("acme", {kKey})});
    h.Put(1, Document());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
    // The same for a key that is added.
    h.AskWithKey("/one/2", "hush-3");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
    h.SetTenants(std::vector{TenantOf("acme", {"hush-3"})});
    h.Put(2, Document());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.sends.size());
    CPPUNIT_ASSERT(h.answers.empty());
  }

  void WithoutProofUnknownRequestsGetStaleConfiguration() {
    KeyedGateway k;
    Pause(&k.h, Seconds(20));
    k.h.AskWithKey("/one/1", "hush-3", Milliseconds(600));
    k.h.AskWithKey("/new/1", kKey, Seconds(5));
    k.h.Pass(Milliseconds(290));
    CPPUNIT_ASSERT(k.h.answers.empty());
    // The first is refused after half of its deadline, the other one after a second.
    k.h.Pass(Milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, k.h.answers.size());
    k.h.Pass(Milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, k.h.answers.size());
    for (const GatewayAnswer& answer : k.h.answers) {
      CPPUNIT_ASSERT(answer.code == ResultCode::kStaleConfiguration);
      CPPUNIT_ASSERT(answer.run == query::RunState::kNotRun);
      CPPUNIT_ASSERT(answer.retry_after.count() > 0);
    }
    CPPUNIT_ASSERT(k.h.sends.empty());
  }

  void RequestsWithoutAKeyDoNotWaitForProof() {
    KeyedGateway k;
    Pause(&k.h, Seconds(20));
    k.h.AskWithKey("/one/1", "");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, k.h.answers.size());
    CPPUNIT_ASSERT(k.h.answers[0].code == ResultCode::kUnknownKey);
  }

  void HeldRequestsAreBoundedAndCancellable() {
    GatewayOptions options = GatewayHarness::Options();
    options.knobs.max_in_progress = 2;
    KeyedGateway k(options);
    Pause(&k.h, Seconds(20));
    const RequestId left = k.h.AskWithKey("/one/1", "hush-3");
    k.h.AskWithKey("/one/2", "hush-4");
    k.h.AskWithKey("/one/3", "hush-5");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, k.h.answers.size());
    CPPUNIT_ASSERT(k.h.answers[0].code == ResultCode::kStaleConfiguration);
    k.h.server.OnClientDisconnected(k.h.now, left);
    CPPUNIT_ASSERT(!k.h.server.Drained());
    k.h.Prove();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, k.h.answers.size());
    CPPUNIT_ASSERT(k.h.answers[1].code == ResultCode::kUnknownKey);
    CPPUNIT_ASSERT(k.h.server.Drained());
  }

  void TenantsPriorityOverridesTheRoutes() {
    KeyedSharing k;
    tenants::Tenant urgent = TenantOf("urgent", {"hush-3"});
    urgent.priority = 7;
    k.h.SetTenants(std::vector{TenantOf("acme", {kKey}), urgent});
    k.h.Put(2, SharedDocument());
    k.h.AskWithKey("/all/1", "hush-3");
    for (const wire::PartialQuery& query : k.PartialQueries()) {
      CPPUNIT_ASSERT_EQUAL(7U, query.priority);
    }
    k.h.peer_messages.clear();
    k.h.AskWithKey("/all/2", kKey);
    for (const wire::PartialQuery& query : k.PartialQueries()) {
      CPPUNIT_ASSERT_EQUAL(0U, query.priority);
    }
  }

  static GatewayOptions TwoRegions(GatewayOptions options = GatewayHarness::Options()) {
    options.zone = "north";
    options.regions = RegionMap({{"north", "west"}, {"far", "east"}});
    return options;
  }
  static wire::LeafRecord Far(const std::string& id, const std::string& service) {
    wire::LeafRecord record = GatewayHarness::Leaf(id, service);
    record.zone = "far";
    return record;
  }
  static std::vector<tenants::Tenant> Eastern() {
    tenants::Tenant eastern = TenantOf("eastern", {kOtherKey});
    eastern.allowed_regions = {"east"};
    return {TenantOf("acme", {kKey}), eastern};
  }

  void AllowedRegionsOfTenantsApply() {
    KeyedGateway k(TwoRegions());
    k.h.SetTenants(Eastern());
    k.h.Put(2, Document());
    k.h.Report({GatewayHarness::Leaf("a", "s0"), Far("f", "s0")});
    k.h.Pass(Milliseconds(200));
    std::set<std::string> free;
    for (int i = 0; i < 10; ++i) {
      k.h.AskWithKey("/one/1", kOtherKey);
      CPPUNIT_ASSERT_EQUAL(std::string("f"), k.h.sends.back().leaf);
      k.h.Reply(k.h.sends.back(), query::LeafStatus::kOk, "x");
      k.h.AskWithKey("/one/1", kKey);
      free.insert(k.h.sends.back().leaf);
      k.h.Reply(k.h.sends.back(), query::LeafStatus::kOk, "x");
    }
    // Other tenants are not restricted.
    CPPUNIT_ASSERT(free.contains("a"));
  }

  void AllowedRegionsOfRouteAndTenantBothApply() {
    KeyedGateway k(TwoRegions());
    k.h.SetTenants(Eastern());
    k.h.SetAllowedRegions({"west"});
    k.h.Put(2, Document());
    k.h.Report({GatewayHarness::Leaf("a", "s0"), Far("f", "s0")});
    k.h.Pass(Milliseconds(200));
    k.h.AskWithKey("/one/1", kOtherKey);
    CPPUNIT_ASSERT(k.h.sends.empty());
    CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kCoverageNotReached);
    CPPUNIT_ASSERT(k.h.answers.back().run == query::RunState::kNotRun);
    k.h.SetAllowedRegions({"west", "east"});
    k.h.Put(3, Document());
    k.h.AskWithKey("/one/2", kOtherKey);
    CPPUNIT_ASSERT_EQUAL(std::string("f"), k.h.sends.back().leaf);
  }

  void PartialQueriesNameTheTenantsRegions() {
    KeyedSharing k;
    tenants::Tenant bound = TenantOf("bound", {kKey});
    bound.allowed_regions = {""};
    k.h.SetTenants(std::vector{bound});
    k.h.Put(2, SharedDocument());
    k.h.AskWithKey("/all/1", kKey);
    CPPUNIT_ASSERT(!k.PartialQueries().empty());
    for (const wire::PartialQuery& query : k.PartialQueries()) {
      CPPUNIT_ASSERT(query.allowed_regions == std::vector<std::string>{""});
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTenantsTest);

}  // namespace pumicedyke::gateway
