// Tests of the node's check of API keys where the configuration has tenants, without sockets.
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

using Harness = NodeHarness;

}  // namespace

class NodeTenantsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeTenantsTest);
  CPPUNIT_TEST(NoKeyIsNeededWithoutTenants);
  CPPUNIT_TEST(KeysAreCheckedAndNotForwarded);
  CPPUNIT_TEST(HedgesCarryTheTenant);
  CPPUNIT_TEST(KeysFollowTheConfiguration);
  CPPUNIT_TEST(InvalidTenantsAreRejectedWithFieldName);
  CPPUNIT_TEST(TenantsAreStoredAndShownWithoutKeys);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoKeyIsNeededWithoutTenants() {
    Harness harness;
    for (const char* key : {"", "any"}) {
      harness.SendRequest(key);
      CPPUNIT_ASSERT(harness.answers.empty());
      CPPUNIT_ASSERT(harness.sends.back().tenant.empty());
      CPPUNIT_ASSERT(!query::LeafRequestToJson(harness.sends.back()).contains("tenant"));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, harness.sends.size());
  }

  void KeysAreCheckedAndNotForwarded() {
    Harness harness;
    harness.PutTenants(kTenants);
    for (const char* key : {"", "unknown", "acme"}) {
      harness.SendRequest(key);
      CPPUNIT_ASSERT_MESSAGE(key, harness.answers.back().answer.code == ResultCode::kUnknownKey);
      CPPUNIT_ASSERT(harness.answers.back().answer.run == query::RunState::kNotRun);
    }
    CPPUNIT_ASSERT(harness.sends.empty());
    for (const auto& [key, tenant] :
         {std::pair("hush-1", "acme"), std::pair("hush-2", "acme"), std::pair("hush-3", "other")}) {
      harness.SendRequest(key);
      const std::string sent = query::LeafRequestToJson(harness.sends.back()).dump();
      CPPUNIT_ASSERT_EQUAL(std::string(tenant), query::LeafRequestFromJson(sent)->tenant);
      CPPUNIT_ASSERT(sent.find("hush") == std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(401, InfoOf(ResultCode::kUnknownKey).http_status);
  }

  void HedgesCarryTheTenant() {
    Harness harness;
    harness.PutTenants(kTenants);
    harness.SendRequest("hush-3");
    for (int i = 0; i < 500 && harness.sends.size() < 2; ++i) {
      harness.now += Milliseconds(1);
      harness.server->Tick(harness.now);
      harness.CollectOutput();
    }
    CPPUNIT_ASSERT(harness.sends.size() >= 2);
    CPPUNIT_ASSERT(harness.sends[0].leaf != harness.sends[1].leaf);
    CPPUNIT_ASSERT_EQUAL(std::string("other"), harness.sends[1].tenant);
  }

  void KeysFollowTheConfiguration() {
    Harness harness;
    harness.PutTenants(kTenants);
    harness.PutTenants(R"([{"name":"new","keys":["hush-1"]}])");
    harness.SendRequest("hush-1");
    CPPUNIT_ASSERT_EQUAL(std::string("new"), harness.sends.back().tenant);
    harness.SendRequest("hush-2");
    CPPUNIT_ASSERT(harness.answers.back().answer.code == ResultCode::kUnknownKey);
    harness.PutTenants("[]");
    harness.SendRequest("hush-1");
    CPPUNIT_ASSERT(harness.answers.back().answer.code == ResultCode::kUnknownKey);
    harness.PutTenants("null");
    harness.SendRequest("");
    CPPUNIT_ASSERT(harness.sends.back().tenant.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, harness.sends.size());
  }

  void InvalidTenantsAreRejectedWithFieldName() {
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

  void TenantsAreStoredAndShownWithoutKeys() {
    Harness harness;
    // State written without tenants is unchanged.
    CPPUNIT_ASSERT(!Json::parse(harness.state.Serialize()).contains("tenants"));
    harness.PutTenants(kTenants);
    const auto restored = config::ConfigState::Deserialize(harness.state.Serialize());
    CPPUNIT_ASSERT(restored.ok());
    CPPUNIT_ASSERT(restored->tenants().tenants == harness.state.tenants().tenants);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, restored->tenants().revision);
    config::Change change;
    change.kind = config::ChangeKind::kPutTenants;
    change.submission_id = "c";
    change.tenants = harness.state.tenants().tenants;
    CPPUNIT_ASSERT(config::ParseChange(Json(change))->tenants == change.tenants);
    const std::string view = server::ViewOfConfig(harness.state.Serialize(), nullptr);
    CPPUNIT_ASSERT(view.find("hush") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Json::parse(view)["tenants"].size());
    // A removed list of tenants is not shown.
    harness.PutTenants("null");
    CPPUNIT_ASSERT(
        !Json::parse(server::ViewOfConfig(harness.state.Serialize(), nullptr)).contains("tenants"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeTenantsTest);

}  // namespace pumicedyke::node
