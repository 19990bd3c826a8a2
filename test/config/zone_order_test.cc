// Tests how the replicated state handles operators' changes to zones.
#include <cppunit/extensions/HelperMacros.h>

#include "common/json.h"
#include "common/result_code.h"
#include "control/control_state.h"

namespace pumicedyke::control {
namespace {

config::Change ZoneChange(bool evacuate, const std::string& zone, uint64_t based_on) {
  config::Change change;
  change.kind = evacuate ? config::ChangeKind::kEvacuateZone : config::ChangeKind::kRestoreZone;
  change.zone = zone;
  change.expected_revision = based_on;
  return change;
}

config::ChangeResult Apply(ControlState* state, const config::Change& change) {
  return Json::parse(state->Apply(*EncodeCommand(change))).get<config::ChangeResult>();
}

}  // namespace

class ZoneOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneOrderTest);
  CPPUNIT_TEST(RepeatedChangeIsAcceptedWithoutEffect);
  CPPUNIT_TEST(LateEvacuationAfterARestorationIsRefused);
  CPPUNIT_TEST(LateRestorationAfterAnEvacuationIsRefused);
  CPPUNIT_TEST(ZoneStatesSurviveSerialization);
  CPPUNIT_TEST(ChangeWithoutAZoneIsRefusedNamingTheField);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RepeatedChangeIsAcceptedWithoutEffect() {
    ControlState state({});
    CPPUNIT_ASSERT_EQUAL(0, Apply(&state, ZoneChange(true, "north", 0)).code);
    const uint64_t version = state.config().version().value;
    // Two operators at once, or a resend after a lost reply: both are based on revision 0.
    CPPUNIT_ASSERT_EQUAL(0, Apply(&state, ZoneChange(true, "north", 0)).code);
    CPPUNIT_ASSERT_EQUAL(version, state.config().version().value);
    CPPUNIT_ASSERT(state.config().EvacuatedZones() == std::set<std::string>{"north"});
  }

  void LateEvacuationAfterARestorationIsRefused() {
    ControlState state({});
    Apply(&state, ZoneChange(true, "north", 0));
    Apply(&state, ZoneChange(false, "north", 1));
    const config::ChangeResult late = Apply(&state, ZoneChange(true, "north", 0));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ResultCode::kRevisionConflict), late.code);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, late.revision);
    CPPUNIT_ASSERT(state.config().EvacuatedZones().empty());
    // Submitted again, the change is based on the current revision.
    CPPUNIT_ASSERT_EQUAL(0, Apply(&state, ZoneChange(true, "north", late.revision)).code);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, state.config().EvacuatedZones().size());
  }

  void LateRestorationAfterAnEvacuationIsRefused() {
    ControlState state({});
    Apply(&state, ZoneChange(true, "north", 0));
    Apply(&state, ZoneChange(false, "north", 1));
    Apply(&state, ZoneChange(true, "north", 2));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ResultCode::kRevisionConflict),
                         Apply(&state, ZoneChange(false, "north", 1)).code);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, state.config().EvacuatedZones().size());
  }

  void ZoneStatesSurviveSerialization() {
    ControlState state({});
    Apply(&state, ZoneChange(true, "north", 0));
    Apply(&state, ZoneChange(true, "south", 0));
    Apply(&state, ZoneChange(false, "south", 1));
    ControlState restored({});
    CPPUNIT_ASSERT(restored.Restore(state.Serialize()).ok());
    CPPUNIT_ASSERT(restored.config().EvacuatedZones() == std::set<std::string>{"north"});
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, restored.config().zones().at("south").revision);
  }

  void ChangeWithoutAZoneIsRefusedNamingTheField() {
    const auto change = config::ParseChange(Json{{"kind", "evacuate_zone"}});
    CPPUNIT_ASSERT(!change.ok());
    CPPUNIT_ASSERT(change.status().message().find("'zone'") != std::string::npos);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ZoneOrderTest);

}  // namespace pumicedyke::control
