// What a gateway serves and tells leafs where documents have tenants, without sockets.
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

/// One route over one service, one open, and one over two shards.
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

/// A gateway whose document has two tenants, with two leafs a service.
struct Keyed {
  explicit Keyed(const GatewayOptions& options = GatewayHarness::Options()) : h(options) {
    h.SetTenants(std::vector{TenantOf("acme", {kKey}), TenantOf("other", {kOtherKey})});
    h.SetOpen({"open"});
    h.Put(1, Document());
    h.Report({GatewayHarness::Leaf("a", "s0"), GatewayHarness::Leaf("b", "s0"),
              GatewayHarness::Leaf("c", "s1"), GatewayHarness::Leaf("d", "s1")});
  }
  GatewayHarness h;
};

/// A gateway that shares gathers over a hundred shards with five others.
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
  std::vector<wire::PartialQuery> Questions() const {
    std::vector<wire::PartialQuery> questions;
    for (const PeerMessage& message : h.peer_messages) {
      if (const auto* query = std::get_if<wire::PartialQuery>(&message.envelope.body)) {
        questions.push_back(*query);
      }
    }
    return questions;
  }
  GatewayHarness h;
};

/// What a leaf is sent, but for what the dialect adds of its own.
std::string HeadOf(const LeafSend& send) {
  return send.head != nullptr ? *send.head : send.request->encoded_head;
}

void AssertOf(const std::string& tenant, const LeafSend& send) {
  CPPUNIT_ASSERT_EQUAL(tenant, send.tenant);
  CPPUNIT_ASSERT(HeadOf(send).find("hush") == std::string::npos);
  CPPUNIT_ASSERT(HeadOf(send).find("somebody else") == std::string::npos);
}

}  // namespace

class GatewayTenantsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayTenantsTest);
  CPPUNIT_TEST(WithoutAKnownKeyItIsRefusedAtOnce);
  CPPUNIT_TEST(AFullGatewayRefusesUnknownKeysAsSuch);
  CPPUNIT_TEST(FirstSendsHedgesAndRetriesNameTheTenant);
  CPPUNIT_TEST(GathersNameTheTenantAtEachShard);
  CPPUNIT_TEST(OpenRoutesDropWhatIsClaimed);
  CPPUNIT_TEST(WithoutTenantsAllIsPassedOn);
  CPPUNIT_TEST(QuestionsNameTheTenantAndNoKey);
  CPPUNIT_TEST(QuestionsWithoutTenantsPassAllOn);
  CPPUNIT_TEST(MergersAndStandInsNameTheTenant);
  CPPUNIT_TEST(MergersOfAnotherDocumentGoByTheRootsWord);
  CPPUNIT_TEST(KeysComeAndGoWithTheDocument);
  CPPUNIT_TEST(AKeyThatMovesNamesItsNewTenant);
  CPPUNIT_TEST(RequestsBeforeTheFirstDocumentNeedKeys);
  CPPUNIT_TEST(WhoWakesRefusesNothingThatMayBeNew);
  CPPUNIT_TEST(NewsAreTakenWithoutProof);
  CPPUNIT_TEST(WithoutProofTheUnknownIsToldToGoElsewhere);
  CPPUNIT_TEST(WithoutAKeyNothingWaitsForProof);
  CPPUNIT_TEST(UnprovenRequestsAreBoundedAndMayLeave);
  CPPUNIT_TEST(TenantsPriorityGoesBeforeTheRoutes);
  CPPUNIT_TEST(HomesOfTenantsBind);
  CPPUNIT_TEST(HomesOfRouteAndTenantBothBind);
  CPPUNIT_TEST(MergersAreToldTheHomesOfTenants);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WithoutAKnownKeyItIsRefusedAtOnce() {
    Keyed k;
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

  void AFullGatewayRefusesUnknownKeysAsSuch() {
    GatewayOptions options = GatewayHarness::Options();
    options.knobs.max_in_progress = 1;
    Keyed k(options);
    k.h.AskWithKey("/one/1", kKey);
    k.h.AskWithKey("/one/2", kKey);
    CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kOverloaded);
    CPPUNIT_ASSERT_EQUAL(std::string("acme"), k.h.answers.back().trace.tenant);
    k.h.AskWithKey("/one/3", "unknown");
    CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kUnknownKey);
  }

  void FirstSendsHedgesAndRetriesNameTheTenant() {
    Keyed k;
    k.h.AskWithKey("/one/1", kKey);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, k.h.sends.size());
    AssertOf("acme", k.h.sends[0]);
    // A hedge.
    k.h.Pass(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, k.h.sends.size());
    AssertOf("acme", k.h.sends[1]);
    k.h.Reply(k.h.sends[1], query::LeafStatus::kOk, "x");
    CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kOk);
    CPPUNIT_ASSERT_EQUAL(std::string("acme"), k.h.answers.back().trace.tenant);
    // A retry.
    k.h.AskWithKey("/one/2", kOtherKey);
    k.h.Reply(k.h.sends.back(), query::LeafStatus::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, k.h.sends.size());
    AssertOf("other", k.h.sends[2]);
    AssertOf("other", k.h.sends[3]);
  }

  void GathersNameTheTenantAtEachShard() {
    Keyed k;
    k.h.AskWithKey("/two/1", kOtherKey);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, k.h.sends.size());
    for (const LeafSend& send : k.h.sends) {
      AssertOf("other", send);
    }
  }

  void OpenRoutesDropWhatIsClaimed() {
    Keyed k;
    for (const char* key : {"", "unknown", kKey}) {
      k.h.AskWithKey("/open/1", key);
      AssertOf("", k.h.sends.back());
      k.h.Reply(k.h.sends.back(), query::LeafStatus::kOk, "x");
      CPPUNIT_ASSERT_MESSAGE(key, k.h.answers.back().code == ResultCode::kOk);
    }
  }

  void WithoutTenantsAllIsPassedOn() {
    Keyed k;
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

  void QuestionsNameTheTenantAndNoKey() {
    KeyedSharing k;
    k.h.AskWithKey("/all/1", kKey);
    CPPUNIT_ASSERT(k.Questions().size() > 1);
    // Nobody answers: others are asked instead.
    const size_t first = k.Questions().size();
    k.h.Pass(Milliseconds(300));
    CPPUNIT_ASSERT(k.Questions().size() > first);
    for (const wire::PartialQuery& question : k.Questions()) {
      CPPUNIT_ASSERT_EQUAL(std::string("acme"), question.tenant);
      CPPUNIT_ASSERT_EQUAL(std::string("GET /all/1 HTTP/1.1\r\n"), question.head);
      CPPUNIT_ASSERT(question.payload.find("hush") == std::string::npos);
    }
  }

  void QuestionsWithoutTenantsPassAllOn() {
    KeyedSharing k(/*keyed=*/false);
    k.h.AskWithKey("/all/1", kKey);
    CPPUNIT_ASSERT(!k.Questions().empty());
    for (const wire::PartialQuery& question : k.Questions()) {
      CPPUNIT_ASSERT(question.tenant.empty());
      CPPUNIT_ASSERT_EQUAL(
          std::string("GET /all/1 HTTP/1.1\r\nKey: hush-1\r\nClaim: somebody else\r\n"),
          question.head);
    }
  }

  /// @return what a gateway that is asked for a group sends to leafs.
  static std::vector<LeafSend> SendsOf(KeyedSharing* k, wire::PartialQuery question) {
    k->h.server.OnPeerQuestion(k->h.now, kSession, {"test", 1, question}, k->h.now);
    if (question.stand_by) {
      k->h.Take();
      CPPUNIT_ASSERT(k->h.sends.empty());
      k->h.server.OnPeerQuestion(k->h.now, kSession, {"test", 1, wire::PartialConfirm{question.id}},
                                 k->h.now);
    }
    k->h.Take();
    return k->h.sends;
  }
  static wire::PartialQuery Group() {
    wire::PartialQuery question;
    question.id = 77;
    question.route = "all";
    question.request_id = "r1";
    question.method = "GET";
    question.head = "GET /all/1 HTTP/1.1\r\n";
    question.budget = Seconds(1);
    question.objective = Milliseconds(100);
    question.groups = 50;
    question.shards = {"s0", "s1"};
    question.tenant = "acme";
    return question;
  }

  void MergersAndStandInsNameTheTenant() {
    for (const bool stand_by : {false, true}) {
      KeyedSharing k;
      wire::PartialQuery question = Group();
      question.stand_by = stand_by;
      const std::vector<LeafSend> sends = SendsOf(&k, question);
      CPPUNIT_ASSERT_EQUAL(size_t{2}, sends.size());
      for (const LeafSend& send : sends) {
        AssertOf("acme", send);
        CPPUNIT_ASSERT_EQUAL(question.head, HeadOf(send));
      }
    }
  }

  void MergersOfAnotherDocumentGoByTheRootsWord() {
    // The root has a newer document, with a tenant that is not known here.
    KeyedSharing older;
    wire::PartialQuery question = Group();
    question.tenant = "new";
    for (const LeafSend& send : SendsOf(&older, question)) {
      AssertOf("new", send);
    }
    // The root's document has no tenants, and the client's words stand in its head.
    KeyedSharing newer;
    question.tenant.clear();
    question.head = "GET /all/1 HTTP/1.1\r\nClaim: me\r\n";
    for (const LeafSend& send : SendsOf(&newer, question)) {
      CPPUNIT_ASSERT(send.tenant.empty());
      CPPUNIT_ASSERT_EQUAL(question.head, HeadOf(send));
    }
  }

  void KeysComeAndGoWithTheDocument() {
    Keyed k;
    k.h.AskWithKey("/one/1", "hush-3");
    CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kUnknownKey);
    k.h.SetTenants(std::vector{TenantOf("acme", {"hush-3"}), TenantOf("new", {"hush-4"})});
    k.h.Put(2, Document());
    k.h.AskWithKey("/one/2", "hush-3");
    AssertOf("acme", k.h.sends.back());
    k.h.AskWithKey("/one/3", "hush-4");
    AssertOf("new", k.h.sends.back());
    const size_t sent = k.h.sends.size();
    for (const char* removed : {kKey, kOtherKey}) {
      k.h.AskWithKey("/one/4", removed);
      CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kUnknownKey);
    }
    // No tenant is left, yet keys are needed.
    k.h.SetTenants(std::vector<tenants::Tenant>{});
    k.h.Put(3, Document());
    k.h.AskWithKey("/one/5", "hush-3");
    CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kUnknownKey);
    CPPUNIT_ASSERT_EQUAL(sent, k.h.sends.size());
  }

  void AKeyThatMovesNamesItsNewTenant() {
    Keyed k;
    k.h.SetTenants(std::vector{TenantOf("acme", {}), TenantOf("other", {kKey, kOtherKey})});
    k.h.Put(2, Document());
    k.h.AskWithKey("/one/1", kKey);
    AssertOf("other", k.h.sends.back());
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
    AssertOf("acme", h.sends[0]);
    h.Reply(h.sends[0], query::LeafStatus::kOk, "x");
    CPPUNIT_ASSERT(h.answers.back().id == known);
  }

  /// A gateway that was frozen: its clock goes on at once.
  static void Freeze(GatewayHarness* h, Duration time) { h->now += time; }

  void WhoWakesRefusesNothingThatMayBeNew() {
    Keyed k;
    Freeze(&k.h, Seconds(20));
    const RequestId key = k.h.AskWithKey("/one/1", "hush-3");
    const RequestId path = k.h.AskWithKey("/new/1", kKey);
    const RequestId false_key = k.h.AskWithKey("/one/2", "never");
    const RequestId known = k.h.AskWithKey("/one/3", kKey);
    CPPUNIT_ASSERT(k.h.answers.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, k.h.sends.size());
    k.h.Reply(k.h.sends[0], query::LeafStatus::kOk, "x");
    CPPUNIT_ASSERT(k.h.answers.back().id == known);
    // The news come with the first answer of control.
    k.h.SetTenants(std::vector{TenantOf("acme", {kKey}), TenantOf("new", {"hush-3"})});
    k.h.Put(2, Json::array({{"one", "/one/", true, "s0"}, {"new", "/new/", true, "s1"}}).dump());
    k.h.Prove();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, k.h.answers.size());
    CPPUNIT_ASSERT(k.h.answers[1].id == false_key);
    CPPUNIT_ASSERT(k.h.answers[1].code == ResultCode::kUnknownKey);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, k.h.sends.size());
    AssertOf("new", k.h.sends[1]);
    AssertOf("acme", k.h.sends[2]);
    for (size_t i = 1; i < 3; ++i) {
      k.h.Reply(k.h.sends[i], query::LeafStatus::kOk, "x");
    }
    CPPUNIT_ASSERT(k.h.answers[2].id == key && k.h.answers[3].id == path);
  }

  void NewsAreTakenWithoutProof() {
    // The first routes come late, and nothing says how fresh they are.
    GatewayHarness h;
    h.Report({GatewayHarness::Leaf("a", "s0")});
    Freeze(&h, Seconds(20));
    h.AskWithKey("/one/1", kKey);
    h.SetTenants(std::vector{TenantOf("acme", {kKey})});
    h.Put(1, Document());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
    // The same for a key that comes.
    h.AskWithKey("/one/2", "hush-3");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, h.sends.size());
    h.SetTenants(std::vector{TenantOf("acme", {"hush-3"})});
    h.Put(2, Document());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, h.sends.size());
    CPPUNIT_ASSERT(h.answers.empty());
  }

  void WithoutProofTheUnknownIsToldToGoElsewhere() {
    Keyed k;
    Freeze(&k.h, Seconds(20));
    k.h.AskWithKey("/one/1", "hush-3", Milliseconds(600));
    k.h.AskWithKey("/new/1", kKey, Seconds(5));
    k.h.Pass(Milliseconds(290));
    CPPUNIT_ASSERT(k.h.answers.empty());
    // After half of its patience; the other after a second.
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

  void WithoutAKeyNothingWaitsForProof() {
    Keyed k;
    Freeze(&k.h, Seconds(20));
    k.h.AskWithKey("/one/1", "");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, k.h.answers.size());
    CPPUNIT_ASSERT(k.h.answers[0].code == ResultCode::kUnknownKey);
  }

  void UnprovenRequestsAreBoundedAndMayLeave() {
    GatewayOptions options = GatewayHarness::Options();
    options.knobs.max_in_progress = 2;
    Keyed k(options);
    Freeze(&k.h, Seconds(20));
    const RequestId left = k.h.AskWithKey("/one/1", "hush-3");
    k.h.AskWithKey("/one/2", "hush-4");
    k.h.AskWithKey("/one/3", "hush-5");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, k.h.answers.size());
    CPPUNIT_ASSERT(k.h.answers[0].code == ResultCode::kStaleConfiguration);
    k.h.server.OnClientGone(k.h.now, left);
    CPPUNIT_ASSERT(!k.h.server.Drained());
    k.h.Prove();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, k.h.answers.size());
    CPPUNIT_ASSERT(k.h.answers[1].code == ResultCode::kUnknownKey);
    CPPUNIT_ASSERT(k.h.server.Drained());
  }

  void TenantsPriorityGoesBeforeTheRoutes() {
    KeyedSharing k;
    tenants::Tenant urgent = TenantOf("urgent", {"hush-3"});
    urgent.priority = 7;
    k.h.SetTenants(std::vector{TenantOf("acme", {kKey}), urgent});
    k.h.Put(2, SharedDocument());
    k.h.AskWithKey("/all/1", "hush-3");
    for (const wire::PartialQuery& question : k.Questions()) {
      CPPUNIT_ASSERT_EQUAL(7U, question.priority);
    }
    k.h.peer_messages.clear();
    k.h.AskWithKey("/all/2", kKey);
    for (const wire::PartialQuery& question : k.Questions()) {
      CPPUNIT_ASSERT_EQUAL(0U, question.priority);
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
    eastern.homes = {"east"};
    return {TenantOf("acme", {kKey}), eastern};
  }

  void HomesOfTenantsBind() {
    Keyed k(TwoRegions());
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
    // Nobody else is bound.
    CPPUNIT_ASSERT(free.contains("a"));
  }

  void HomesOfRouteAndTenantBothBind() {
    Keyed k(TwoRegions());
    k.h.SetTenants(Eastern());
    k.h.SetHomes({"west"});
    k.h.Put(2, Document());
    k.h.Report({GatewayHarness::Leaf("a", "s0"), Far("f", "s0")});
    k.h.Pass(Milliseconds(200));
    k.h.AskWithKey("/one/1", kOtherKey);
    CPPUNIT_ASSERT(k.h.sends.empty());
    CPPUNIT_ASSERT(k.h.answers.back().code == ResultCode::kCoverageNotReached);
    CPPUNIT_ASSERT(k.h.answers.back().run == query::RunState::kNotRun);
    k.h.SetHomes({"west", "east"});
    k.h.Put(3, Document());
    k.h.AskWithKey("/one/2", kOtherKey);
    CPPUNIT_ASSERT_EQUAL(std::string("f"), k.h.sends.back().leaf);
  }

  void MergersAreToldTheHomesOfTenants() {
    KeyedSharing k;
    tenants::Tenant bound = TenantOf("bound", {kKey});
    bound.homes = {""};
    k.h.SetTenants(std::vector{bound});
    k.h.Put(2, SharedDocument());
    k.h.AskWithKey("/all/1", kKey);
    CPPUNIT_ASSERT(!k.Questions().empty());
    for (const wire::PartialQuery& question : k.Questions()) {
      CPPUNIT_ASSERT(question.homes == std::vector<std::string>{""});
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTenantsTest);

}  // namespace pumicedyke::gateway
