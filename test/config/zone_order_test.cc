// Operators' orders on zones, as the replicated state decides them.
#include <cppunit/extensions/HelperMacros.h>

#include "common/json.h"
#include "common/result_code.h"
#include "control/control_state.h"

namespace pumicedyke::control {
namespace {

config::Change Order(bool evacuate, const std::string& zone, uint64_t based_on) {
  config::Change change;
  change.kind = evacuate ? config::ChangeKind::kEvacuateZone : config::ChangeKind::kRestoreZone;
  change.zone = zone;
  change.expected_revision = based_on;
  return change;
}

config::ChangeResult Apply(ControlState* state, const config::Change& change) {
  return Json::parse(state->Apply(EncodeCommand(change))).get<config::ChangeResult>();
}

}  // namespace

class ZoneOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneOrderTest);
  CPPUNIT_TEST(RepeatedOrderIsTakenAndChangesNothing);
  CPPUNIT_TEST(LateStartBehindAStopIsRefused);
  CPPUNIT_TEST(LateStopBehindAStartIsRefused);
  CPPUNIT_TEST(OrdersSurviveTheirText);
  CPPUNIT_TEST(OrderWithoutAZoneIsRefusedNamingTheField);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RepeatedOrderIsTakenAndChangesNothing() {
    ControlState state({});
    CPPUNIT_ASSERT_EQUAL(0, Apply(&state, Order(true, "north", 0)).code);
    const uint64_t version = state.config().version().value;
    // Two operators at once, or one whose answer was lost: both were based on revision 0.
    CPPUNIT_ASSERT_EQUAL(0, Apply(&state, Order(true, "north", 0)).code);
    CPPUNIT_ASSERT_EQUAL(version, state.config().version().value);
    CPPUNIT_ASSERT(state.config().EvacuatedZones() == std::set<std::string>{"north"});
  }

  void LateStartBehindAStopIsRefused() {
    ControlState state({});
    Apply(&state, Order(true, "north", 0));
    Apply(&state, Order(false, "north", 1));
    const config::ChangeResult late = Apply(&state, Order(true, "north", 0));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ResultCode::kRevisionConflict), late.code);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, late.revision);
    CPPUNIT_ASSERT(state.config().EvacuatedZones().empty());
    // Given anew, it is based on what is known now.
    CPPUNIT_ASSERT_EQUAL(0, Apply(&state, Order(true, "north", late.revision)).code);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, state.config().EvacuatedZones().size());
  }

  void LateStopBehindAStartIsRefused() {
    ControlState state({});
    Apply(&state, Order(true, "north", 0));
    Apply(&state, Order(false, "north", 1));
    Apply(&state, Order(true, "north", 2));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ResultCode::kRevisionConflict),
                         Apply(&state, Order(false, "north", 1)).code);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, state.config().EvacuatedZones().size());
  }

  void OrdersSurviveTheirText() {
    ControlState state({});
    Apply(&state, Order(true, "north", 0));
    Apply(&state, Order(true, "south", 0));
    Apply(&state, Order(false, "south", 1));
    ControlState restored({});
    CPPUNIT_ASSERT(restored.Restore(state.Serialize()).ok());
    CPPUNIT_ASSERT(restored.config().EvacuatedZones() == std::set<std::string>{"north"});
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, restored.config().zones().at("south").revision);
  }

  void OrderWithoutAZoneIsRefusedNamingTheField() {
    const auto change = config::ParseChange(Json{{"kind", "evacuate_zone"}});
    CPPUNIT_ASSERT(!change.ok());
    CPPUNIT_ASSERT(change.status().message().find("'zone'") != std::string::npos);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ZoneOrderTest);

}  // namespace pumicedyke::control
