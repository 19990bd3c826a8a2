// Tests tenants in the platform's documents and the headers that identify callers: what is
// accepted, what is refused, and what is passed on to leafs.
#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "common/json.h"
#include "common/result_code.h"
#include "platform/control_dialect.h"
#include "platform/gateway_dialect.h"
#include "platform/route_document.h"

namespace pumicedyke::platform {
namespace {

http::HttpRequest Request(const std::string& method, const std::string& target,
                          const std::string& body, http::Headers headers = {}) {
  http::HttpRequest request;
  request.method = method;
  request.target = target;
  request.path = target;
  request.body = body;
  request.headers = std::move(headers);
  return request;
}

Json Document() {
  return Json::parse(R"({"version":7,
    "routes":[{"name":"r1","host":"a.example","path_prefix":"/x/","type":"idempotent",
               "timeout_ms":800,"backend":"s1"},
              {"name":"r2","host":"a.example","path_prefix":"/y/","type":"idempotent",
               "timeout_ms":800,"backend":"s1","public":true}],
    "backends":[{"name":"s1","health_path":"/healthz","max_conns":26}],
    "tenants":[{"name":"acme","api_keys":["hush-1","hush-2"],"priority":2,"rate_per_s":16.5,
                "burst":4,"allowed_regions":["west"]},
               {"name":"plain","api_keys":["hush-3"]}]})");
}

gateway::PayloadRequest Read(const http::Headers& more) {
  http::Headers headers = {{"Host", "a.example"}, {"X-Request-Id", "9c41"}};
  headers.insert(headers.end(), more.begin(), more.end());
  return *GatewayDialect().ReadRequest(Request("GET", "/x/1", "", headers));
}

}  // namespace

class TenantDocumentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantDocumentTest);
  CPPUNIT_TEST(TenantsAreRead);
  CPPUNIT_TEST(DocumentsWithoutTenantsNeedNoKeys);
  CPPUNIT_TEST(BadTenantsAreRefusedByNameAndField);
  CPPUNIT_TEST(KeysAreReadFromTheHeader);
  CPPUNIT_TEST(CallerHeadersAreNotSentToLeafs);
  CPPUNIT_TEST(WithoutTenantsCallerHeadersArePassedOn);
  CPPUNIT_TEST(LeafsGetTheTenantHeader);
  CPPUNIT_TEST(UnknownKeysAreAnswered401);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TenantsAreRead() {
    const auto set = RouteDocumentReader().Read(Document().dump());
    CPPUNIT_ASSERT_MESSAGE(set.status().ToString(), set.ok());
    CPPUNIT_ASSERT(routing::Validate(*set).ok());
    CPPUNIT_ASSERT(set->keyed);
    CPPUNIT_ASSERT(!set->routes[0].open);
    CPPUNIT_ASSERT(set->routes[1].open);
    const tenants::Tenant expected{"acme", {"hush-1", "hush-2"},         2, 16.5,
                                   4,      std::set<std::string>{"west"}};
    CPPUNIT_ASSERT(set->tenants.at(0) == expected);
    const tenants::Tenant plain{"plain", {"hush-3"}, std::nullopt, 0, 0, {}};
    CPPUNIT_ASSERT(set->tenants.at(1) == plain);
    CPPUNIT_ASSERT(!set->tenants.at(1).limited());
  }

  void DocumentsWithoutTenantsNeedNoKeys() {
    Json document = Document();
    document["tenants"] = nullptr;
    CPPUNIT_ASSERT(!RouteDocumentReader().Read(document.dump())->keyed);
    document.erase("tenants");
    CPPUNIT_ASSERT(!RouteDocumentReader().Read(document.dump())->keyed);
    // An empty list of tenants still requires keys, and no key is valid.
    document["tenants"] = Json::array();
    CPPUNIT_ASSERT(RouteDocumentReader().Read(document.dump())->keyed);
  }

  void BadTenantsAreRefusedByNameAndField() {
    struct Case {
      const char* what;
      const char* field;
      std::function<void(Json*)> invalidate;
    };
    const Case cases[] = {
        {"no name", "name", [](Json* t) { t->erase("name"); }},
        {"name is a number", "name", [](Json* t) { (*t)["name"] = 5; }},
        {"name is empty", "name", [](Json* t) { (*t)["name"] = ""; }},
        {"name is another's", "name", [](Json* t) { (*t)["name"] = "plain"; }},
        {"name ends a line", "name", [](Json* t) { (*t)["name"] = "a\nb"; }},
        {"no keys", "api_keys", [](Json* t) { t->erase("api_keys"); }},
        {"keys are null", "api_keys", [](Json* t) { (*t)["api_keys"] = nullptr; }},
        {"keys are a text", "api_keys", [](Json* t) { (*t)["api_keys"] = "hush-1"; }},
        {"keys are a table", "api_keys",
         [](Json* t) {
           (*t)["api_keys"] = {{"hush-1", 1}};
         }},
        {"a key is a number", "api_keys", [](Json* t) { (*t)["api_keys"][1] = 77; }},
        {"a key is empty", "api_keys", [](Json* t) { (*t)["api_keys"][1] = ""; }},
        {"a key is another's", "api_keys", [](Json* t) { (*t)["api_keys"][1] = "hush-3"; }},
        {"priority is negative", "priority", [](Json* t) { (*t)["priority"] = -1; }},
        {"priority is a text", "priority", [](Json* t) { (*t)["priority"] = "high"; }},
        {"priority is too large", "priority", [](Json* t) { (*t)["priority"] = 1ULL << 33U; }},
        {"rate is negative", "rate_per_s", [](Json* t) { (*t)["rate_per_s"] = -0.1; }},
        {"rate is a text", "rate_per_s", [](Json* t) { (*t)["rate_per_s"] = "16"; }},
        {"burst is negative", "burst", [](Json* t) { (*t)["burst"] = -3; }},
        {"burst is a list", "burst", [](Json* t) { (*t)["burst"] = {3}; }},
        {"regions are a text", "allowed_regions",
         [](Json* t) { (*t)["allowed_regions"] = "west"; }},
        {"a region is a number", "allowed_regions", [](Json* t) { (*t)["allowed_regions"] = {1}; }},
    };
    const ControlDialect dialect;
    for (const size_t index : {size_t{0}, size_t{1}}) {
      for (const Case& item : cases) {
        Json document = Document();
        Json tenant = document["tenants"][0];
        const Json other = document["tenants"][1];
        item.invalidate(&tenant);
        document["tenants"] = index == 0 ? Json{tenant, other} : Json{other, tenant};
        const auto command =
            dialect.ReadCommand(Request("POST", "/v1/config/put", document.dump()));
        CPPUNIT_ASSERT_MESSAGE(item.what, !command.ok());
        const http::HttpResponse refusal = dialect.WriteRefusal(command.status());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, 400, refusal.status);
        const std::string why(command.status().message());
        CPPUNIT_ASSERT_MESSAGE(why, why.find(item.field) != std::string::npos);
        const bool named = tenant.contains("name") && tenant["name"].is_string();
        const std::string name =
            named ? "'" + tenant["name"].get<std::string>() + "'" : std::to_string(index);
        // Of two conflicting tenants, either may be named.
        const bool names_one = why.find("tenant " + name) != std::string::npos ||
                               why.find("tenant 'plain'") != std::string::npos;
        CPPUNIT_ASSERT_MESSAGE(item.what + (": " + why), names_one);
        CPPUNIT_ASSERT_MESSAGE(why, refusal.body.find("hush") == std::string::npos);
      }
    }
    for (const Json& list : {Json("acme"), Json(5), Json::object(), Json{1}, Json{nullptr}}) {
      Json document = Document();
      document["tenants"] = list;
      CPPUNIT_ASSERT_MESSAGE(
          list.dump(),
          !dialect.ReadCommand(Request("POST", "/v1/config/put", document.dump())).ok());
    }
    Json document = Document();
    document["routes"][1]["public"] = "yes";
    CPPUNIT_ASSERT(!RouteDocumentReader().Read(document.dump()).ok());
  }

  void KeysAreReadFromTheHeader() {
    struct Case {
      const char* what;
      http::Headers headers;
      const char* key;
    };
    const Case cases[] = {
        {"none", {}, ""},
        {"usual", {{"Authorization", "Bearer hush-1"}}, "hush-1"},
        {"other letters", {{"authorization", "bEARER hush-1"}}, "hush-1"},
        {"more blanks", {{"Authorization", "Bearer   hush-1 "}}, "hush-1"},
        {"another scheme", {{"Authorization", "Basic hush-1"}}, ""},
        {"no scheme", {{"Authorization", "hush-1"}}, ""},
        {"only the scheme", {{"Authorization", "Bearer"}}, ""},
        {"no key", {{"Authorization", "Bearer "}}, ""},
        {"two", {{"Authorization", "Bearer hush-1"}, {"Authorization", "Bearer hush-3"}}, ""},
        {"the same twice", {{"Authorization", "Bearer hush-1"}, {"AUTHORIZATION", "x"}}, ""},
    };
    for (const Case& item : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, std::string(item.key), Read(item.headers).api_key);
    }
  }

  void CallerHeadersAreNotSentToLeafs() {
    const gateway::PayloadRequest request = Read({{"authorization", "Bearer hush-1"},
                                                  {"X-Kept", "yes"},
                                                  {"Authorization", "Basic hush-2"},
                                                  {"x-tenant", "plain"},
                                                  {"X-Tenant", "acme"}});
    CPPUNIT_ASSERT(request.encoded_head.find("\r\nX-Kept: yes\r\n") != std::string::npos);
    for (const char* header_text : {"hush", "uthorization", "enant", "plain", "acme"}) {
      CPPUNIT_ASSERT_MESSAGE(header_text,
                             request.encoded_head.find(header_text) == std::string::npos);
      for (const http::Header& header : request.headers) {
        CPPUNIT_ASSERT((header.name + header.value).find(header_text) == std::string::npos);
      }
    }
  }

  void WithoutTenantsCallerHeadersArePassedOn() {
    CPPUNIT_ASSERT(gateway::HeadWithCallerHeaders(Read({})) == nullptr);
    const gateway::PayloadRequest request = Read({{"Authorization", "Bearer hush-1"},
                                                  {"X-Kept", "yes"},
                                                  {"X-Tenant", "plain"},
                                                  {"Authorization", "second"}});
    const std::string head = *gateway::HeadWithCallerHeaders(request);
    for (const char* line : {"GET /x/1 HTTP/1.1\r\n", "\r\nX-Kept: yes\r\n",
                             "\r\nX-Tenant: plain\r\n", "\r\nAuthorization: Bearer hush-1\r\n"}) {
      CPPUNIT_ASSERT_MESSAGE(line, head.find(line) != std::string::npos);
    }
    // Headers of one name keep their order.
    CPPUNIT_ASSERT(head.find("Authorization: Bearer hush-1") < head.find("Authorization: second"));
  }

  void LeafsGetTheTenantHeader() {
    const GatewayDialect dialect;
    const auto request = std::make_shared<const gateway::PayloadRequest>(
        Read({{"X-Tenant", "plain"}, {"Authorization", "Bearer hush-1"}}));
    gateway::LeafSend send;
    send.request = request;
    send.tenant = "acme";
    const http::ClientRequest call = dialect.WriteLeafRequest(send);
    CPPUNIT_ASSERT_EQUAL(std::string("acme"), *http::FindHeader(call.headers, "X-Tenant"));
    CPPUNIT_ASSERT_EQUAL(request->encoded_head, *call.shared_head);
    send.tenant.clear();
    CPPUNIT_ASSERT(http::FindHeader(dialect.WriteLeafRequest(send).headers, "X-Tenant") == nullptr);
    send.head = gateway::HeadWithCallerHeaders(*request);
    CPPUNIT_ASSERT(dialect.WriteLeafRequest(send).shared_head->find("X-Tenant: plain") !=
                   std::string::npos);
  }

  void UnknownKeysAreAnswered401() {
    gateway::GatewayAnswer answer;
    answer.request =
        std::make_shared<const gateway::PayloadRequest>(Read({{"Authorization", "Bearer hush-9"}}));
    answer.code = ResultCode::kUnknownKey;
    const http::HttpResponse response = GatewayDialect().WriteAnswer(answer);
    CPPUNIT_ASSERT_EQUAL(401, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("Bearer"),
                         *http::FindHeader(response.headers, "WWW-Authenticate"));
    CPPUNIT_ASSERT_EQUAL(std::string("9c41"), *http::FindHeader(response.headers, "X-Request-Id"));
    CPPUNIT_ASSERT(response.body.find("hush") == std::string::npos);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TenantDocumentTest);

}  // namespace pumicedyke::platform
