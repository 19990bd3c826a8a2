// The door of the product's own interface where the configuration has tenants, without sockets.
#include <cppunit/extensions/HelperMacros.h>

#include "common/json.h"
#include "common/result_code.h"
#include "config/config_state.h"
#include "config/tenant_list.h"
#include "node/node_harness.h"
#include "server/config_view.h"

namespace pumicedyke::node {
namespace {

constexpr char kTenants[] = R"([{"name":"acme","keys":["hush-1","hush-2"],"priority":9},
                                {"name":"other","keys":["hush-3"]}])";

using Door = NodeHarness;

}  // namespace

class NodeTenantsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeTenantsTest);
  CPPUNIT_TEST(WithoutTenantsNobodyNeedsAKey);
  CPPUNIT_TEST(KeysOpenTheDoorAndGoNoFurther);
  CPPUNIT_TEST(HedgesNameTheTenant);
  CPPUNIT_TEST(KeysComeAndGo);
  CPPUNIT_TEST(BadTenantsAreRefusedByNameAndField);
  CPPUNIT_TEST(TenantsAreKeptAndShownWithoutKeys);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WithoutTenantsNobodyNeedsAKey() {
    Door door;
    for (const char* key : {"", "any"}) {
      door.Ask(key);
      CPPUNIT_ASSERT(door.answers.empty());
      CPPUNIT_ASSERT(door.sends.back().tenant.empty());
      CPPUNIT_ASSERT(!query::LeafRequestToJson(door.sends.back()).contains("tenant"));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, door.sends.size());
  }

  void KeysOpenTheDoorAndGoNoFurther() {
    Door door;
    door.PutTenants(kTenants);
    for (const char* key : {"", "unknown", "acme"}) {
      door.Ask(key);
      CPPUNIT_ASSERT_MESSAGE(key, door.answers.back().answer.code == ResultCode::kUnknownKey);
      CPPUNIT_ASSERT(door.answers.back().answer.run == query::RunState::kNotRun);
    }
    CPPUNIT_ASSERT(door.sends.empty());
    for (const auto& [key, tenant] :
         {std::pair("hush-1", "acme"), std::pair("hush-2", "acme"), std::pair("hush-3", "other")}) {
      door.Ask(key);
      const std::string sent = query::LeafRequestToJson(door.sends.back()).dump();
      CPPUNIT_ASSERT_EQUAL(std::string(tenant), query::LeafRequestFromJson(sent)->tenant);
      CPPUNIT_ASSERT(sent.find("hush") == std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(401, InfoOf(ResultCode::kUnknownKey).http_status);
  }

  void HedgesNameTheTenant() {
    Door door;
    door.PutTenants(kTenants);
    door.Ask("hush-3");
    for (int i = 0; i < 500 && door.sends.size() < 2; ++i) {
      door.now += Milliseconds(1);
      door.server->Tick(door.now);
      door.Take();
    }
    CPPUNIT_ASSERT(door.sends.size() >= 2);
    CPPUNIT_ASSERT(door.sends[0].leaf != door.sends[1].leaf);
    CPPUNIT_ASSERT_EQUAL(std::string("other"), door.sends[1].tenant);
  }

  void KeysComeAndGo() {
    Door door;
    door.PutTenants(kTenants);
    door.PutTenants(R"([{"name":"new","keys":["hush-1"]}])");
    door.Ask("hush-1");
    CPPUNIT_ASSERT_EQUAL(std::string("new"), door.sends.back().tenant);
    door.Ask("hush-2");
    CPPUNIT_ASSERT(door.answers.back().answer.code == ResultCode::kUnknownKey);
    door.PutTenants("[]");
    door.Ask("hush-1");
    CPPUNIT_ASSERT(door.answers.back().answer.code == ResultCode::kUnknownKey);
    door.PutTenants("null");
    door.Ask("");
    CPPUNIT_ASSERT(door.sends.back().tenant.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, door.sends.size());
  }

  void BadTenantsAreRefusedByNameAndField() {
    struct Case {
      const char* list;
      const char* field;
    };
    const Case cases[] = {
        {R"("hush")", "tenants"},
        {"5", "tenants"},
        {R"([5])", "name"},
        {R"([{"keys":["hush"]}])", "name"},
        {R"([{"name":"","keys":["hush"]}])", "name"},
        {R"([{"name":"a","keys":[]},{"name":"a","keys":["hush"]}])", "name"},
        {R"([{"name":"a"}])", "keys"},
        {R"([{"name":"a","keys":"hush"}])", "keys"},
        {R"([{"name":"a","keys":["hush",5]}])", "keys"},
        {R"([{"name":"a","keys":[""]}])", "keys"},
        {R"([{"name":"a","keys":["hush"]},{"name":"b","keys":["hush"]}])", "keys"},
        {R"([{"name":"a","keys":["hush"],"priority":10}])", "priority"},
        {R"([{"name":"a","keys":["hush"],"priority":-1}])", "priority"},
        {R"([{"name":"a","keys":["hush"],"requests_per_second":5}])", "requests_per_second"},
    };
    for (const Case& item : cases) {
      const auto change = config::ParseChange(
          Json::parse(R"({"kind":"put_tenants","submission_id":"c","tenants":)" +
                      std::string(item.list) + "}"));
      CPPUNIT_ASSERT_MESSAGE(item.list, !change.ok());
      const std::string why(change.status().message());
      CPPUNIT_ASSERT_MESSAGE(why, why.find(item.field) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(why, why.find("hush") == std::string::npos);
    }
    CPPUNIT_ASSERT(
        !config::ParseChange(Json::parse(R"({"kind":"put_tenants","submission_id":"c"})")).ok());
  }

  void TenantsAreKeptAndShownWithoutKeys() {
    Door door;
    // What was written before there were tenants reads as before.
    CPPUNIT_ASSERT(!Json::parse(door.state.Serialize()).contains("tenants"));
    door.PutTenants(kTenants);
    const auto back = config::ConfigState::Deserialize(door.state.Serialize());
    CPPUNIT_ASSERT(back.ok());
    CPPUNIT_ASSERT(back->tenants().tenants == door.state.tenants().tenants);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, back->tenants().revision);
    config::Change change;
    change.kind = config::ChangeKind::kPutTenants;
    change.submission_id = "c";
    change.tenants = door.state.tenants().tenants;
    CPPUNIT_ASSERT(config::ParseChange(Json(change))->tenants == change.tenants);
    const std::string view = server::ViewOfConfig(door.state.Serialize(), nullptr);
    CPPUNIT_ASSERT(view.find("hush") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Json::parse(view)["tenants"].size());
    // Nobody's tenants: a list that is gone is not shown either.
    door.PutTenants("null");
    CPPUNIT_ASSERT(
        !Json::parse(server::ViewOfConfig(door.state.Serialize(), nullptr)).contains("tenants"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeTenantsTest);

}  // namespace pumicedyke::node
