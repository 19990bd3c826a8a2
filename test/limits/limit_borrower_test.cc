// Tests how a gateway borrows tokens and handles the replies.
#include "limits/limit_borrower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace pumicedyke::limits {
namespace {

constexpr char kTenant[] = "t";
const AccountId kAccount{kTenant, 0};

/// A borrower on a gateway that is no lender of the tenant's account, and the two lenders.
struct BorrowerFixture {
  BorrowerFixture() {
    placement.SetAccounts({kAccount});
    placement.SetGateways({{"a", "a:1", "z"}, {"b", "b:1", "z"}, {"c", "c:1", "z"}});
    const Lenders lenders = placement.Find(kAccount);
    primary = lenders.primary->address;
    reserve = lenders.reserve->address;
    for (const std::string node : {"a", "b", "c"}) {
      if (node != lenders.primary->node && node != lenders.reserve->node) {
        self = node;
      }
    }
    lender.SetTerms(now, {{kAccount, {4, 8, 1, 4, Milliseconds(400)}}});
    borrower =
        std::make_unique<LimitBorrower>(BorrowerOptions{}, self, &placement, &lender, &next_id);
    borrower->SetTenants({{kTenant, 1}});
  }
  LimitStatus Admit(uint64_t id) {
    const LimitStatus status = borrower->Admit(now, RequestId{id}, kTenant).status;
    borrower->CollectInto(&out);
    return status;
  }
  void Answer(uint64_t request, wire::LimitStage stage, uint32_t granted,
              Duration retry_after = {}) {
    borrower->OnGrant(now, {request, kTenant, stage, granted, Milliseconds(300), retry_after});
    borrower->CollectInto(&out);
  }
  void Pass(Duration length) {
    now += length;
    borrower->Tick(now);
    borrower->CollectInto(&out);
  }
  const OutgoingLimitRequest& Asked(size_t i) const { return out.requests.at(i); }

  Timestamp now{Seconds(50)};
  uint64_t next_id = 1;
  std::string primary;
  std::string reserve;
  std::string self;
  LenderPlacement placement;
  LimitLender lender{{}};
  std::unique_ptr<LimitBorrower> borrower;
  LimitOutput out;
};

}  // namespace

class LimitBorrowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitBorrowerTest);
  CPPUNIT_TEST(AsksThePrimaryLenderAndWaits);
  CPPUNIT_TEST(RequestsArrivingMeanwhileShareTheNextLimitRequest);
  CPPUNIT_TEST(SilentLenderIsSkippedTemporarily);
  CPPUNIT_TEST(DisconnectedLenderIsSkippedAtOnce);
  CPPUNIT_TEST(ExhaustedAccountIsRememberedUntilItsRetryTime);
  CPPUNIT_TEST(ReserveIsNotAskedWhenTheAccountIsExhausted);
  CPPUNIT_TEST(LateGrantIsUsedByTheNextRequest);
  CPPUNIT_TEST(ExpiredGrantIsNotUsed);
  CPPUNIT_TEST(HighDemandIsPrefetchedAndUnusedTokensAreReturned);
  CPPUNIT_TEST(WithdrawnRequestLeavesItsToken);
  CPPUNIT_TEST(UnknownTenantIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AsksThePrimaryLenderAndWaits() {
    BorrowerFixture b;
    CPPUNIT_ASSERT(b.Admit(1) == LimitStatus::kWaiting);
    CPPUNIT_ASSERT_EQUAL(b.primary, b.Asked(0).address);
    CPPUNIT_ASSERT_EQUAL(1U, b.Asked(0).ask.wanted);
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, b.out.decisions.size());
    CPPUNIT_ASSERT(b.out.decisions[0].granted);
  }

  void RequestsArrivingMeanwhileShareTheNextLimitRequest() {
    BorrowerFixture b;
    for (uint64_t id = 1; id <= 6; ++id) {
      CPPUNIT_ASSERT(b.Admit(id) == LimitStatus::kWaiting);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, b.out.requests.size());
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, b.out.requests.size());
    CPPUNIT_ASSERT(b.Asked(2).ask.wanted >= 4);
    b.Answer(b.Asked(2).ask.id, wire::LimitStage::kGranted, 4);
    b.Answer(b.Asked(1).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{6}, b.out.decisions.size());
  }

  void SilentLenderIsSkippedTemporarily() {
    BorrowerFixture b;
    b.Admit(1);
    b.Pass(Milliseconds(26));
    CPPUNIT_ASSERT_EQUAL(b.reserve, b.Asked(1).address);
    b.Answer(b.Asked(1).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT(b.out.decisions.at(0).granted);
    b.Admit(2);
    CPPUNIT_ASSERT_EQUAL(b.reserve, b.Asked(2).address);
    b.Answer(b.Asked(2).ask.id, wire::LimitStage::kGranted, 1);
    b.Pass(Seconds(1));
    b.Admit(3);
    CPPUNIT_ASSERT_EQUAL(b.primary, b.Asked(3).address);
  }

  void DisconnectedLenderIsSkippedAtOnce() {
    BorrowerFixture b;
    b.Admit(1);
    b.borrower->OnGatewayLost(b.now, b.primary);
    b.borrower->CollectInto(&b.out);
    CPPUNIT_ASSERT_EQUAL(b.reserve, b.Asked(1).address);
    // No lender is left: the request is refused with a retry delay.
    b.borrower->OnGatewayLost(b.now, b.reserve);
    b.borrower->CollectInto(&b.out);
    CPPUNIT_ASSERT(!b.out.decisions.at(0).granted);
    CPPUNIT_ASSERT(b.out.decisions[0].retry_after > Duration(0));
  }

  void ExhaustedAccountIsRememberedUntilItsRetryTime() {
    BorrowerFixture b;
    b.Admit(1);
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kExhausted, 0, Milliseconds(400));
    CPPUNIT_ASSERT(!b.out.decisions.at(0).granted);
    CPPUNIT_ASSERT(b.out.decisions[0].retry_after >= Milliseconds(400));
    CPPUNIT_ASSERT(b.out.decisions[0].retry_after <= Milliseconds(800));
    b.Pass(Milliseconds(399));
    CPPUNIT_ASSERT(b.Admit(2) == LimitStatus::kRefused);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, b.out.requests.size());
    b.Pass(Milliseconds(1));
    CPPUNIT_ASSERT(b.Admit(3) == LimitStatus::kWaiting);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, b.out.requests.size());
  }

  void ReserveIsNotAskedWhenTheAccountIsExhausted() {
    BorrowerFixture b;
    b.Admit(1);
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kExhausted, 0, Milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, b.out.requests.size());
    // In contrast, kNotLender makes the borrower try the reserve.
    b.Pass(Milliseconds(400));
    b.Admit(2);
    b.Answer(b.Asked(1).ask.id, wire::LimitStage::kNotLender, 0);
    CPPUNIT_ASSERT_EQUAL(b.reserve, b.Asked(2).address);
  }

  void LateGrantIsUsedByTheNextRequest() {
    BorrowerFixture b;
    b.Admit(1);
    b.Pass(Milliseconds(26));
    b.Answer(b.Asked(1).ask.id, wire::LimitStage::kGranted, 1);
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, b.out.decisions.size());
    CPPUNIT_ASSERT(b.Admit(2) == LimitStatus::kGranted);
  }

  void ExpiredGrantIsNotUsed() {
    BorrowerFixture b;
    b.Admit(1);
    // The process was suspended while the reply was waiting.
    b.now += Milliseconds(301);
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT(b.out.decisions.empty());
    CPPUNIT_ASSERT_EQUAL(b.reserve, b.Asked(1).address);
  }

  void HighDemandIsPrefetchedAndUnusedTokensAreReturned() {
    BorrowerFixture b;
    for (uint64_t id = 1; id <= 40; ++id) {
      b.Admit(id);
      const wire::LimitRequest ask = b.out.requests.back().ask;
      b.Answer(ask.id, wire::LimitStage::kGranted, ask.wanted);
      b.Pass(Milliseconds(10));
    }
    b.Pass(Milliseconds(300));
    size_t asked = 0;
    uint32_t wanted = 0;
    uint32_t returned = 0;
    for (const OutgoingLimitRequest& request : b.out.requests) {
      const bool returns = request.ask.returned_of != 0;
      CPPUNIT_ASSERT(!returns || request.ask.wanted == 0);
      asked += returns ? 0 : 1;
      wanted += request.ask.wanted;
      returned += request.ask.returned;
    }
    CPPUNIT_ASSERT(asked < 20);
    CPPUNIT_ASSERT(returned > 0);
    CPPUNIT_ASSERT_EQUAL(wanted, 40 + returned);
  }

  void WithdrawnRequestLeavesItsToken() {
    BorrowerFixture b;
    b.Admit(1);
    b.borrower->Withdraw(RequestId{1});
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT(b.out.decisions.empty());
    CPPUNIT_ASSERT(b.Admit(2) == LimitStatus::kGranted);
  }

  void UnknownTenantIsRefused() {
    BorrowerFixture b;
    CPPUNIT_ASSERT(b.borrower->Admit(b.now, RequestId{1}, "other").status == LimitStatus::kRefused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitBorrowerTest);

}  // namespace pumicedyke::limits
