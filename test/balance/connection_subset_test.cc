// Tests the selection of each gateway's preferred leafs.
#include "balance/connection_subset.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

namespace pumicedyke::balance {
namespace {

std::vector<SubsetCandidate> Candidates(size_t count) {
  std::vector<SubsetCandidate> candidates;
  for (size_t i = 0; i < count; ++i) {
    candidates.push_back({"leaf" + std::to_string(i), /*remote=*/true});
  }
  return candidates;
}

std::string Gateway(size_t number) { return "gateway" + std::to_string(number); }

}  // namespace

class ConnectionSubsetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionSubsetTest);
  CPPUNIT_TEST(AllLeafsWithinTheBoundArePreferred);
  CPPUNIT_TEST(AllLeafsWithoutABoundArePreferred);
  CPPUNIT_TEST(NoLeafsGiveAnEmptySubset);
  CPPUNIT_TEST(OwnZoneComesFirst);
  CPPUNIT_TEST(GatewaysTogetherStayWithinEveryLeafsBound);
  CPPUNIT_TEST(SizeFollowsTheBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllLeafsWithinTheBoundArePreferred() {
    CPPUNIT_ASSERT_EQUAL(size_t{2}, PreferredLeafs("g", Candidates(2), {26, 9}).size());
  }
  void AllLeafsWithoutABoundArePreferred() {
    CPPUNIT_ASSERT_EQUAL(size_t{3}, PreferredLeafs("g", Candidates(3), {0, 8800}).size());
  }
  void NoLeafsGiveAnEmptySubset() { CPPUNIT_ASSERT(PreferredLeafs("g", {}, {26, 9}).empty()); }

  void OwnZoneComesFirst() {
    std::vector<SubsetCandidate> candidates = Candidates(3);
    candidates[1].remote = false;
    for (size_t i = 0; i < 20; ++i) {
      const std::set<std::string> preferred = PreferredLeafs(Gateway(i), candidates, {54, 65});
      CPPUNIT_ASSERT(preferred == std::set<std::string>{"leaf1"});
    }
  }

  /// 65 gateways over three leafs of 54 connections each, as in the target deployment.
  void GatewaysTogetherStayWithinEveryLeafsBound() {
    constexpr size_t kGateways = 65;
    constexpr size_t kBound = 54;
    std::map<std::string, size_t> connections;
    for (size_t i = 0; i < kGateways; ++i) {
      for (const std::string& leaf :
           PreferredLeafs(Gateway(i), Candidates(3), {kBound, kGateways})) {
        ++connections[leaf];
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, connections.size());
    for (const auto& [leaf, count] : connections) {
      CPPUNIT_ASSERT(count <= kBound);
    }
  }

  void SizeFollowsTheBound() {
    const bool holds = rc::check("never none, never more than a share of the bound allows", [] {
      const auto leafs = *rc::gen::inRange<size_t>(1, 30);
      const ConnectionBound bound{*rc::gen::inRange<size_t>(1, 200),
                                  *rc::gen::inRange<size_t>(1, 9000)};
      const size_t size = PreferredLeafs("g", Candidates(leafs), bound).size();
      RC_ASSERT(size >= 1 && size <= leafs);
      RC_ASSERT(size == 1 || size * bound.gateways <= leafs * bound.connections_per_leaf);
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionSubsetTest);

}  // namespace pumicedyke::balance
