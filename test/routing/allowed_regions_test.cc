// Tests the allowed regions of a request, from its route and its tenant.
#include "routing/allowed_regions.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::routing {

class AllowedRegionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AllowedRegionsTest);
  CPPUNIT_TEST(RouteAndTenantBothBind);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RouteAndTenantBothBind() {
    using Regions = std::set<std::string>;
    struct Case {
      const char* what;
      Regions route;
      Regions tenant;
      std::optional<Regions> combined;
    };
    const Case cases[] = {
        {"no restriction", {}, {}, Regions{}},
        {"only the route", {"west"}, {}, Regions{"west"}},
        {"only the tenant", {}, {"west", "east"}, Regions{"east", "west"}},
        {"one in common", {"west", "north"}, {"west", "east"}, Regions{"west"}},
        {"none in common", {"west"}, {"east"}, std::nullopt},
    };
    for (const Case& item : cases) {
      Route route;
      route.allowed_regions = item.route;
      tenants::Tenant tenant;
      tenant.allowed_regions = item.tenant;
      CPPUNIT_ASSERT_MESSAGE(item.what, AllowedRegionsOf(route, &tenant) == item.combined);
      CPPUNIT_ASSERT_MESSAGE(item.what,
                             AllowedRegionsOf(route, nullptr) == std::optional(item.route));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AllowedRegionsTest);

}  // namespace pumicedyke::routing
