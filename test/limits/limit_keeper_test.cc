// One gateway's accounts: lending, what comes back, claims, and proofs that lapse.
#include "limits/limit_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::limits {
namespace {

const AccountId kAccount{"t", 0};
const AccountTerms kTerms{2, 4, 1, 3, Milliseconds(400)};

/// A keeper whose configuration is always proved.
struct Kept {
  explicit Kept(KeeperRole role, std::vector<std::string> rivals = {}) {
    keeper.OnProof(now, now);
    keeper.SetTerms(now, {{kAccount, kTerms}});
    keeper.SetRole(now, kAccount, role, std::move(rivals));
  }
  void Pass(Duration length) {
    const Timestamp end = now + length;
    while (now < end) {
      now = std::min(end, now + Milliseconds(500));
      keeper.OnProof(now, now);
    }
  }
  uint32_t Lend(uint32_t wanted) { return keeper.Lend(now, kAccount, wanted).count; }

  Timestamp now{Seconds(50)};
  uint64_t next_id = 1;
  LimitKeeper keeper{{}};
};

}  // namespace

class LimitKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitKeeperTest);
  CPPUNIT_TEST(FillsAfterItHasSettled);
  CPPUNIT_TEST(TellsWhenTokensWillBeThere);
  CPPUNIT_TEST(ThoseTurnedAwayAreToldDifferentTimes);
  CPPUNIT_TEST(WithoutProofItLendsNothingAndBeginsAnew);
  CPPUNIT_TEST(WhatComesBackInTimeIsLentAgain);
  CPPUNIT_TEST(ClaimMovesTheAccount);
  CPPUNIT_TEST(ClaimOfOneThatDidNotFillItSaysNothing);
  CPPUNIT_TEST(LateAnswerToAClaimDoesNotCount);
  CPPUNIT_TEST(ReserveGoesOverToTheNewFirst);
  CPPUNIT_TEST(LowerTermsCutWhatItHolds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FillsAfterItHasSettled() {
    Kept kept(KeeperRole::kFirst);
    kept.Pass(Milliseconds(2400));
    const Lent before = kept.keeper.Lend(kept.now, kAccount, 1);
    CPPUNIT_ASSERT(before.stage == wire::LimitStage::kNotKeeper);
    kept.Pass(Milliseconds(1100));
    CPPUNIT_ASSERT_EQUAL(2U, kept.Lend(9));
    kept.Pass(Seconds(60));
    CPPUNIT_ASSERT_EQUAL(4U, kept.Lend(9));
    CPPUNIT_ASSERT(kept.keeper.Lend(kept.now, {"other", 0}, 1).stage ==
                   wire::LimitStage::kNotKeeper);
  }

  void TellsWhenTokensWillBeThere() {
    Kept kept(KeeperRole::kFirst);
    kept.Pass(Seconds(60));
    const Lent some = kept.keeper.Lend(kept.now, kAccount, 9);
    CPPUNIT_ASSERT(some.stage == wire::LimitStage::kGranted);
    CPPUNIT_ASSERT_EQUAL(4U, some.count);
    CPPUNIT_ASSERT_EQUAL(Duration(Milliseconds(500)).count(), some.retry_after.count());
    const Lent none = kept.keeper.Lend(kept.now, kAccount, 1);
    CPPUNIT_ASSERT(none.stage == wire::LimitStage::kExhausted);
    kept.Pass(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(1U, kept.Lend(1));
  }

  void ThoseTurnedAwayAreToldDifferentTimes() {
    Kept kept(KeeperRole::kFirst);
    kept.Pass(Seconds(60));
    Duration last = kept.keeper.Lend(kept.now, kAccount, 9).retry_after;
    for (int i = 0; i < 50; ++i) {
      const Duration next = kept.keeper.Lend(kept.now, kAccount, 1).retry_after;
      CPPUNIT_ASSERT(next > last);
      last = next;
    }
    // Not later than its bound, however many ask.
    for (int i = 0; i < 1000; ++i) {
      last = kept.keeper.Lend(kept.now, kAccount, 1).retry_after;
    }
    CPPUNIT_ASSERT(last <= Seconds(5));
  }

  void WithoutProofItLendsNothingAndBeginsAnew() {
    Kept kept(KeeperRole::kFirst);
    kept.Pass(Seconds(60));
    const Timestamp proven = kept.now;
    kept.now += Milliseconds(3200);
    kept.keeper.OnProof(kept.now, proven);
    CPPUNIT_ASSERT_EQUAL(1U, kept.Lend(1));
    kept.now += Milliseconds(200);
    kept.keeper.OnProof(kept.now, proven);
    CPPUNIT_ASSERT(kept.keeper.Lend(kept.now, kAccount, 1).stage == wire::LimitStage::kNotKeeper);
    // Proved again: somebody else may have kept it meanwhile.
    kept.keeper.OnProof(kept.now, kept.now);
    CPPUNIT_ASSERT_EQUAL(0U, kept.Lend(1));
    kept.Pass(Milliseconds(3100));
    CPPUNIT_ASSERT_EQUAL(1U, kept.Lend(1));
  }

  void WhatComesBackInTimeIsLentAgain() {
    Kept kept(KeeperRole::kFirst);
    kept.Pass(Seconds(60));
    const Borrower borrower{7, 1};
    CPPUNIT_ASSERT_EQUAL(4U, kept.keeper.LendTo(kept.now, kAccount, 4, borrower).count);
    // Of another question, or more than was lent.
    kept.keeper.TakeBack(kept.now, kAccount, 4, {7, 2});
    CPPUNIT_ASSERT_EQUAL(0U, kept.Lend(9));
    kept.keeper.TakeBack(kept.now, kAccount, 3, borrower);
    kept.keeper.TakeBack(kept.now, kAccount, 3, borrower);
    CPPUNIT_ASSERT_EQUAL(4U, kept.Lend(9));
    // Too late.
    kept.Pass(Seconds(60));
    kept.keeper.LendTo(kept.now, kAccount, 4, borrower);
    kept.now += Milliseconds(401);
    kept.keeper.TakeBack(kept.now, kAccount, 4, borrower);
    CPPUNIT_ASSERT_EQUAL(0U, kept.Lend(9));
  }

  void ClaimMovesTheAccount() {
    Kept former(KeeperRole::kFirst);
    former.Pass(Seconds(60));
    Kept next(KeeperRole::kFirst, {"former"});
    next.now = former.now;
    next.keeper.OnProof(next.now, next.now);
    const std::vector<AccountClaim> claims = next.keeper.Tick(next.now, &next.next_id);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, claims.size());
    CPPUNIT_ASSERT_EQUAL(std::string("former"), claims.front().address);
    const Lent answer = former.keeper.OnClaim(former.now, kAccount);
    CPPUNIT_ASSERT_EQUAL(4U, answer.count);
    CPPUNIT_ASSERT_EQUAL(0U, former.Lend(1));
    CPPUNIT_ASSERT(former.keeper.OnClaim(former.now, kAccount).stage ==
                   wire::LimitStage::kNotKeeper);
    CPPUNIT_ASSERT(next.keeper.OnClaimAnswer(
        next.now, {claims.front().ask.id, "t", answer.stage, answer.count, {}, {}}));
    CPPUNIT_ASSERT_EQUAL(4U, next.Lend(9));
    // It is filled from now on, and the former one is not.
    next.Pass(Seconds(1));
    former.Pass(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(2U, next.Lend(9));
    CPPUNIT_ASSERT_EQUAL(0U, former.Lend(9));
  }

  void ClaimOfOneThatDidNotFillItSaysNothing() {
    Kept second(KeeperRole::kSecond);
    second.Pass(Seconds(60));
    CPPUNIT_ASSERT(second.keeper.OnClaim(second.now, kAccount).stage ==
                   wire::LimitStage::kNotKeeper);
    // The reserve stays.
    CPPUNIT_ASSERT_EQUAL(3U, second.Lend(9));
  }

  void LateAnswerToAClaimDoesNotCount() {
    Kept next(KeeperRole::kFirst, {"former"});
    const std::vector<AccountClaim> claims = next.keeper.Tick(next.now, &next.next_id);
    next.Pass(Milliseconds(600));
    next.keeper.OnClaimAnswer(next.now,
                              {claims.front().ask.id, "t", wire::LimitStage::kGranted, 4, {}, {}});
    CPPUNIT_ASSERT_EQUAL(0U, next.Lend(9));
  }

  void ReserveGoesOverToTheNewFirst() {
    Kept kept(KeeperRole::kSecond);
    kept.Pass(Seconds(60));
    kept.keeper.SetRole(kept.now, kAccount, KeeperRole::kFirst, {});
    // Lent at once, and not filled before it has settled.
    CPPUNIT_ASSERT_EQUAL(3U, kept.Lend(9));
    kept.Pass(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(0U, kept.Lend(9));
    kept.Pass(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(1U, kept.Lend(9));
  }

  void LowerTermsCutWhatItHolds() {
    Kept kept(KeeperRole::kFirst);
    kept.Pass(Seconds(60));
    AccountTerms lower = kTerms;
    lower.rate = 0.5;
    lower.cap = 1;
    kept.keeper.SetTerms(kept.now, {{kAccount, lower}});
    CPPUNIT_ASSERT_EQUAL(1U, kept.Lend(9));
    kept.Pass(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(1U, kept.Lend(9));
    kept.keeper.SetTerms(kept.now, {});
    CPPUNIT_ASSERT(kept.keeper.Lend(kept.now, kAccount, 1).stage == wire::LimitStage::kNotKeeper);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitKeeperTest);

}  // namespace pumicedyke::limits
