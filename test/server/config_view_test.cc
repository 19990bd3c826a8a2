// Tests that operators are shown a configuration without its API keys.
#include "server/config_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include "common/json.h"
#include "config/config_state.h"
#include "platform/route_document.h"

namespace pumicedyke::server {

class ConfigViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigViewTest);
  CPPUNIT_TEST(TenantsAreShownWithoutKeys);
  CPPUNIT_TEST(UnreadableDocumentsAreNotShown);
  CPPUNIT_TEST(OtherTextsAreReturnedUnchanged);
  CPPUNIT_TEST_SUITE_END();

 public:
  static std::string StateWith(const std::string& document) {
    config::Change change;
    change.kind = config::ChangeKind::kPutDocument;
    change.document = {7, document};
    config::ConfigState state;
    state.Apply(change);
    return state.Serialize();
  }

  void TenantsAreShownWithoutKeys() {
    const std::string state = StateWith(R"({"version":7,"routes":[],"backends":[],"tenants":[
        {"name":"acme","api_keys":["hush-1","hush-2"],"priority":2,"rate_per_s":16,"burst":4,
         "allowed_regions":["west"]},
        {"name":"plain","api_keys":["hush-3"]}]})");
    CPPUNIT_ASSERT(state.find("hush") != std::string::npos);
    const platform::RouteDocumentReader documents;
    const std::string view = ViewOfConfig(state, &documents);
    CPPUNIT_ASSERT(view.find("hush") == std::string::npos);
    const Json json = Json::parse(view);
    CPPUNIT_ASSERT_MESSAGE(view, json.contains("tenants"));
    CPPUNIT_ASSERT_EQUAL(7, json["document_version"].get<int>());
    CPPUNIT_ASSERT(json["tenants"] == Json::parse(R"([
        {"name":"acme","keys":2,"priority":2,"requests_per_second":16.0,"burst":4.0,
         "regions":["west"]},
        {"name":"plain","keys":1,"priority":null,"requests_per_second":0.0,"burst":0.0,
         "regions":[]}])"));
    // All other fields are unchanged.
    const Json before = Json::parse(state);
    for (const auto& [field, value] : before.items()) {
      CPPUNIT_ASSERT_MESSAGE(field, field == "document" || json[field] == value);
    }
  }

  void UnreadableDocumentsAreNotShown() {
    const std::string state = StateWith("hush-1");
    const platform::RouteDocumentReader documents;
    for (const routing::DocumentReader* reader :
         {static_cast<const routing::DocumentReader*>(&documents),
          static_cast<const routing::DocumentReader*>(nullptr)}) {
      const std::string view = ViewOfConfig(state, reader);
      CPPUNIT_ASSERT(view.find("hush") == std::string::npos);
      CPPUNIT_ASSERT(!Json::parse(view).contains("tenants"));
    }
  }

  void OtherTextsAreReturnedUnchanged() {
    for (const char* text : {"", "no JSON", R"({"code":204})", "[1]"}) {
      CPPUNIT_ASSERT_EQUAL(std::string(text), ViewOfConfig(text, nullptr));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigViewTest);

}  // namespace pumicedyke::server
