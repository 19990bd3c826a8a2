// Tests when replicas that restarted may vote at once.
#include "consensus/restart_guard.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

namespace pumicedyke::consensus {

namespace {

std::set<MemberId> FirstMembers(size_t count) {
  std::set<MemberId> members;
  for (MemberId id = 1; id <= count; ++id) {
    members.insert(id);
  }
  return members;
}

}  // namespace

class RestartGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestartGuardTest);
  CPPUNIT_TEST(Table);
  CPPUNIT_TEST(LeaseIsNotVoidWhileItsLeaderRuns);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Table() {
    struct Row {
      const char* what;
      RestartedVotes votes;
      size_t voters;
      bool lease_is_void;
    };
    const Row rows[] = {
        {"nobody", {}, 3, false},
        {"a majority including its leader", {{1, 1}, {2, 1}}, 3, true},
        {"the leader has not restarted", {{2, 1}, {3, 1}}, 3, false},
        {"no majority for one candidate", {{1, 1}, {2, 2}, {3, 1}}, 5, false},
        {"one more vote makes a majority", {{1, 1}, {2, 2}, {3, 1}, {4, 1}}, 5, true},
        {"no votes cast", {{1, 0}, {2, 0}, {3, 0}}, 3, false},
        {"two of four are no majority", {{1, 1}, {2, 1}}, 4, false},
        {"voters added later do not count", {{1, 1}, {4, 1}, {5, 1}}, 3, false},
    };
    for (const Row& row : rows) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.what, row.lease_is_void,
                                   LeaseIsVoid(row.votes, FirstMembers(row.voters)));
    }
  }

  /// For any votes of a term: if the replica that won it has not restarted, no set of other
  /// replicas makes its lease void.
  void LeaseIsNotVoidWhileItsLeaderRuns() {
    const bool holds = rc::check("only the restarted winner voids its lease", [] {
      const auto voters = *rc::gen::inRange<size_t>(1, 8);
      std::map<MemberId, MemberId> votes;
      for (MemberId voter = 1; voter <= voters; ++voter) {
        votes[voter] = *rc::gen::inRange<MemberId>(0, voters + 1);
      }
      std::map<MemberId, size_t> counts;
      for (const auto& [voter, vote] : votes) {
        ++counts[vote];
      }
      RestartedVotes restarted;
      for (const auto& [voter, vote] : votes) {
        if (*rc::gen::arbitrary<bool>()) {
          restarted[voter] = vote;
        }
      }
      for (MemberId winner = 1; winner <= voters; ++winner) {
        const bool won = counts[winner] > voters / 2;
        if (won && !restarted.contains(winner)) {
          RC_ASSERT(!LeaseIsVoid(restarted, FirstMembers(voters)));
        }
      }
    });
    CPPUNIT_ASSERT(holds);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RestartGuardTest);

}  // namespace pumicedyke::consensus
