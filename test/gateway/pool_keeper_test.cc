// The pool of a gateway in a fleet of thousands of leafs: each change costs what it is about, not
// what there is.
#include "gateway/pool_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pumicedyke::gateway {
namespace {

constexpr Timestamp kStart{Seconds(100)};
constexpr int kLeafsPerService = 21;

std::string Service(int i) { return "desk-" + std::to_string(i); }

wire::LeafRecord Leaf(int service, int i, bool draining = false) {
  const std::string name = Service(service) + "/" + std::to_string(i);
  return {name, Service(service), name + ":80", i % 3 == 0 ? "north" : "south", 3, draining, 0};
}

/// A gateway's leafs and pool, by word of one control machine.
struct Fleet {
  explicit Fleet(int services) {
    wire::LeafFeed feed;
    feed.version = ++version;
    routing::RouteSet set;
    for (int s = 0; s < services; ++s) {
      set.services.push_back({Service(s), 175, "", Seconds(2), 0});
      for (int i = 0; i < kLeafsPerService; ++i) {
        feed.records.push_back(Leaf(s, i));
      }
    }
    table = std::make_unique<routing::RouteTable>(std::move(set));
    view.OnFeed(now, "c1", feed);
    Sync(100);
  }
  void Say(std::vector<wire::LeafRecord> records, std::vector<std::string> gone = {}) {
    view.OnFeed(now, "c1", {version, version + 1, std::move(records), std::move(gone), {}, 1});
    ++version;
    Sync(gateways);
  }
  void Sync(uint32_t count) {
    gateways = count;
    keeper.Sync(now, view, view.TakeChanges(), {table.get(), gateways});
  }
  size_t Preferred(int service) const {
    size_t count = 0;
    for (int i = 0; i < kLeafsPerService; ++i) {
      count += keeper.IsPreferred(Service(service), Leaf(service, i).leaf) ? 1 : 0;
    }
    return count;
  }

  Timestamp now = kStart;
  uint64_t version = 0;
  uint32_t gateways = 0;
  std::unique_ptr<routing::RouteTable> table;
  LeafView view{{}};
  balance::LeafPool pool{{}, 1};
  PoolKeeper keeper{"g1", "north", &pool};
};

}  // namespace

class PoolKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoolKeeperTest);
  CPPUNIT_TEST(WorkOfAChangeIsThatOfItsService);
  CPPUNIT_TEST(GatewaysThatComeCostNothingUntilSubsetsShrink);
  CPPUNIT_TEST(PoolFollowsLeafs);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Thousands of leafs come within seconds of a start, told in hundreds of messages to each of a
  /// thousand gateways: working the whole pool out anew at each took all of their processor time.
  void WorkOfAChangeIsThatOfItsService() {
    for (const int services : {10, 1000}) {
      Fleet fleet(services);
      const uint64_t before = fleet.keeper.placements();
      fleet.Say({Leaf(3, 5, /*draining=*/true)});
      CPPUNIT_ASSERT(fleet.keeper.placements() - before <= kLeafsPerService + 1);
    }
  }

  /// While a fleet starts, the number of gateways changes with every message.
  void GatewaysThatComeCostNothingUntilSubsetsShrink() {
    Fleet fleet(100);
    const uint64_t before = fleet.keeper.placements();
    CPPUNIT_ASSERT_EQUAL(size_t{21}, fleet.Preferred(0));
    for (uint32_t count = 101; count < 130; ++count) {
      fleet.now += Milliseconds(1);
      fleet.Sync(count);
    }
    CPPUNIT_ASSERT_EQUAL(before, fleet.keeper.placements());
    // 21 leafs of 175 connections, a quarter kept free, over 985 gateways: two each.
    fleet.now += Seconds(1);
    fleet.Sync(985);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.Preferred(0));
  }

  void PoolFollowsLeafs() {
    Fleet fleet(2);
    const std::string leaf = Leaf(1, 4).leaf;
    CPPUNIT_ASSERT(fleet.pool.AvailabilityOf(leaf, fleet.now) == balance::Availability::kReady);
    fleet.Say({Leaf(1, 4, /*draining=*/true)});
    CPPUNIT_ASSERT(fleet.pool.AvailabilityOf(leaf, fleet.now) == balance::Availability::kLeaving);
    CPPUNIT_ASSERT(!fleet.keeper.IsPreferred(Service(1), leaf));
    fleet.Say({}, {leaf});
    CPPUNIT_ASSERT_EQUAL(size_t{2 * kLeafsPerService - 1}, fleet.pool.Names().size());
    // A zone that is evacuated and taken back.
    fleet.view.SetEvacuated(fleet.now, {"north"});
    fleet.Sync(fleet.gateways);
    const std::string north = Leaf(0, 0).leaf;
    CPPUNIT_ASSERT(fleet.pool.AvailabilityOf(north, fleet.now) == balance::Availability::kLeaving);
    fleet.view.SetEvacuated(fleet.now, {});
    fleet.Sync(fleet.gateways);
    CPPUNIT_ASSERT(fleet.pool.AvailabilityOf(north, fleet.now) == balance::Availability::kReady);
    CPPUNIT_ASSERT(fleet.keeper.IsPreferred(Service(0), north));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PoolKeeperTest);

}  // namespace pumicedyke::gateway
