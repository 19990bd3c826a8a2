// Tests that the bound on extra sub-requests holds in every position of the window.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

#include "balance/extra_load_budget.h"

namespace pumicedyke::balance {

class SlidingWindowBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlidingWindowBudgetTest);
  CPPUNIT_TEST(AllowanceIsRestoredAfterTheWindow);
  CPPUNIT_TEST(NoWindowHoldsMoreThanItsBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllowanceIsRestoredAfterTheWindow() {
    SlidingWindowBudget budget(Seconds(10), 0.5);
    budget.SetBurst(2);
    const Timestamp start{Seconds(1000)};
    CPPUNIT_ASSERT(budget.TrySpend(start));
    CPPUNIT_ASSERT(budget.TrySpend(start));
    CPPUNIT_ASSERT(!budget.TrySpend(start));
    CPPUNIT_ASSERT(!budget.TrySpend(start + Seconds(9)));
    CPPUNIT_ASSERT(budget.TrySpend(start + Seconds(11)));
    // Two regular ones earn one extra.
    budget.OnRegular(start + Seconds(11), 0);
    budget.OnRegular(start + Seconds(11), 0);
    CPPUNIT_ASSERT(budget.TrySpend(start + Seconds(11)));
    CPPUNIT_ASSERT(budget.TrySpend(start + Seconds(11)));
    CPPUNIT_ASSERT(!budget.TrySpend(start + Seconds(11)));
  }

  void NoWindowHoldsMoreThanItsBound() {
    const bool property_holds = rc::check("extra in any window within its bound", [] {
      constexpr Duration kWindow = Seconds(10);
      constexpr double kRatio = 0.2;
      constexpr double kAllowance = 5;
      SlidingWindowBudget budget(kWindow, kRatio);
      budget.SetBurst(kAllowance);
      std::vector<Timestamp> regular;
      std::vector<Timestamp> extra;
      Timestamp now{Seconds(50)};
      const int steps = *rc::gen::inRange(1, 400);
      for (int i = 0; i < steps; ++i) {
        now += Milliseconds(*rc::gen::element(0, 1, 30, 400, 3000));
        if (*rc::gen::inRange(0, 3) > 0) {
          budget.OnRegular(now, 0);
          regular.push_back(now);
        } else if (budget.TrySpend(now)) {
          extra.push_back(now);
        }
      }
      // Only windows that begin with an extra sub-request need to be checked. The bound counts the
      // regular sub-requests in the window and in the one before it, like an external check.
      for (const Timestamp begin : extra) {
        const auto count = [begin, kWindow](const std::vector<Timestamp>& times, Duration before) {
          return std::count_if(times.begin(), times.end(), [&](Timestamp t) {
            return t >= begin - before && t < begin + kWindow;
          });
        };
        const double bound = kRatio * static_cast<double>(count(regular, kWindow)) + kAllowance;
        RC_ASSERT(static_cast<double>(count(extra, Duration(0))) <= bound);
      }
    });
    CPPUNIT_ASSERT(property_holds);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SlidingWindowBudgetTest);

}  // namespace pumicedyke::balance
