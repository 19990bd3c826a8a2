// The leaf pool of a gateway in a fleet of thousands of leafs: the cost of a change depends on the
// change, not on the size of the fleet.
#include "gateway/leaf_pool_updater.h"

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

/// A gateway's leaf view and pool with one control machine.
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
  void Report(std::vector<wire::LeafRecord> records, std::vector<std::string> removed = {}) {
    view.OnFeed(now, "c1", {version, version + 1, std::move(records), std::move(removed), {}, 1});
    ++version;
    Sync(gateways);
  }
  void Sync(uint32_t count) {
    gateways = count;
    pool_updater.Sync(now, view, view.TakeChanges(), {table.get(), gateways});
  }
  size_t Preferred(int service) const {
    size_t count = 0;
    for (int i = 0; i < kLeafsPerService; ++i) {
      count += pool_updater.IsPreferred(Service(service), Leaf(service, i).leaf) ? 1 : 0;
    }
    return count;
  }

  Timestamp now = kStart;
  uint64_t version = 0;
  uint32_t gateways = 0;
  std::unique_ptr<routing::RouteTable> table;
  LeafView view{{}};
  balance::LeafPool pool{{}, 1};
  LeafPoolUpdater pool_updater{"g1", "north", &pool};
};

}  // namespace

class LeafPoolUpdaterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeafPoolUpdaterTest);
  CPPUNIT_TEST(CostOfAChangeIsLimitedToItsService);
  CPPUNIT_TEST(AddedGatewaysCostNothingUntilSubsetsShrink);
  CPPUNIT_TEST(PoolFollowsLeafs);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// After a start thousands of leafs appear within seconds, in hundreds of messages to each of a
  /// thousand gateways. Recomputing the whole pool for each message took all of their processor
  /// time.
  void CostOfAChangeIsLimitedToItsService() {
    for (const int services : {10, 1000}) {
      Fleet fleet(services);
      const uint64_t before = fleet.pool_updater.placements();
      fleet.Report({Leaf(3, 5, /*draining=*/true)});
      CPPUNIT_ASSERT(fleet.pool_updater.placements() - before <= kLeafsPerService + 1);
    }
  }

  /// While a fleet starts, the number of gateways changes with every message.
  void AddedGatewaysCostNothingUntilSubsetsShrink() {
    Fleet fleet(100);
    const uint64_t before = fleet.pool_updater.placements();
    CPPUNIT_ASSERT_EQUAL(size_t{21}, fleet.Preferred(0));
    for (uint32_t count = 101; count < 130; ++count) {
      fleet.now += Milliseconds(1);
      fleet.Sync(count);
    }
    CPPUNIT_ASSERT_EQUAL(before, fleet.pool_updater.placements());
    // 21 leafs with 175 connections each, a quarter of them reserved, divided by 985 gateways: two
    // leafs per gateway.
    fleet.now += Seconds(1);
    fleet.Sync(985);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.Preferred(0));
  }

  void PoolFollowsLeafs() {
    Fleet fleet(2);
    const std::string leaf = Leaf(1, 4).leaf;
    CPPUNIT_ASSERT(fleet.pool.AvailabilityOf(leaf, fleet.now) == balance::Availability::kReady);
    fleet.Report({Leaf(1, 4, /*draining=*/true)});
    CPPUNIT_ASSERT(fleet.pool.AvailabilityOf(leaf, fleet.now) == balance::Availability::kLeaving);
    CPPUNIT_ASSERT(!fleet.pool_updater.IsPreferred(Service(1), leaf));
    fleet.Report({}, {leaf});
    CPPUNIT_ASSERT_EQUAL(size_t{2 * kLeafsPerService - 1}, fleet.pool.Names().size());
    // A zone is evacuated and restored.
    fleet.view.SetEvacuated(fleet.now, {"north"});
    fleet.Sync(fleet.gateways);
    const std::string north = Leaf(0, 0).leaf;
    CPPUNIT_ASSERT(fleet.pool.AvailabilityOf(north, fleet.now) == balance::Availability::kLeaving);
    fleet.view.SetEvacuated(fleet.now, {});
    fleet.Sync(fleet.gateways);
    CPPUNIT_ASSERT(fleet.pool.AvailabilityOf(north, fleet.now) == balance::Availability::kReady);
    CPPUNIT_ASSERT(fleet.pool_updater.IsPreferred(Service(0), north));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LeafPoolUpdaterTest);

}  // namespace pumicedyke::gateway
