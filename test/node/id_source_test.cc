// IDs are unique, even across a restart or the loss of the data folder.
#include "node/id_source.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "node/incarnation_store.h"
#include "sim/sim_file_system.h"

namespace pumicedyke::node {
namespace {

/// A minute in 2026.
constexpr uint64_t kMinutes = 29700000;

}  // namespace

class IdSourceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IdSourceTest);
  CPPUNIT_TEST(IdsOfTwoIncarnationsDiffer);
  CPPUNIT_TEST(IncarnationGrowsAcrossCrashes);
  CPPUNIT_TEST(LostFolderFallsBackToClock);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IdsOfTwoIncarnationsDiffer() {
    std::set<uint64_t> seen;
    for (uint64_t incarnation = 1; incarnation <= 50; ++incarnation) {
      IdSource ids(incarnation);
      for (int i = 0; i < 100; ++i) {
        CPPUNIT_ASSERT(seen.insert(ids.Next()).second);
      }
    }
  }

  void IncarnationGrowsAcrossCrashes() {
    sim::SimFileSystem files(5);
    uint64_t last = 0;
    for (int i = 0; i < 20; ++i) {
      const auto taken = TakeIncarnation(&files, kMinutes);
      CPPUNIT_ASSERT(taken.ok());
      CPPUNIT_ASSERT(*taken > last);
      last = *taken;
      files.Crash();
    }
  }

  void LostFolderFallsBackToClock() {
    sim::SimFileSystem files(5);
    const uint64_t before = *TakeIncarnation(&files, kMinutes);
    files.LoseEverything();
    CPPUNIT_ASSERT(*TakeIncarnation(&files, kMinutes + 2) > before);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(IdSourceTest);

}  // namespace pumicedyke::node
