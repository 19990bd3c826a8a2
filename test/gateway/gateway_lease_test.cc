// How long a gateway serves requests with keys without word of the control machines.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway/gateway_harness.h"

namespace pumicedyke::gateway {
namespace {

constexpr char kKey[] = "hush-1";
constexpr Duration kBound = Milliseconds(5000);
constexpr Duration kLease = Milliseconds(4000);

struct Leased {
  Leased() : h(Options()) {
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
  /// @return kOk if a leaf was asked.
  ResultCode AskedNow(const std::string& target = "/one/x") {
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
  CPPUNIT_TEST(GatewayOutOfTouchServesUntilItsLeaseIsOver);
  CPPUNIT_TEST(FrozenGatewayRefusesTheFirstRequestAfterwards);
  CPPUNIT_TEST(AnswerThatWasLongUnderWayProvesOnlyWhenItWasAskedFor);
  CPPUNIT_TEST(AgeOfTheSendersProofIsTakenOff);
  CPPUNIT_TEST(OpenRoutesGoOn);
  CPPUNIT_TEST(KeyThatWasTakenAwayIsUnknownAtOnce);
  CPPUNIT_TEST(DocumentThatCannotBeReadEndsTheProof);
  CPPUNIT_TEST(RefusalSaysWhenToComeBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// As after a loss of all power.
  void GatewayThatStartsServesNoKeysBeforeTheFirstProof() {
    Leased g;
    CPPUNIT_ASSERT(g.h.server.ready());
    CPPUNIT_ASSERT(g.AskedNow() == ResultCode::kKeysUnproven);
    CPPUNIT_ASSERT(!g.h.server.KeysProven(g.h.now));
    g.h.Prove(g.h.now);
    CPPUNIT_ASSERT(g.AskedNow() == ResultCode::kOk);
    CPPUNIT_ASSERT(g.h.server.KeysProven(g.h.now));
  }

  void GatewayOutOfTouchServesUntilItsLeaseIsOver() {
    Leased g;
    const Timestamp proven = g.h.now;
    g.h.Prove(proven);
    g.h.Pass(kLease - Milliseconds(1));
    CPPUNIT_ASSERT(g.AskedNow() == ResultCode::kOk);
    g.h.Pass(Milliseconds(1));
    CPPUNIT_ASSERT(g.AskedNow() == ResultCode::kKeysUnproven);
    g.h.Prove(g.h.now);
    CPPUNIT_ASSERT(g.AskedNow() == ResultCode::kOk);
  }

  /// Nothing ran meanwhile: the request is the first thing that it sees.
  void FrozenGatewayRefusesTheFirstRequestAfterwards() {
    Leased g;
    g.h.Prove(g.h.now);
    g.h.now += kLease;
    CPPUNIT_ASSERT(g.AskedNow() == ResultCode::kKeysUnproven);
  }

  void AnswerThatWasLongUnderWayProvesOnlyWhenItWasAskedFor() {
    Leased g;
    const Timestamp asked = g.h.now;
    g.h.Pass(kLease);
    g.h.Prove(asked);
    CPPUNIT_ASSERT(g.AskedNow() == ResultCode::kKeysUnproven);
  }

  void AgeOfTheSendersProofIsTakenOff() {
    Leased g;
    g.h.Prove(g.h.now, Milliseconds(600));
    g.h.Pass(kLease - Milliseconds(600));
    CPPUNIT_ASSERT(g.AskedNow() == ResultCode::kKeysUnproven);
  }

  void OpenRoutesGoOn() {
    Leased g;
    CPPUNIT_ASSERT(g.AskedNow("/open/x") == ResultCode::kOk);
    g.h.Prove(g.h.now);
    g.h.Pass(Seconds(60));
    CPPUNIT_ASSERT(g.AskedNow("/open/x") == ResultCode::kOk);
  }

  void KeyThatWasTakenAwayIsUnknownAtOnce() {
    Leased g;
    g.h.Prove(g.h.now);
    tenants::Tenant tenant;
    tenant.name = "acme";
    g.h.SetTenants(std::vector{tenant});
    g.h.Put(2, Json::array({{"one", "/one/", true, "s0"}}).dump());
    CPPUNIT_ASSERT(g.AskedNow() == ResultCode::kUnknownKey);
    // The same document once more.
    g.h.Put(2, Json::array({{"one", "/one/", true, "s0"}}).dump());
    CPPUNIT_ASSERT(g.AskedNow() == ResultCode::kUnknownKey);
  }

  /// It may have taken the key away.
  void DocumentThatCannotBeReadEndsTheProof() {
    Leased g;
    g.h.Prove(g.h.now);
    g.h.Put(2, TestReader::kUnreadable);
    g.h.Prove(g.h.now);
    CPPUNIT_ASSERT(g.AskedNow() == ResultCode::kKeysUnproven);
    CPPUNIT_ASSERT(g.AskedNow("/open/x") == ResultCode::kOk);
    g.h.Put(3, Json::array({{"one", "/one/", true, "s0"}}).dump());
    CPPUNIT_ASSERT(g.AskedNow() == ResultCode::kOk);
  }

  void RefusalSaysWhenToComeBack() {
    Leased g;
    g.h.Prove(g.h.now);
    g.h.Pass(kLease + Seconds(1));
    CPPUNIT_ASSERT(g.AskedNow() == ResultCode::kKeysUnproven);
    CPPUNIT_ASSERT(g.h.answers.back().retry_after == Seconds(1));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayLeaseTest);

}  // namespace pumicedyke::gateway
