// Tests token buckets, the terms of accounts, and their placement on gateways.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

#include "limits/account_terms.h"
#include "limits/lender_placement.h"
#include "limits/token_bucket.h"

namespace pumicedyke::limits {
namespace {

constexpr Timestamp kBegin{Seconds(100)};

std::vector<LimitGateway> GatewaysNamed(const std::vector<int>& names) {
  std::vector<LimitGateway> gateways;
  for (const int name : names) {
    const std::string node = "g" + std::to_string(name);
    gateways.push_back({node, node + ":7500", "zone"});
  }
  return gateways;
}

std::vector<AccountId> Accounts(uint32_t count) {
  std::vector<AccountId> accounts;
  for (uint32_t i = 0; i < count; ++i) {
    accounts.push_back({"t" + std::to_string(i / 3), i % 3});
  }
  return accounts;
}

std::string NodeOf(const LimitGateway* gateway) { return gateway == nullptr ? "" : gateway->node; }

}  // namespace

class AccountsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccountsTest);
  CPPUNIT_TEST(BucketFillsToItsCap);
  CPPUNIT_TEST(TimeToTokenIsComputed);
  CPPUNIT_TEST(AccountsOfATenantStayWithinTheBound);
  CPPUNIT_TEST(AccountsCoverTheLimit);
  CPPUNIT_TEST(IncrementalPlacementEqualsANewOne);
  CPPUNIT_TEST(RemovedGatewayMovesOnlyItsOwnAccounts);
  CPPUNIT_TEST(AccountsAreSpreadOverGateways);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BucketFillsToItsCap() {
    TokenBucket bucket{2, 3, 0, kBegin};
    CPPUNIT_ASSERT_EQUAL(0U, Take(&bucket, 1));
    Refill(&bucket, kBegin + Seconds(1));
    CPPUNIT_ASSERT_EQUAL(2U, Take(&bucket, 5));
    Refill(&bucket, kBegin + Seconds(100));
    CPPUNIT_ASSERT_EQUAL(3U, Take(&bucket, 5));
    // An older time changes nothing.
    Refill(&bucket, kBegin);
    CPPUNIT_ASSERT_EQUAL(0U, Take(&bucket, 1));
  }

  void TimeToTokenIsComputed() {
    const TokenBucket bucket{0.5, 3, 0.5, kBegin};
    CPPUNIT_ASSERT_EQUAL(Duration(Seconds(1)).count(), TimeToToken(bucket, Seconds(9)).count());
    CPPUNIT_ASSERT(TimeToToken({0, 3, 0, kBegin}, Seconds(9)) == Seconds(9));
    CPPUNIT_ASSERT(TimeToToken({1, 3, 1, kBegin}, Seconds(9)) == Seconds(0));
  }

  void AccountsOfATenantStayWithinTheBound() {
    const bool property_holds =
        rc::check("all accounts of a tenant together stay within the bound", [] {
          LimitBound bound;
          bound.window = Milliseconds(*rc::gen::inRange(500, 60000));
          bound.overage = *rc::gen::inRange(0, 100) / 100.0;
          bound.slack = *rc::gen::inRange(0, 100);
          tenants::Tenant tenant;
          tenant.requests_per_second = *rc::gen::inRange(1, 1000000) / 100.0;
          tenant.burst = *rc::gen::inRange(0, 5000) / 10.0;
          const double window = std::chrono::duration<double>(bound.window).count();
          const double most =
              (tenant.requests_per_second * window + tenant.burst) * (1 + bound.overage) +
              bound.slack;
          const double parts = PartCount(tenant);
          // An account must hold at least one token to lend at all.
          RC_PRE(most >= parts);
          const AccountTerms terms = TermsOf(bound, tenant);
          RC_ASSERT(parts * MaxRequestsInWindow(terms, bound.window) <= most * (1 + 1e-9));
        });
    CPPUNIT_ASSERT(property_holds);
  }

  void AccountsCoverTheLimit() {
    const bool property_holds = rc::check("accounts give the rate and the burst of the limit", [] {
      const LimitBound bound{Seconds(5), 0.1, 20};
      tenants::Tenant tenant;
      tenant.requests_per_second = *rc::gen::inRange(1, 100000) / 100.0;
      tenant.burst = *rc::gen::inRange(0, 1000) / 10.0;
      const AccountTerms terms = TermsOf(bound, tenant);
      const double parts = PartCount(tenant);
      RC_ASSERT(parts * terms.rate >= tenant.requests_per_second * (1 - 1e-9));
      RC_ASSERT(parts * terms.cap >= tenant.burst);
      RC_ASSERT(terms.cap >= 1);
      RC_ASSERT(terms.loan >= Milliseconds(50));
    });
    CPPUNIT_ASSERT(property_holds);
  }

  void IncrementalPlacementEqualsANewOne() {
    const bool property_holds = rc::check("a placement that was changed equals a new one", [] {
      const std::vector<AccountId> accounts = Accounts(12);
      LenderPlacement changed;
      changed.SetAccounts(Accounts(*rc::gen::inRange(0U, 12U)));
      std::vector<int> names;
      for (int step = 0; step < 6; ++step) {
        const auto drawn = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
        const std::set<int> chosen(drawn.begin(), drawn.end());
        names.assign(chosen.begin(), chosen.end());
        changed.SetGateways(GatewaysNamed(names));
      }
      changed.SetAccounts(accounts);
      LenderPlacement fresh;
      fresh.SetGateways(GatewaysNamed(names));
      fresh.SetAccounts(accounts);
      for (const AccountId& account : accounts) {
        const Lenders a = changed.Find(account);
        const Lenders b = fresh.Find(account);
        RC_ASSERT(NodeOf(a.primary) == NodeOf(b.primary));
        RC_ASSERT(NodeOf(a.reserve) == NodeOf(b.reserve));
        RC_ASSERT((a.primary != nullptr) == !names.empty());
        RC_ASSERT((a.reserve != nullptr) == (names.size() > 1));
        RC_ASSERT(a.primary == nullptr || a.primary != a.reserve);
      }
    });
    CPPUNIT_ASSERT(property_holds);
  }

  void RemovedGatewayMovesOnlyItsOwnAccounts() {
    const std::vector<AccountId> accounts = Accounts(300);
    LenderPlacement all;
    all.SetAccounts(accounts);
    all.SetGateways(GatewaysNamed({0, 1, 2, 3, 4, 5, 6, 7, 8, 9}));
    LenderPlacement fewer;
    fewer.SetAccounts(accounts);
    fewer.SetGateways(GatewaysNamed({0, 1, 2, 4, 5, 6, 7, 8, 9}));
    for (const AccountId& account : accounts) {
      const Lenders before = all.Find(account);
      const std::string after = NodeOf(fewer.Find(account).primary);
      const bool was_removed_gateway = NodeOf(before.primary) == "g3";
      // Its accounts move to their reserve lenders.
      CPPUNIT_ASSERT_EQUAL(NodeOf(was_removed_gateway ? before.reserve : before.primary), after);
    }
  }

  void AccountsAreSpreadOverGateways() {
    LenderPlacement placement;
    placement.SetAccounts(Accounts(3000));
    placement.SetGateways(GatewaysNamed({0, 1, 2, 3, 4, 5, 6, 7, 8, 9}));
    for (int i = 0; i < 10; ++i) {
      // 3000 accounts with a primary and a reserve lender each, over 10 gateways.
      const size_t account_count = placement.AccountsLentBy("g" + std::to_string(i)).size();
      CPPUNIT_ASSERT(account_count > 500 && account_count < 700);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountsTest);

}  // namespace pumicedyke::limits
