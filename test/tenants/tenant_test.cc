// Tests the validation of tenants and the lookup of keys.
#include "tenants/tenant.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "common/result_code.h"
#include "tenants/key_ring.h"

namespace pumicedyke::tenants {
namespace {

std::vector<Tenant> TwoTenants() {
  Tenant first;
  first.name = "first";
  first.api_keys = {"secret-1", "secret-2"};
  Tenant second;
  second.name = "second";
  second.api_keys = {"secret-3"};
  second.requests_per_second = 8;
  second.burst = 3;
  return {first, second};
}

}  // namespace

class TenantTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantTest);
  CPPUNIT_TEST(ValidTenantsPass);
  CPPUNIT_TEST(InvalidTenantsAreReportedWithTheirField);
  CPPUNIT_TEST(KeysFindTheirTenants);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ValidTenantsPass() {
    CPPUNIT_ASSERT(Validate({}).ok());
    std::vector<Tenant> tenants = TwoTenants();
    CPPUNIT_ASSERT(Validate(tenants).ok());
    tenants[0].api_keys = {};
    CPPUNIT_ASSERT(Validate(tenants).ok());
    // A tenant may list a key twice.
    tenants[0].api_keys = {"secret-1", "secret-1"};
    CPPUNIT_ASSERT(Validate(tenants).ok());
  }

  void InvalidTenantsAreReportedWithTheirField() {
    struct Case {
      const char* what;
      TenantField field;
      std::function<void(Tenant*)> make_invalid;
    };
    const Case cases[] = {
        {"no name", TenantField::kName, [](Tenant* t) { t->name.clear(); }},
        {"same name", TenantField::kName, [](Tenant* t) { t->name = "first"; }},
        {"name with a line end", TenantField::kName, [](Tenant* t) { t->name = "a\r\nX: b"; }},
        {"name with a zero", TenantField::kName, [](Tenant* t) { t->name = std::string(1, '\0'); }},
        {"empty key", TenantField::kKeys, [](Tenant* t) { t->api_keys.emplace_back(); }},
        {"another's key", TenantField::kKeys, [](Tenant* t) { t->api_keys = {"secret-2"}; }},
        {"negative rate", TenantField::kRequestsPerSecond,
         [](Tenant* t) { t->requests_per_second = -1; }},
        {"negative burst", TenantField::kBurst, [](Tenant* t) { t->burst = -0.5; }},
    };
    for (const Case& item : cases) {
      std::vector<Tenant> tenants = TwoTenants();
      item.make_invalid(&tenants[1]);
      const auto problem = FindProblem(tenants);
      CPPUNIT_ASSERT_MESSAGE(item.what, problem.has_value());
      CPPUNIT_ASSERT_MESSAGE(item.what, problem->field == item.field);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, tenants[1].name, problem->tenant);
      const absl::Status status = Validate(tenants);
      CPPUNIT_ASSERT_MESSAGE(item.what, CodeOf(status) == ResultCode::kInvalidConfig);
      const std::string text(status.message());
      CPPUNIT_ASSERT_MESSAGE(text, text.find(FieldName(item.field)) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(text, text.find("secret") == std::string::npos);
    }
  }

  void KeysFindTheirTenants() {
    const std::vector<Tenant> tenants = TwoTenants();
    const KeyRing ring(tenants);
    CPPUNIT_ASSERT(ring.Find("secret-1") == &tenants[0]);
    CPPUNIT_ASSERT(ring.Find("secret-2") == &tenants[0]);
    CPPUNIT_ASSERT(ring.Find("secret-3") == &tenants[1]);
    CPPUNIT_ASSERT(ring.FindByName("second") == &tenants[1]);
    for (const char* unknown : {"", "secret", "secret-11", "SECRET-1", "first"}) {
      CPPUNIT_ASSERT_MESSAGE(unknown, ring.Find(unknown) == nullptr);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TenantTest);

}  // namespace pumicedyke::tenants
