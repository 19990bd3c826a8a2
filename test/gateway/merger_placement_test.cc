// Division of shards into groups, and their mergers.
#include "gateway/merger_placement.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace pumicedyke::gateway {

class MergerPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MergerPlacementTest);
  CPPUNIT_TEST(FewShardsAreGatheredAlone);
  CPPUNIT_TEST(MoreShardsMakeMoreGroups);
  CPPUNIT_TEST(GroupsCoverEveryShardOnce);
  CPPUNIT_TEST(RemovedGatewayMovesOnlyItsOwnGroups);
  CPPUNIT_TEST(NumberOfOwnersIsIndependentOfTheFleet);
  CPPUNIT_TEST(NoGatewayOwnsTwoGroupsWhileAnotherOwnsNone);
  CPPUNIT_TEST(RemovedOwnerMovesFewGroups);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FewShardsAreGatheredAlone() {
    struct Case {
      size_t shards;
      double processor_share;
      bool alone;
    };
    for (const Case& c :
         {Case{1, 0.1, true}, Case{20, 0.25, true}, Case{30, 0.25, true}, Case{90, 0.12, false},
          Case{180, 0.12, false}, Case{610, 0.12, false}, Case{180, 64, true}}) {
      CPPUNIT_ASSERT_EQUAL(c.alone, GroupCount(c.shards, c.processor_share) == 1);
    }
  }

  void MoreShardsMakeMoreGroups() {
    size_t before = 0;
    for (const size_t shards : {90, 180, 270, 610, 2000}) {
      const size_t groups = GroupCount(shards, 0.12);
      CPPUNIT_ASSERT(groups > before);
      CPPUNIT_ASSERT(groups < shards);
      before = groups;
    }
  }

  void GroupsCoverEveryShardOnce() {
    const bool held = rc::check("groups cover every shard once", [] {
      const size_t shards = *rc::gen::inRange<size_t>(1, 700);
      const size_t groups = *rc::gen::inRange<size_t>(1, shards + 1);
      const std::vector<query::ShardRange> ranges = CutIntoGroups(shards, groups);
      RC_ASSERT(ranges.size() == groups);
      size_t next = 0;
      size_t shortest = shards;
      size_t longest = 0;
      for (const query::ShardRange& range : ranges) {
        RC_ASSERT(range.first == next);
        next += range.count;
        shortest = std::min(shortest, range.count);
        longest = std::max(longest, range.count);
      }
      RC_ASSERT(next == shards);
      RC_ASSERT(longest - shortest <= 1);
    });
    CPPUNIT_ASSERT(held);
  }

  void RemovedGatewayMovesOnlyItsOwnGroups() {
    const bool held = rc::check("a gateway that goes moves only its own groups", [] {
      const size_t count = *rc::gen::inRange<size_t>(3, 60);
      std::vector<std::string> gateways;
      for (size_t i = 0; i < count; ++i) {
        gateways.push_back("edge-" + std::to_string(i));
      }
      const std::string removed = gateways[*rc::gen::inRange<size_t>(0, count)];
      std::vector<std::string> rest = gateways;
      std::erase(rest, removed);
      for (int i = 0; i < 20; ++i) {
        const std::string group = "shard-" + std::to_string(i);
        std::vector<std::string> before = MergersOf(group, gateways, 2);
        const std::vector<std::string> after = MergersOf(group, rest, 2);
        std::erase(before, removed);
        RC_ASSERT(std::equal(before.begin(), before.end(), after.begin()));
      }
    });
    CPPUNIT_ASSERT(held);
  }

  static std::vector<std::string> Names(const std::string& prefix, size_t count) {
    std::vector<std::string> names;
    for (size_t i = 0; i < count; ++i) {
      names.push_back(prefix + std::to_string(i));
    }
    return names;
  }

  /// Guards against too many owners: a thousand gateways that each merged a few requests a minute
  /// had cold connections and too small a share of the budget to pay for any sub-request.
  void NumberOfOwnersIsIndependentOfTheFleet() {
    for (const size_t gateways : {3, 50, 200, 1500}) {
      for (const GroupMergers& group : AssignMergers(Names("s", 10), Names("g", gateways))) {
        CPPUNIT_ASSERT_EQUAL(kOwnersPerZone, group.owners.size());
        CPPUNIT_ASSERT(group.owners[0] != group.owners[1]);
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, AssignMergers({"s"}, {"only"})[0].owners.size());
    CPPUNIT_ASSERT(AssignMergers({"s"}, {})[0].owners.empty());
  }

  void NoGatewayOwnsTwoGroupsWhileAnotherOwnsNone() {
    const bool held = rc::check("owned groups are spread evenly", [] {
      const size_t groups = *rc::gen::inRange<size_t>(1, 30);
      const size_t gateways = *rc::gen::inRange<size_t>(2, 200);
      std::map<std::string, size_t> owned;
      for (const GroupMergers& group : AssignMergers(Names("s", groups), Names("g", gateways))) {
        RC_ASSERT(group.owners.size() == kOwnersPerZone);
        RC_ASSERT(group.backups.size() == std::min(kBackupsPerZone, gateways - kOwnersPerZone));
        for (const std::string& owner : group.owners) {
          ++owned[owner];
          RC_ASSERT(std::find(group.backups.begin(), group.backups.end(), owner) ==
                    group.backups.end());
        }
      }
      const size_t even_share = (groups * kOwnersPerZone + gateways - 1) / gateways;
      for (const auto& [gateway, count] : owned) {
        // A group needs two different owners, so the last one may have to exceed its even share.
        RC_ASSERT(count <= even_share + 1);
      }
    });
    CPPUNIT_ASSERT(held);
  }

  /// A removed gateway moves only few groups, so that most connections stay warm.
  void RemovedOwnerMovesFewGroups() {
    const std::vector<std::string> groups = Names("s", 10);
    const std::vector<std::string> gateways = Names("g", 160);
    const std::vector<GroupMergers> before = AssignMergers(groups, gateways);
    for (const std::string& removed : before[3].owners) {
      std::vector<std::string> rest = gateways;
      std::erase(rest, removed);
      const std::vector<GroupMergers> after = AssignMergers(groups, rest);
      size_t moved = 0;
      for (size_t i = 0; i < groups.size(); ++i) {
        for (const std::string& owner : after[i].owners) {
          const std::vector<std::string>& old = before[i].owners;
          moved += std::find(old.begin(), old.end(), owner) == old.end() ? 1 : 0;
        }
      }
      CPPUNIT_ASSERT(moved >= 1 && moved <= 3);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MergerPlacementTest);

}  // namespace pumicedyke::gateway
