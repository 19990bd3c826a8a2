// Tests the accounts of one gateway: lending, returned tokens, claims and lapsed proofs.
#include "limits/limit_lender.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::limits {
namespace {

const AccountId kAccount{"t", 0};
const AccountTerms kTerms{2, 4, 1, 3, Milliseconds(400)};

/// A lender whose configuration is always proven current.
struct LenderFixture {
  explicit LenderFixture(LenderRole role, std::vector<std::string> claim_targets = {}) {
    lender.OnProof(now, now);
    lender.SetTerms(now, {{kAccount, kTerms}});
    lender.SetRole(now, kAccount, role, std::move(claim_targets));
  }
  void Pass(Duration length) {
    const Timestamp end = now + length;
    while (now < end) {
      now = std::min(end, now + Milliseconds(500));
      lender.OnProof(now, now);
    }
  }
  uint32_t Lend(uint32_t wanted) { return lender.Lend(now, kAccount, wanted).count; }

  Timestamp now{Seconds(50)};
  uint64_t next_id = 1;
  LimitLender lender{{}};
};

}  // namespace

class LimitLenderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitLenderTest);
  CPPUNIT_TEST(RefillsAfterSettling);
  CPPUNIT_TEST(ReturnsTheTimeOfTheNextToken);
  CPPUNIT_TEST(RefusedRequestsGetDifferentRetryTimes);
  CPPUNIT_TEST(LapsedProofStopsLendingAndStartsOver);
  CPPUNIT_TEST(TokensReturnedInTimeAreLentAgain);
  CPPUNIT_TEST(ClaimMovesTheAccount);
  CPPUNIT_TEST(ClaimAtALenderThatDidNotRefillIsNotGranted);
  CPPUNIT_TEST(LateClaimReplyIsIgnored);
  CPPUNIT_TEST(ReserveMovesToTheNewPrimary);
  CPPUNIT_TEST(LowerTermsReduceTheLevel);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefillsAfterSettling() {
    LenderFixture fixture(LenderRole::kPrimary);
    fixture.Pass(Milliseconds(2400));
    const LendResult before = fixture.lender.Lend(fixture.now, kAccount, 1);
    CPPUNIT_ASSERT(before.stage == wire::LimitStage::kNotLender);
    fixture.Pass(Milliseconds(1100));
    CPPUNIT_ASSERT_EQUAL(2U, fixture.Lend(9));
    fixture.Pass(Seconds(60));
    CPPUNIT_ASSERT_EQUAL(4U, fixture.Lend(9));
    CPPUNIT_ASSERT(fixture.lender.Lend(fixture.now, {"other", 0}, 1).stage ==
                   wire::LimitStage::kNotLender);
  }

  void ReturnsTheTimeOfTheNextToken() {
    LenderFixture fixture(LenderRole::kPrimary);
    fixture.Pass(Seconds(60));
    const LendResult some = fixture.lender.Lend(fixture.now, kAccount, 9);
    CPPUNIT_ASSERT(some.stage == wire::LimitStage::kGranted);
    CPPUNIT_ASSERT_EQUAL(4U, some.count);
    CPPUNIT_ASSERT_EQUAL(Duration(Milliseconds(500)).count(), some.retry_after.count());
    const LendResult none = fixture.lender.Lend(fixture.now, kAccount, 1);
    CPPUNIT_ASSERT(none.stage == wire::LimitStage::kExhausted);
    fixture.Pass(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(1U, fixture.Lend(1));
  }

  void RefusedRequestsGetDifferentRetryTimes() {
    LenderFixture fixture(LenderRole::kPrimary);
    fixture.Pass(Seconds(60));
    Duration last = fixture.lender.Lend(fixture.now, kAccount, 9).retry_after;
    for (int i = 0; i < 50; ++i) {
      const Duration next = fixture.lender.Lend(fixture.now, kAccount, 1).retry_after;
      CPPUNIT_ASSERT(next > last);
      last = next;
    }
    // The delay is bounded regardless of the number of requests.
    for (int i = 0; i < 1000; ++i) {
      last = fixture.lender.Lend(fixture.now, kAccount, 1).retry_after;
    }
    CPPUNIT_ASSERT(last <= Seconds(5));
  }

  void LapsedProofStopsLendingAndStartsOver() {
    LenderFixture fixture(LenderRole::kPrimary);
    fixture.Pass(Seconds(60));
    const Timestamp proven = fixture.now;
    fixture.now += Milliseconds(3200);
    fixture.lender.OnProof(fixture.now, proven);
    CPPUNIT_ASSERT_EQUAL(1U, fixture.Lend(1));
    fixture.now += Milliseconds(200);
    fixture.lender.OnProof(fixture.now, proven);
    CPPUNIT_ASSERT(fixture.lender.Lend(fixture.now, kAccount, 1).stage ==
                   wire::LimitStage::kNotLender);
    // Proven again, but another gateway may have been the lender in the meantime.
    fixture.lender.OnProof(fixture.now, fixture.now);
    CPPUNIT_ASSERT_EQUAL(0U, fixture.Lend(1));
    fixture.Pass(Milliseconds(3100));
    CPPUNIT_ASSERT_EQUAL(1U, fixture.Lend(1));
  }

  void TokensReturnedInTimeAreLentAgain() {
    LenderFixture fixture(LenderRole::kPrimary);
    fixture.Pass(Seconds(60));
    const BorrowerId borrower{7, 1};
    CPPUNIT_ASSERT_EQUAL(4U, fixture.lender.LendTo(fixture.now, kAccount, 4, borrower).count);
    // Tokens of another limit request, or more than were lent, are not accepted.
    fixture.lender.TakeBack(fixture.now, kAccount, 4, {7, 2});
    CPPUNIT_ASSERT_EQUAL(0U, fixture.Lend(9));
    fixture.lender.TakeBack(fixture.now, kAccount, 3, borrower);
    fixture.lender.TakeBack(fixture.now, kAccount, 3, borrower);
    CPPUNIT_ASSERT_EQUAL(4U, fixture.Lend(9));
    // Too late.
    fixture.Pass(Seconds(60));
    fixture.lender.LendTo(fixture.now, kAccount, 4, borrower);
    fixture.now += Milliseconds(401);
    fixture.lender.TakeBack(fixture.now, kAccount, 4, borrower);
    CPPUNIT_ASSERT_EQUAL(0U, fixture.Lend(9));
  }

  void ClaimMovesTheAccount() {
    LenderFixture previous(LenderRole::kPrimary);
    previous.Pass(Seconds(60));
    LenderFixture next(LenderRole::kPrimary, {"former"});
    next.now = previous.now;
    next.lender.OnProof(next.now, next.now);
    const std::vector<AccountClaim> claims = next.lender.Tick(next.now, &next.next_id);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, claims.size());
    CPPUNIT_ASSERT_EQUAL(std::string("former"), claims.front().address);
    const LendResult answer = previous.lender.OnClaim(previous.now, kAccount);
    CPPUNIT_ASSERT_EQUAL(4U, answer.count);
    CPPUNIT_ASSERT_EQUAL(0U, previous.Lend(1));
    CPPUNIT_ASSERT(previous.lender.OnClaim(previous.now, kAccount).stage ==
                   wire::LimitStage::kNotLender);
    CPPUNIT_ASSERT(next.lender.OnClaimAnswer(
        next.now, {claims.front().ask.id, "t", answer.stage, answer.count, {}, {}}));
    CPPUNIT_ASSERT_EQUAL(4U, next.Lend(9));
    // Only the new lender refills from now on.
    next.Pass(Seconds(1));
    previous.Pass(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(2U, next.Lend(9));
    CPPUNIT_ASSERT_EQUAL(0U, previous.Lend(9));
  }

  void ClaimAtALenderThatDidNotRefillIsNotGranted() {
    LenderFixture reserve(LenderRole::kReserve);
    reserve.Pass(Seconds(60));
    CPPUNIT_ASSERT(reserve.lender.OnClaim(reserve.now, kAccount).stage ==
                   wire::LimitStage::kNotLender);
    // The reserve stays.
    CPPUNIT_ASSERT_EQUAL(3U, reserve.Lend(9));
  }

  void LateClaimReplyIsIgnored() {
    LenderFixture next(LenderRole::kPrimary, {"former"});
    const std::vector<AccountClaim> claims = next.lender.Tick(next.now, &next.next_id);
    next.Pass(Milliseconds(600));
    next.lender.OnClaimAnswer(next.now,
                              {claims.front().ask.id, "t", wire::LimitStage::kGranted, 4, {}, {}});
    CPPUNIT_ASSERT_EQUAL(0U, next.Lend(9));
  }

  void ReserveMovesToTheNewPrimary() {
    LenderFixture fixture(LenderRole::kReserve);
    fixture.Pass(Seconds(60));
    fixture.lender.SetRole(fixture.now, kAccount, LenderRole::kPrimary, {});
    // The reserve is lent at once, but not refilled before the account has settled.
    CPPUNIT_ASSERT_EQUAL(3U, fixture.Lend(9));
    fixture.Pass(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(0U, fixture.Lend(9));
    fixture.Pass(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(1U, fixture.Lend(9));
  }

  void LowerTermsReduceTheLevel() {
    LenderFixture fixture(LenderRole::kPrimary);
    fixture.Pass(Seconds(60));
    AccountTerms lower = kTerms;
    lower.rate = 0.5;
    lower.cap = 1;
    fixture.lender.SetTerms(fixture.now, {{kAccount, lower}});
    CPPUNIT_ASSERT_EQUAL(1U, fixture.Lend(9));
    fixture.Pass(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(1U, fixture.Lend(9));
    fixture.lender.SetTerms(fixture.now, {});
    CPPUNIT_ASSERT(fixture.lender.Lend(fixture.now, kAccount, 1).stage ==
                   wire::LimitStage::kNotLender);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitLenderTest);

}  // namespace pumicedyke::limits
