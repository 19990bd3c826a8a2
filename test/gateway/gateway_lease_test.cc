// How long a gateway serves requests with keys without contact to the control machines.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway/gateway_harness.h"

namespace pumicedyke::gateway {
namespace {

constexpr char kKey[] = "hush-1";
constexpr Duration kBound = Milliseconds(5000);
constexpr Duration kLease = Milliseconds(4000);

struct LeasedGateway {
  LeasedGateway() : h(Options()) {
    tenants::Tenant tenant;
    tenant.name = "acme";
    tenant.api_keys = {kKey};
    h.SetTenants(std::vector{tenant});
    h.SetOpen({"open"});
    h.Put(1, Json::array({{"one", "/one/", true, "s0"}, {"open", "/open/", true, "s0"}}).dump());
    h.Report({GatewayHarness::Leaf("a", "s0"), GatewayHarness::Leaf("b", "s0")});
  }
  static GatewayOptions Options() {
    GatewayOptions options = GatewayHarness::Options();
    options.entry.key_lease.revocation_bound = kBound;
    return options;
  }
  /// @return kOk if the request was sent to a leaf.
  ResultCode ResultOfRequest(const std::string& target = "/one/x") {
    const size_t sends = h.sends.size();
    h.AskWithKey(target, kKey);
    return h.sends.size() > sends ? ResultCode::kOk : h.answers.back().code;
  }
  GatewayHarness h;
};

}  // namespace

class GatewayLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayLeaseTest);
  CPPUNIT_TEST(GatewayThatStartsServesNoKeysBeforeTheFirstProof);
  CPPUNIT_TEST(DisconnectedGatewayServesUntilItsLeaseExpires);
  CPPUNIT_TEST(PausedGatewayRefusesTheFirstRequestAfterResuming);
  CPPUNIT_TEST(DelayedAnswerProvesOnlyTheTimeOfItsHello);
  CPPUNIT_TEST(AgeOfTheSendersProofIsDeducted);
  CPPUNIT_TEST(OpenRoutesNeedNoLease);
  CPPUNIT_TEST(RemovedKeyIsUnknownAtOnce);
  CPPUNIT_TEST(UnreadableDocumentEndsTheProof);
  CPPUNIT_TEST(RefusalHasARetryHint);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The state after a power failure of all machines.
  void GatewayThatStartsServesNoKeysBeforeTheFirstProof() {
    LeasedGateway g;
    CPPUNIT_ASSERT(g.h.server.ready());
    CPPUNIT_ASSERT(g.ResultOfRequest() == ResultCode::kKeysUnproven);
    CPPUNIT_ASSERT(!g.h.server.KeysProven(g.h.now));
    g.h.Prove(g.h.now);
    CPPUNIT_ASSERT(g.ResultOfRequest() == ResultCode::kOk);
    CPPUNIT_ASSERT(g.h.server.KeysProven(g.h.now));
  }

  void DisconnectedGatewayServesUntilItsLeaseExpires() {
    LeasedGateway g;
    const Timestamp proven = g.h.now;
    g.h.Prove(proven);
    g.h.Pass(kLease - Milliseconds(1));
    CPPUNIT_ASSERT(g.ResultOfRequest() == ResultCode::kOk);
    g.h.Pass(Milliseconds(1));
    CPPUNIT_ASSERT(g.ResultOfRequest() == ResultCode::kKeysUnproven);
    g.h.Prove(g.h.now);
    CPPUNIT_ASSERT(g.ResultOfRequest() == ResultCode::kOk);
  }

  /// The process was paused, and the request is the first event that it sees.
  void PausedGatewayRefusesTheFirstRequestAfterResuming() {
    LeasedGateway g;
    g.h.Prove(g.h.now);
    g.h.now += kLease;
    CPPUNIT_ASSERT(g.ResultOfRequest() == ResultCode::kKeysUnproven);
  }

  void DelayedAnswerProvesOnlyTheTimeOfItsHello() {
    LeasedGateway g;
    const Timestamp asked = g.h.now;
    g.h.Pass(kLease);
    g.h.Prove(asked);
    CPPUNIT_ASSERT(g.ResultOfRequest() == ResultCode::kKeysUnproven);
  }

  void AgeOfTheSendersProofIsDeducted() {
    LeasedGateway g;
    g.h.Prove(g.h.now, Milliseconds(600));
    g.h.Pass(kLease - Milliseconds(600));
    CPPUNIT_ASSERT(g.ResultOfRequest() == ResultCode::kKeysUnproven);
  }

  void OpenRoutesNeedNoLease() {
    LeasedGateway g;
    CPPUNIT_ASSERT(g.ResultOfRequest("/open/x") == ResultCode::kOk);
    g.h.Prove(g.h.now);
    g.h.Pass(Seconds(60));
    CPPUNIT_ASSERT(g.ResultOfRequest("/open/x") == ResultCode::kOk);
  }

  void RemovedKeyIsUnknownAtOnce() {
    LeasedGateway g;
    g.h.Prove(g.h.now);
    tenants::Tenant tenant;
    tenant.name = "acme";
    g.h.SetTenants(std::vector{tenant});
    g.h.Put(2, Json::array({{"one", "/one/", true, "s0"}}).dump());
    CPPUNIT_ASSERT(g.ResultOfRequest() == ResultCode::kUnknownKey);
    // Put the same document again.
    g.h.Put(2, Json::array({{"one", "/one/", true, "s0"}}).dump());
    CPPUNIT_ASSERT(g.ResultOfRequest() == ResultCode::kUnknownKey);
  }

  /// The unreadable document may have removed the key.
  void UnreadableDocumentEndsTheProof() {
    LeasedGateway g;
    g.h.Prove(g.h.now);
    g.h.Put(2, TestReader::kUnreadable);
    g.h.Prove(g.h.now);
    CPPUNIT_ASSERT(g.ResultOfRequest() == ResultCode::kKeysUnproven);
    CPPUNIT_ASSERT(g.ResultOfRequest("/open/x") == ResultCode::kOk);
    g.h.Put(3, Json::array({{"one", "/one/", true, "s0"}}).dump());
    CPPUNIT_ASSERT(g.ResultOfRequest() == ResultCode::kOk);
  }

  void RefusalHasARetryHint() {
    LeasedGateway g;
    g.h.Prove(g.h.now);
    g.h.Pass(kLease + Seconds(1));
    CPPUNIT_ASSERT(g.ResultOfRequest() == ResultCode::kKeysUnproven);
    CPPUNIT_ASSERT(g.h.answers.back().retry_after == Seconds(1));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayLeaseTest);

}  // namespace pumicedyke::gateway
