// Tests which connections give their bytes up when all hold too many together.
#include "net/byte_budget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <memory>
#include <vector>

namespace pumicedyke::net {

class ByteBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ByteBudgetTest);
  CPPUNIT_TEST(LargestHolderGivesUp);
  CPPUNIT_TEST(RevokedBytesCountNoMore);
  CPPUNIT_TEST(SumNeverStaysAboveTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against peers that send without end taking the room of those that send little.
  void LargestHolderGivesUp() {
    ByteBudget budget(100);
    int large_revoked = 0;
    int small_revoked = 0;
    ByteBudget::Holder large(&budget, [&] { ++large_revoked; });
    ByteBudget::Holder small(&budget, [&] { ++small_revoked; });
    large.Hold(80);
    small.Hold(20);
    CPPUNIT_ASSERT_EQUAL(0, large_revoked);
    small.Hold(21);
    CPPUNIT_ASSERT_EQUAL(1, large_revoked);
    CPPUNIT_ASSERT_EQUAL(0, small_revoked);
    CPPUNIT_ASSERT_EQUAL(size_t{21}, budget.held());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, budget.revocations());
  }

  void RevokedBytesCountNoMore() {
    ByteBudget budget(100);
    int revoked = 0;
    {
      ByteBudget::Holder holder(&budget, [&] { ++revoked; });
      holder.Hold(101);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, budget.held());
      holder.Hold(50);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, budget.held());
      CPPUNIT_ASSERT_EQUAL(1, revoked);
    }
    ByteBudget::Holder next(&budget, [&] { ++revoked; });
    next.Hold(60);
    next.Hold(0);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, budget.held());
    CPPUNIT_ASSERT_EQUAL(1, revoked);
  }

  void SumNeverStaysAboveTheLimit() {
    const bool held = rc::check("the sum stays within the limit", [] {
      constexpr size_t kLimit = 1000;
      constexpr size_t kHolders = 8;
      ByteBudget budget(kLimit);
      std::vector<std::unique_ptr<ByteBudget::Holder>> holders;
      for (size_t i = 0; i < kHolders; ++i) {
        holders.push_back(std::make_unique<ByteBudget::Holder>(&budget, [] {}));
      }
      const auto steps = *rc::gen::container<std::vector<std::pair<size_t, size_t>>>(
          rc::gen::pair(rc::gen::inRange<size_t>(0, kHolders), rc::gen::inRange<size_t>(0, 1200)));
      for (const auto& [holder, bytes] : steps) {
        holders[holder]->Hold(bytes);
        size_t sum = 0;
        for (const auto& item : holders) {
          sum += item->held();
        }
        RC_ASSERT(sum == budget.held());
        RC_ASSERT(sum <= kLimit);
      }
    });
    CPPUNIT_ASSERT(held);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ByteBudgetTest);

}  // namespace pumicedyke::net
