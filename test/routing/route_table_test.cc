// Tests route lookup, the validation of route sets, and the choice of services by weight.
#include "routing/route_table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>

#include "common/result_code.h"

namespace pumicedyke::routing {
namespace {

Route MakeRoute(const std::string& name, const std::string& host, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  route.timeout = Seconds(1);
  route.services = {{"desk", 1}};
  return route;
}

RouteSet MakeSet(std::vector<Route> routes) {
  RouteSet set;
  set.version = 1;
  set.routes = std::move(routes);
  set.services = {{"desk", 26, "/healthz"}, {"store", 26, "/healthz"}};
  return set;
}

std::string NameOf(const Route* route) { return route == nullptr ? "" : route->name; }

/// One to four of six services in any order, with weights up to a million, some of them zero.
rc::Gen<std::vector<WeightedService>> GenServices() {
  return rc::gen::exec([] {
    std::vector<WeightedService> services;
    const int count = *rc::gen::inRange(1, 5);
    const int first = *rc::gen::inRange(0, 6);
    const int step = *rc::gen::element(1, 5);
    for (int i = 0; i < count; ++i) {
      const bool idle = i > 0 && *rc::gen::inRange(0, 4) == 0;
      const int most = *rc::gen::element(2, 1000, 1000000);
      const double weight = idle ? 0 : *rc::gen::inRange(1, most);
      services.push_back({"s" + std::to_string((first + i * step) % 6), weight});
    }
    return services;
  });
}

}  // namespace

class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(LongestPrefixOfTheHostWins);
  CPPUNIT_TEST(InvalidSetsAreRefused);
  CPPUNIT_TEST(SharesAreExact);
  CPPUNIT_TEST(GatewaysWithFewRequestsShareByWeightTogether);
  CPPUNIT_TEST(NewWeightsHoldFromTheirFirstRequest);
  CPPUNIT_TEST(SharesHoldAfterAnyChangeOfTheServices);
  CPPUNIT_TEST(ManyShortLivedSplitsShareByWeightTogether);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GatewaysWithFewRequestsShareByWeightTogether() {
    const std::vector<WeightedService> services = {{"old", 0.9}, {"new", 0.1}};
    constexpr uint32_t kGateways = 300;
    int picks = 0;
    int new_picks = 0;
    for (uint32_t gateway = 0; gateway < kGateways; ++gateway) {
      WeightedChoice choice(gateway * 7919 % 100);
      for (int request = 0; request < 3; ++request) {
        ++picks;
        new_picks += choice.Next(services) == "new" ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, static_cast<double>(new_picks) / picks, 0.02);
  }

  /// Guards against requests that go to a service whose weight is now zero, because of what the
  /// weights before it had left.
  void NewWeightsHoldFromTheirFirstRequest() {
    for (int before = 0; before < 5; ++before) {
      WeightedChoice choice;
      for (int i = 0; i < before; ++i) {
        choice.Next({{"blue", 600}, {"green", 400}});
      }
      for (int i = 0; i < 240; ++i) {
        CPPUNIT_ASSERT_EQUAL(std::string("green"), choice.Next({{"blue", 0}, {"green", 1}}));
      }
    }
  }

  /// Guards against shares that depend on what the route's services were before: other weights,
  /// other services, another number or order of them.
  void SharesHoldAfterAnyChangeOfTheServices() {
    const bool property_holds = rc::check("shares hold after any change", [] {
      constexpr int kRequests = 200;
      constexpr double kMostDeviation = 0.2;
      std::vector<WeightedChoice> gateways;
      const int count = *rc::gen::inRange(1, 6);
      gateways.reserve(static_cast<size_t>(count));
      for (int i = 0; i < count; ++i) {
        gateways.emplace_back(*rc::gen::inRange<uint32_t>(0, 100));
      }
      const int documents = *rc::gen::inRange(2, 6);
      for (int document = 0; document < documents; ++document) {
        const std::vector<WeightedService> services = *GenServices();
        double total = 0;
        for (const WeightedService& item : services) {
          total += item.weight;
        }
        std::map<std::string, int> picks;
        for (int i = 0; i < kRequests; ++i) {
          ++picks[gateways[static_cast<size_t>(i % count)].Next(services)];
        }
        for (const WeightedService& item : services) {
          const double share = static_cast<double>(picks[item.service]) / kRequests;
          RC_ASSERT(std::abs(share - item.weight / total) < kMostDeviation);
          RC_ASSERT(item.weight > 0 || picks[item.service] == 0);
        }
        // Other requests follow, so that the next change comes at any point of the round.
        const int more = *rc::gen::inRange(0, 50);
        for (int i = 0; i < more; ++i) {
          gateways[static_cast<size_t>(i % count)].Next(services);
        }
      }
    });
    CPPUNIT_ASSERT(property_holds);
  }

  /// Guards against changes that come faster than the requests of a gateway, and then always bring
  /// the same service.
  void ManyShortLivedSplitsShareByWeightTogether() {
    WeightedChoice choice;
    std::map<std::string, int> picks;
    constexpr int kChanges = 400;
    for (int i = 0; i < kChanges; ++i) {
      const double weight = i % 2 == 0 ? 30 : 31;
      ++picks[choice.Next({{"blue", weight}, {"green", weight}})];
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, picks["blue"] / static_cast<double>(kChanges), 0.1);
  }

  void LongestPrefixOfTheHostWins() {
    const RouteTable table(
        MakeSet({MakeRoute("root", "a.example", "/"), MakeRoute("deep", "a.example", "/x/y/"),
                 MakeRoute("mid", "a.example", "/x/"), MakeRoute("other", "b.example", "/x/")}));
    struct Case {
      const char* host;
      const char* path;
      const char* route;
    };
    const Case cases[] = {
        {"a.example", "/x/y/z", "deep"},   {"a.example", "/x/yy", "mid"},
        {"a.example", "/x/y", "mid"},      {"a.example", "/z", "root"},
        {"A.Example:8080", "/x/1", "mid"}, {"b.example", "/x/1", "other"},
        {"b.example", "/y/1", ""},         {"c.example", "/x/1", ""},
    };
    for (const Case& item : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(item.host) + item.path, std::string(item.route),
                                   NameOf(table.Find(item.host, item.path)));
    }
  }

  void InvalidSetsAreRefused() {
    struct Case {
      const char* what;
      std::function<void(RouteSet*)> make_invalid;
      const char* field;
    };
    const Case cases[] = {
        {"unknown service",
         [](RouteSet* s) {
           s->routes[0].services = {{"nobody", 1}};
         },
         "services"},
        {"unknown shard",
         [](RouteSet* s) {
           s->routes[0].services.clear();
           s->routes[0].shards = {"desk", "nobody"};
         },
         "shards"},
        {"no target", [](RouteSet* s) { s->routes[0].services.clear(); }, "services"},
        {"same place", [](RouteSet* s) { s->routes.push_back(s->routes[0]); }, "prefix"},
        {"weights add up to 0",
         [](RouteSet* s) {
           s->routes[0].services = {{"desk", 0}, {"store", 0}};
         },
         "services"},
        {"negative weight",
         [](RouteSet* s) {
           s->routes[0].services = {{"desk", 2}, {"store", -1}};
         },
         "services"},
        {"no time", [](RouteSet* s) { s->routes[0].timeout = Duration(0); }, "timeout"},
    };
    const RouteSet valid = MakeSet({MakeRoute("r", "a.example", "/")});
    CPPUNIT_ASSERT(Validate(valid).ok());
    for (const Case& item : cases) {
      RouteSet set = valid;
      item.make_invalid(&set);
      const absl::Status status = Validate(set);
      CPPUNIT_ASSERT_MESSAGE(item.what, CodeOf(status) == ResultCode::kInvalidConfig);
      CPPUNIT_ASSERT_MESSAGE(std::string(status.message()),
                             status.message().find(item.field) != absl::string_view::npos);
    }
  }

  void SharesAreExact() {
    const bool property_holds = rc::check("each service is within one of its share", [] {
      std::vector<WeightedService> services;
      double total = 0;
      const int count = *rc::gen::inRange(1, 5);
      for (int i = 0; i < count; ++i) {
        const double weight = *rc::gen::inRange(i == 0 ? 1 : 0, 100);
        services.push_back({"s" + std::to_string(i), weight});
        total += weight;
      }
      WeightedChoice choice;
      std::map<std::string, int> picks;
      const int requests = *rc::gen::inRange(1, 400);
      for (int i = 0; i < requests; ++i) {
        ++picks[choice.Next(services)];
      }
      for (const WeightedService& item : services) {
        const double share = requests * item.weight / total;
        RC_ASSERT(std::abs(picks[item.service] - share) < static_cast<double>(count));
        RC_ASSERT(item.weight > 0 || picks[item.service] == 0);
      }
    });
    CPPUNIT_ASSERT(property_holds);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

}  // namespace pumicedyke::routing
