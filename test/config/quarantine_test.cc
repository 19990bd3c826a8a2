// Tests of stopping and releasing requests as part of the configuration.
#include <cppunit/extensions/HelperMacros.h>

#include "common/result_code.h"
#include "config/config_state.h"

namespace pumicedyke::config {
namespace {

const RequestIdentity kRequest = IdentityOf({"request"});

Change RequestChange(ChangeKind kind, const RequestIdentity& request = kRequest,
                     bool conditional = false) {
  Change change;
  change.kind = kind;
  change.request = request;
  change.conditional = conditional;
  return change;
}

}  // namespace

class QuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(StoppedReleasedAndStoppedAgain);
  CPPUNIT_TEST(StateSurvivesSerializationAndOlderStatesAreRead);
  CPPUNIT_TEST(ChangesReadBack);
  CPPUNIT_TEST(BadFieldsAreNamed);
  CPPUNIT_TEST(NumberOfStoppedRequestsIsLimited);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StoppedReleasedAndStoppedAgain() {
    ConfigState state;
    CPPUNIT_ASSERT(!state.HasNoEffect(RequestChange(ChangeKind::kQuarantineRequest)));
    state.Apply(RequestChange(ChangeKind::kQuarantineRequest));
    CPPUNIT_ASSERT(state.IsQuarantined(kRequest));
    CPPUNIT_ASSERT(!state.IsQuarantined(IdentityOf({"another"})));
    CPPUNIT_ASSERT(state.HasNoEffect(RequestChange(ChangeKind::kQuarantineRequest)));
    state.Apply(RequestChange(ChangeKind::kReleaseRequest, kRequest, /*conditional=*/true));
    CPPUNIT_ASSERT(!state.IsQuarantined(kRequest));
    CPPUNIT_ASSERT(state.HasNoEffect(RequestChange(ChangeKind::kReleaseRequest, kRequest, true)));
    CPPUNIT_ASSERT(!state.HasNoEffect(RequestChange(ChangeKind::kReleaseRequest)));
    state.Apply(RequestChange(ChangeKind::kQuarantineRequest));
    CPPUNIT_ASSERT_EQUAL(2U, state.quarantine().at(kRequest).times);
    state.Apply(RequestChange(ChangeKind::kReleaseRequest));
    CPPUNIT_ASSERT(state.quarantine().empty());
  }

  void StateSurvivesSerializationAndOlderStatesAreRead() {
    ConfigState state;
    state.Apply(RequestChange(ChangeKind::kQuarantineRequest));
    state.Apply(RequestChange(ChangeKind::kQuarantineRequest, IdentityOf({"another"})));
    state.Apply(RequestChange(ChangeKind::kReleaseRequest, IdentityOf({"another"}), true));
    const auto back = ConfigState::Deserialize(state.Serialize());
    CPPUNIT_ASSERT(back.ok());
    CPPUNIT_ASSERT(back->IsQuarantined(kRequest));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, back->quarantine().size());
    Json older = Json::parse(state.Serialize());
    older.erase("quarantine");
    CPPUNIT_ASSERT(ConfigState::Deserialize(older.dump())->quarantine().empty());
  }

  void ChangesReadBack() {
    for (const Change& change : {RequestChange(ChangeKind::kQuarantineRequest),
                                 RequestChange(ChangeKind::kReleaseRequest, kRequest, true)}) {
      const auto back = ParseChange(Json(change));
      CPPUNIT_ASSERT(back.ok());
      CPPUNIT_ASSERT(back->kind == change.kind && back->request == kRequest);
      CPPUNIT_ASSERT_EQUAL(change.conditional, back->conditional);
    }
  }

  void BadFieldsAreNamed() {
    const auto why = [](const Json& json) {
      return std::string(ParseChange(json).status().message());
    };
    const std::string identity = ToText(kRequest);
    CPPUNIT_ASSERT(why({{"kind", "release_request"}}).find("'request'") != std::string::npos);
    CPPUNIT_ASSERT(why({{"kind", "quarantine_request"}, {"request", "12"}}).find("'request'") !=
                   std::string::npos);
    CPPUNIT_ASSERT(why({{"kind", "quarantine_request"}, {"request", std::string(32, '0')}})
                       .find("'request'") != std::string::npos);
    CPPUNIT_ASSERT(why({{"kind", "release_request"}, {"request", identity}, {"on_parole", 1}})
                       .find("'on_parole'") != std::string::npos);
  }

  /// A conditionally released request is replaced by a new one; a stopped request is not.
  void NumberOfStoppedRequestsIsLimited() {
    ConfigState state;
    const auto nth = [](size_t i) { return IdentityOf({std::to_string(i)}); };
    for (size_t i = 0; i < kMaxQuarantined; ++i) {
      state.Apply(RequestChange(ChangeKind::kQuarantineRequest, nth(i)));
    }
    const Change more = RequestChange(ChangeKind::kQuarantineRequest);
    CPPUNIT_ASSERT(CodeOf(state.Validate(more)) == ResultCode::kInvalidConfig);
    state.Apply(RequestChange(ChangeKind::kReleaseRequest, nth(7), true));
    CPPUNIT_ASSERT(state.Validate(more).ok());
    state.Apply(more);
    CPPUNIT_ASSERT_EQUAL(kMaxQuarantined, state.quarantine().size());
    CPPUNIT_ASSERT(state.IsQuarantined(kRequest));
    CPPUNIT_ASSERT(!state.quarantine().contains(nth(7)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

}  // namespace pumicedyke::config
