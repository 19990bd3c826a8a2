// How a gateway asks for the right to send requests, and what it does with the answers.
#include "limits/limit_borrower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace pumicedyke::limits {
namespace {

constexpr char kTenant[] = "t";
const AccountId kAccount{kTenant, 0};

/// A gateway that keeps no account of the tenant, and two that do.
struct Borrowing {
  Borrowing() {
    placement.SetAccounts({kAccount});
    placement.SetGateways({{"a", "a:1", "z"}, {"b", "b:1", "z"}, {"c", "c:1", "z"}});
    const Keepers keepers = placement.Find(kAccount);
    first = keepers.first->address;
    second = keepers.second->address;
    for (const std::string node : {"a", "b", "c"}) {
      if (node != keepers.first->node && node != keepers.second->node) {
        self = node;
      }
    }
    keeper.SetTerms(now, {{kAccount, {4, 8, 1, 4, Milliseconds(400)}}});
    borrower =
        std::make_unique<LimitBorrower>(BorrowerOptions{}, self, &placement, &keeper, &next_id);
    borrower->SetTenants({{kTenant, 1}});
  }
  LimitVerdict Admit(uint64_t id) {
    const LimitVerdict verdict = borrower->Admit(now, RequestId{id}, kTenant).verdict;
    borrower->CollectInto(&out);
    return verdict;
  }
  void Answer(uint64_t question, wire::LimitStage stage, uint32_t granted,
              Duration retry_after = {}) {
    borrower->OnGrant(now, {question, kTenant, stage, granted, Milliseconds(300), retry_after});
    borrower->CollectInto(&out);
  }
  void Pass(Duration length) {
    now += length;
    borrower->Tick(now);
    borrower->CollectInto(&out);
  }
  const LimitQuestion& Asked(size_t i) const { return out.questions.at(i); }

  Timestamp now{Seconds(50)};
  uint64_t next_id = 1;
  std::string first;
  std::string second;
  std::string self;
  KeeperPlacement placement;
  LimitKeeper keeper{{}};
  std::unique_ptr<LimitBorrower> borrower;
  LimitOutput out;
};

}  // namespace

class LimitBorrowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitBorrowerTest);
  CPPUNIT_TEST(AsksTheKeeperAndWaits);
  CPPUNIT_TEST(RequestsThatComeMeanwhileGoWithTheNextQuestion);
  CPPUNIT_TEST(SilentKeeperIsPassedOverForAWhile);
  CPPUNIT_TEST(LostKeeperIsPassedOverAtOnce);
  CPPUNIT_TEST(NothingLeftIsRememberedUntilItsTime);
  CPPUNIT_TEST(ReserveIsNotAskedWhenNothingIsLeft);
  CPPUNIT_TEST(LateGrantIsUsedByTheNextRequest);
  CPPUNIT_TEST(GrantThatCameTooLateIsNotUsed);
  CPPUNIT_TEST(MuchDemandIsAskedForAheadAndWhatIsLeftGoesBack);
  CPPUNIT_TEST(RequestThatIsWithdrawnLeavesItsToken);
  CPPUNIT_TEST(UnknownTenantIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AsksTheKeeperAndWaits() {
    Borrowing b;
    CPPUNIT_ASSERT(b.Admit(1) == LimitVerdict::kWaiting);
    CPPUNIT_ASSERT_EQUAL(b.first, b.Asked(0).address);
    CPPUNIT_ASSERT_EQUAL(1U, b.Asked(0).ask.wanted);
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, b.out.decisions.size());
    CPPUNIT_ASSERT(b.out.decisions[0].granted);
  }

  void RequestsThatComeMeanwhileGoWithTheNextQuestion() {
    Borrowing b;
    for (uint64_t id = 1; id <= 6; ++id) {
      CPPUNIT_ASSERT(b.Admit(id) == LimitVerdict::kWaiting);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, b.out.questions.size());
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, b.out.questions.size());
    CPPUNIT_ASSERT(b.Asked(2).ask.wanted >= 4);
    b.Answer(b.Asked(2).ask.id, wire::LimitStage::kGranted, 4);
    b.Answer(b.Asked(1).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{6}, b.out.decisions.size());
  }

  void SilentKeeperIsPassedOverForAWhile() {
    Borrowing b;
    b.Admit(1);
    b.Pass(Milliseconds(26));
    CPPUNIT_ASSERT_EQUAL(b.second, b.Asked(1).address);
    b.Answer(b.Asked(1).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT(b.out.decisions.at(0).granted);
    b.Admit(2);
    CPPUNIT_ASSERT_EQUAL(b.second, b.Asked(2).address);
    b.Answer(b.Asked(2).ask.id, wire::LimitStage::kGranted, 1);
    b.Pass(Seconds(1));
    b.Admit(3);
    CPPUNIT_ASSERT_EQUAL(b.first, b.Asked(3).address);
  }

  void LostKeeperIsPassedOverAtOnce() {
    Borrowing b;
    b.Admit(1);
    b.borrower->OnGatewayLost(b.now, b.first);
    b.borrower->CollectInto(&b.out);
    CPPUNIT_ASSERT_EQUAL(b.second, b.Asked(1).address);
    // Nobody can say: refused, with a time.
    b.borrower->OnGatewayLost(b.now, b.second);
    b.borrower->CollectInto(&b.out);
    CPPUNIT_ASSERT(!b.out.decisions.at(0).granted);
    CPPUNIT_ASSERT(b.out.decisions[0].retry_after > Duration(0));
  }

  void NothingLeftIsRememberedUntilItsTime() {
    Borrowing b;
    b.Admit(1);
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kExhausted, 0, Milliseconds(400));
    CPPUNIT_ASSERT(!b.out.decisions.at(0).granted);
    CPPUNIT_ASSERT(b.out.decisions[0].retry_after >= Milliseconds(400));
    CPPUNIT_ASSERT(b.out.decisions[0].retry_after <= Milliseconds(800));
    b.Pass(Milliseconds(399));
    CPPUNIT_ASSERT(b.Admit(2) == LimitVerdict::kRefused);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, b.out.questions.size());
    b.Pass(Milliseconds(1));
    CPPUNIT_ASSERT(b.Admit(3) == LimitVerdict::kWaiting);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, b.out.questions.size());
  }

  void ReserveIsNotAskedWhenNothingIsLeft() {
    Borrowing b;
    b.Admit(1);
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kExhausted, 0, Milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, b.out.questions.size());
    // One that does not keep it is another matter.
    b.Pass(Milliseconds(400));
    b.Admit(2);
    b.Answer(b.Asked(1).ask.id, wire::LimitStage::kNotKeeper, 0);
    CPPUNIT_ASSERT_EQUAL(b.second, b.Asked(2).address);
  }

  void LateGrantIsUsedByTheNextRequest() {
    Borrowing b;
    b.Admit(1);
    b.Pass(Milliseconds(26));
    b.Answer(b.Asked(1).ask.id, wire::LimitStage::kGranted, 1);
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, b.out.decisions.size());
    CPPUNIT_ASSERT(b.Admit(2) == LimitVerdict::kGranted);
  }

  void GrantThatCameTooLateIsNotUsed() {
    Borrowing b;
    b.Admit(1);
    // As after a suspension: the answer lay there.
    b.now += Milliseconds(301);
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT(b.out.decisions.empty());
    CPPUNIT_ASSERT_EQUAL(b.second, b.Asked(1).address);
  }

  void MuchDemandIsAskedForAheadAndWhatIsLeftGoesBack() {
    Borrowing b;
    for (uint64_t id = 1; id <= 40; ++id) {
      b.Admit(id);
      const wire::LimitAsk ask = b.out.questions.back().ask;
      b.Answer(ask.id, wire::LimitStage::kGranted, ask.wanted);
      b.Pass(Milliseconds(10));
    }
    b.Pass(Milliseconds(300));
    size_t asked = 0;
    uint32_t wanted = 0;
    uint32_t returned = 0;
    for (const LimitQuestion& question : b.out.questions) {
      const bool returns = question.ask.returned_of != 0;
      CPPUNIT_ASSERT(!returns || question.ask.wanted == 0);
      asked += returns ? 0 : 1;
      wanted += question.ask.wanted;
      returned += question.ask.returned;
    }
    CPPUNIT_ASSERT(asked < 20);
    CPPUNIT_ASSERT(returned > 0);
    CPPUNIT_ASSERT_EQUAL(wanted, 40 + returned);
  }

  void RequestThatIsWithdrawnLeavesItsToken() {
    Borrowing b;
    b.Admit(1);
    b.borrower->Withdraw(RequestId{1});
    b.Answer(b.Asked(0).ask.id, wire::LimitStage::kGranted, 1);
    CPPUNIT_ASSERT(b.out.decisions.empty());
    CPPUNIT_ASSERT(b.Admit(2) == LimitVerdict::kGranted);
  }

  void UnknownTenantIsRefused() {
    Borrowing b;
    CPPUNIT_ASSERT(b.borrower->Admit(b.now, RequestId{1}, "other").verdict ==
                   LimitVerdict::kRefused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitBorrowerTest);

}  // namespace pumicedyke::limits
