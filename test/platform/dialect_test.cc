// Table-driven tests of the platform dialects, with valid and invalid requests, replies and
// documents.
#include <cppunit/extensions/HelperMacros.h>

#include "absl/strings/str_cat.h"
#include "common/json.h"
#include "common/result_code.h"
#include "platform/control_dialect.h"
#include "platform/gateway_dialect.h"
#include "platform/route_document.h"

namespace pumicedyke::platform {
namespace {

http::HttpRequest Request(const std::string& method, const std::string& target,
                          const std::string& body = "", http::Headers headers = {}) {
  http::HttpRequest request;
  request.method = method;
  request.target = target;
  request.path = target.substr(0, target.find('?'));
  request.body = body;
  request.headers = std::move(headers);
  return request;
}

http::Headers ClientHeaders() {
  return {{"Host", "desk.example"}, {"X-Request-Id", "9c41"}, {"X-Deadline-Ms", "800"}};
}

std::string Value(const http::Headers& headers, const std::string& name) {
  const std::string* value = http::FindHeader(headers, name);
  return value == nullptr ? "(none)" : *value;
}

Json Document() {
  return Json::parse(R"({"version":7,
    "routes":[{"name":"r1","host":"a.example","path_prefix":"/x/","type":"idempotent",
               "timeout_ms":800,"slo_ms":80,"priority":2,"gather":["s1","s2"],"max_attempts":2,
               "top_k":5,"min_coverage":0.75},
              {"name":"r2","host":"a.example","path_prefix":"/y/","type":"mutating",
               "timeout_ms":8000,"slo_ms":800,"priority":1,"backend":"s1","max_attempts":1},
              {"name":"r3","host":"a.example","path_prefix":"/z/","type":"idempotent",
               "timeout_ms":100,"split":[{"backend":"s1","weight":3},{"backend":"s2","weight":1}]}],
    "backends":[{"name":"s1","health_path":"/healthz","max_conns":26,"protocol":"h1","tls":false},
                {"name":"s2","health_path":"/healthz","max_conns":110}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
              "idle_timeout_ms":15000}})");
}

/// Bytes that make a whole JSON text unreadable when they stand beside it.
std::vector<std::string> SurplusBytes() {
  return {std::string("\0", 1),
          std::string("\0\0\0", 3),
          std::string("\0 left over", 11),
          std::string("\0{}", 3),
          std::string("\0\xff\xfe\x80", 4),
          "\xff",
          "}",
          "{}"};
}

}  // namespace

class DialectTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DialectTest);
  CPPUNIT_TEST(DocumentIsParsed);
  CPPUNIT_TEST(AllowedRegionsAndWarmUpAreRead);
  CPPUNIT_TEST(BadDocumentsAreRefused);
  CPPUNIT_TEST(BodiesWithSurplusBytesAreRefused);
  CPPUNIT_TEST(ClientRequestsAreRead);
  CPPUNIT_TEST(IdentityCoversContentAndCaller);
  CPPUNIT_TEST(LeafRequestCarriesRequiredHeaders);
  CPPUNIT_TEST(LeafRepliesAreClassified);
  CPPUNIT_TEST(RefusalsOfOthersProveNothing);
  CPPUNIT_TEST(AnswersAreWritten);
  CPPUNIT_TEST(CommandsAreRead);
  CPPUNIT_TEST(BadCommandsAreRefused);
  CPPUNIT_TEST(ControlAnswersAreWritten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DocumentIsParsed() {
    const auto set = RouteDocumentReader().Read(Document().dump());
    CPPUNIT_ASSERT(set.ok());
    CPPUNIT_ASSERT(routing::Validate(*set).ok());
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, set->version);
    const routing::Route& gather = set->routes.at(0);
    CPPUNIT_ASSERT(gather.gathers() && gather.repeatable);
    CPPUNIT_ASSERT_EQUAL(size_t{5}, gather.top_records);
    CPPUNIT_ASSERT_EQUAL(0.75, gather.min_coverage);
    CPPUNIT_ASSERT(gather.objective == Milliseconds(80));
    CPPUNIT_ASSERT(!set->routes.at(1).repeatable);
    CPPUNIT_ASSERT_EQUAL(3.0, set->routes.at(2).services.at(0).weight);
    CPPUNIT_ASSERT_EQUAL(110U, set->services.at(1).max_connections);
    CPPUNIT_ASSERT(set->limits.idle_timeout == Seconds(15));
  }

  void AllowedRegionsAndWarmUpAreRead() {
    Json document = Document();
    document["routes"][0]["allowed_regions"] = {"west", "east"};
    document["backends"][0]["warmup_s"] = 3.5;
    document["backends"][0]["warmup_per_s"] = 4.0;
    const auto set = RouteDocumentReader().Read(document.dump());
    CPPUNIT_ASSERT(set.ok());
    CPPUNIT_ASSERT(set->routes[0].allowed_regions == (std::set<std::string>{"east", "west"}));
    CPPUNIT_ASSERT(set->services[0].warm_up == Milliseconds(3500));
    CPPUNIT_ASSERT_EQUAL(4.0, set->services[0].cold_requests_per_second);
    struct Case {
      const char* list;
      const char* field;
      Json value;
    };
    const Case bad[] = {{"routes", "allowed_regions", "west"},
                        {"routes", "allowed_regions", {1}},
                        {"backends", "warmup_s", -1},
                        {"backends", "warmup_per_s", -1}};
    for (const Case& item : bad) {
      Json invalid = Document();
      invalid[item.list][0][item.field] = item.value;
      const auto refused = RouteDocumentReader().Read(invalid.dump());
      CPPUNIT_ASSERT_MESSAGE(item.field, !refused.ok());
      CPPUNIT_ASSERT_MESSAGE(item.field,
                             refused.status().message().find(item.field) != std::string::npos);
    }
  }

  void BadDocumentsAreRefused() {
    struct Case {
      const char* what;
      std::function<void(Json*)> invalidate;
    };
    const Case cases[] = {
        {"no version", [](Json* d) { d->erase("version"); }},
        {"version is text", [](Json* d) { (*d)["version"] = "7"; }},
        {"negative version", [](Json* d) { (*d)["version"] = -7; }},
        {"no routes", [](Json* d) { d->erase("routes"); }},
        {"routes is no list", [](Json* d) { (*d)["routes"] = 5; }},
        {"no services", [](Json* d) { d->erase("backends"); }},
        {"route without host", [](Json* d) { (*d)["routes"][0].erase("host"); }},
        {"route is a number", [](Json* d) { (*d)["routes"][0] = 1; }},
        {"route without target", [](Json* d) { (*d)["routes"][1].erase("backend"); }},
        {"route without time", [](Json* d) { (*d)["routes"][0].erase("timeout_ms"); }},
        {"time is 0", [](Json* d) { (*d)["routes"][0]["timeout_ms"] = 0; }},
        {"unknown service", [](Json* d) { (*d)["routes"][1]["backend"] = "nobody"; }},
        {"unknown shard",
         [](Json* d) {
           (*d)["routes"][0]["gather"] = {"s1", "nobody"};
         }},
        {"gather of numbers",
         [](Json* d) {
           (*d)["routes"][0]["gather"] = {1, 2};
         }},
        {"same place", [](Json* d) { (*d)["routes"][1]["path_prefix"] = "/x/"; }},
        {"weights of 0",
         [](Json* d) {
           (*d)["routes"][2]["split"] = {{{"backend", "s1"}, {"weight", 0}}};
         }},
        {"limits is no object", [](Json* d) { (*d)["limits"] = "many"; }},
    };
    const ControlDialect dialect;
    for (const Case& item : cases) {
      Json document = Document();
      item.invalidate(&document);
      const auto command = dialect.ReadCommand(Request("POST", "/v1/config/put", document.dump()));
      CPPUNIT_ASSERT_MESSAGE(item.what, !command.ok());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, 400, dialect.WriteRefusal(command.status()).status);
    }
    const std::string whole = Document().dump();
    for (const std::string& text : {std::string(), whole.substr(0, whole.size() / 2),
                                    std::string("[]"), std::string("\xff\xfe")}) {
      CPPUNIT_ASSERT(!dialect.ReadCommand(Request("POST", "/v1/config/put", text)).ok());
    }
  }

  /// Guards against bodies that are taken although no reader of JSON can read them whole.
  void BodiesWithSurplusBytesAreRefused() {
    const ControlDialect dialect;
    const std::string heartbeat =
        R"({"backend":"s1","address":"10.0.0.9:8080","slots":2,"state":"ready","seq":4})";
    const std::pair<std::string, std::string> calls[] = {
        {"/v1/config/put", Document().dump()},
        {"/v1/instances/i-1/heartbeat", heartbeat},
        {"/v1/instances/i-1/deregister", R"({"born":7})"},
    };
    for (const auto& [path, body] : calls) {
      CPPUNIT_ASSERT_MESSAGE(path, dialect.ReadCommand(Request("POST", path, body)).ok());
      CPPUNIT_ASSERT_MESSAGE(path, dialect.ReadCommand(Request("POST", path, body + "\r\n ")).ok());
      for (const std::string& surplus : SurplusBytes()) {
        for (const std::string& text :
             {body + surplus, absl::StrCat(body, " ", surplus), surplus + body}) {
          const auto command = dialect.ReadCommand(Request("POST", path, text));
          CPPUNIT_ASSERT_MESSAGE(path, !command.ok());
          CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 400, dialect.WriteRefusal(command.status()).status);
        }
      }
    }
  }

  void ClientRequestsAreRead() {
    const GatewayDialect dialect;
    http::Headers headers = ClientHeaders();
    headers.push_back({"Connection", "keep-alive, X-Hop"});
    headers.push_back({"X-Hop", "1"});
    headers.push_back({"X-Kept", "2"});
    headers.push_back({"Content-Length", "4"});
    const auto read = dialect.ReadRequest(Request("PUT", "/x/1?q=2", "body", headers));
    CPPUNIT_ASSERT(read.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("9c41"), read->request_id);
    CPPUNIT_ASSERT_EQUAL(std::string("/x/1"), read->path());
    CPPUNIT_ASSERT(read->deadline == Milliseconds(800));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Value(read->headers, "X-Kept"));
    for (const char* dropped : {"X-Hop", "Connection", "Content-Length", "X-Deadline-Ms"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(dropped, std::string("(none)"), Value(read->headers, dropped));
    }
    struct Case {
      const char* name;
      const char* value;
    };
    for (const Case& bad : {Case{"X-Request-Id", ""}, Case{"Host", ""},
                            Case{"X-Deadline-Ms", "soon"}, Case{"X-Deadline-Ms", "-1"}}) {
      http::Headers invalid = ClientHeaders();
      for (http::Header& header : invalid) {
        if (header.name == bad.name) {
          header.value = bad.value;
        }
      }
      const auto refused = dialect.ReadRequest(Request("GET", "/x/1", "", invalid));
      CPPUNIT_ASSERT_MESSAGE(bad.name, !refused.ok());
      CPPUNIT_ASSERT_EQUAL(400, dialect.WriteRefusal(refused.status()).status);
    }
  }

  void IdentityCoversContentAndCaller() {
    const GatewayDialect dialect;
    const auto name = [&dialect](const std::string& path, const std::string& body,
                                 const http::Header& header) {
      http::Headers headers = ClientHeaders();
      headers.push_back(header);
      return dialect.ReadRequest(Request("POST", path, body, headers))->identity;
    };
    const http::Header caller{"Authorization", "Bearer a"};
    const RequestIdentity identity = name("/x/1?q=2", "body", caller);
    CPPUNIT_ASSERT(identity.known());
    CPPUNIT_ASSERT(identity != name("/x/1?q=3", "body", caller));
    CPPUNIT_ASSERT(identity != name("/x/1?q=2", "other", caller));
    CPPUNIT_ASSERT(identity != name("/x/1?q=2", "body", {"Authorization", "Bearer b"}));
    // Another attempt at the same request has the same identity.
    http::Headers again = ClientHeaders();
    again.push_back(caller);
    for (http::Header& header : again) {
      const bool differs = header.name == "X-Request-Id" || header.name == "X-Deadline-Ms";
      header.value = differs ? "77" : header.value;
    }
    again.push_back({"Traceparent", "00-1"});
    CPPUNIT_ASSERT(identity ==
                   dialect.ReadRequest(Request("POST", "/x/1?q=2", "body", again))->identity);
  }

  void LeafRequestCarriesRequiredHeaders() {
    const GatewayDialect dialect;
    auto request = std::make_shared<gateway::PayloadRequest>(
        *dialect.ReadRequest(Request("POST", "/x/1", "body", ClientHeaders())));
    gateway::LeafSend send{
        SubRequestId{1}, "i-7", "10.0.0.1:80", request, Milliseconds(640), true, 2, true,
        ShardId{0}};
    const http::ClientRequest call = dialect.WriteLeafRequest(send);
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), call.method);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), call.body_text());
    CPPUNIT_ASSERT_EQUAL(std::string("X-Deadline-Ms"), call.budget_header);
    CPPUNIT_ASSERT(call.budget == Milliseconds(640));
    CPPUNIT_ASSERT_EQUAL(std::string("i-7"), Value(call.headers, "X-Expect-Instance"));
    const std::string head = *call.shared_head;
    CPPUNIT_ASSERT_EQUAL(size_t{0}, head.find("POST /x/1 HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(head.find("\r\nX-Request-Id: 9c41\r\n") != std::string::npos);
    CPPUNIT_ASSERT(head.find("\r\nHost: desk.example\r\n") != std::string::npos);
    CPPUNIT_ASSERT(head.find("X-Deadline-Ms") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("X-Request-Id"), call.echoed_header);
    CPPUNIT_ASSERT_EQUAL(std::string("9c41"), call.expected_echo);
    CPPUNIT_ASSERT(!call.separate_tries);
    send.repeatable = false;
    CPPUNIT_ASSERT(dialect.WriteLeafRequest(send).separate_tries);
  }

  /// Guards against work that may run once being sent again because of a refusal that may belong to
  /// another request.
  void RefusalsOfOthersProveNothing() {
    using query::LeafStatus;
    const GatewayDialect dialect;
    const gateway::LeafSend once{SubRequestId{1}, "i-7", "", nullptr, {}, false, 1, {}};
    const gateway::LeafSend repeatable{SubRequestId{1}, "i-7", "", nullptr, {}, true, 1, {}};
    for (const int status : {421, 429, 503}) {
      http::ClientResponse response;
      response.status = status;
      response.headers = {{"X-Not-Executed", "1"}};
      CPPUNIT_ASSERT(dialect.ReadLeafReply(once, response).status == LeafStatus::kFailed);
      CPPUNIT_ASSERT(dialect.ReadLeafReply(repeatable, response).status != LeafStatus::kFailed);
      response.attributed = true;
      CPPUNIT_ASSERT(dialect.ReadLeafReply(once, response).status != LeafStatus::kFailed);
    }
  }

  void LeafRepliesAreClassified() {
    using query::LeafStatus;
    struct Case {
      const char* what;
      int status;
      http::Headers headers;
      bool not_sent;
      LeafStatus expected;
      bool has_payload;
    };
    const http::Header signature{"X-Server-Stamp", "3e1b.07"};
    const Case cases[] = {
        {"served", 200, {signature}, false, LeafStatus::kOk, true},
        {"served without signature", 200, {}, false, LeafStatus::kFailed, false},
        {"own failure", 500, {signature}, false, LeafStatus::kFailed, true},
        {"its deadline", 504, {signature}, false, LeafStatus::kFailed, true},
        {"full", 503, {{"X-Not-Executed", "1"}}, false, LeafStatus::kShed, false},
        {"shed", 429, {{"X-Not-Executed", "1"}}, false, LeafStatus::kShed, false},
        {"failure without signature", 503, {}, false, LeafStatus::kFailed, false},
        {"another leaf", 421, {{"X-Instance-Id", "i-8"}}, false, LeafStatus::kDraining, false},
        {"connection broke", 0, {}, false, LeafStatus::kFailed, false},
        {"never connected", 0, {}, true, LeafStatus::kNotSent, false},
    };
    const GatewayDialect dialect;
    for (const Case& item : cases) {
      http::ClientResponse response;
      response.status = item.status;
      response.headers = item.headers;
      response.headers.push_back({"X-Server-Load", "3,1,8"});
      response.headers.push_back({"Content-Length", "0"});
      response.not_sent = item.not_sent;
      const query::LeafReply reply =
          dialect.ReadLeafReply({SubRequestId{1}, "i-7", "", nullptr, {}, true, 1, {}}, response);
      CPPUNIT_ASSERT_MESSAGE(item.what, reply.status == item.expected);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.has_payload, reply.payload != nullptr);
      CPPUNIT_ASSERT_EQUAL(4U, reply.load);
      if (reply.payload != nullptr) {
        CPPUNIT_ASSERT_EQUAL(std::string("(none)"),
                             Value(reply.payload->headers, "Content-Length"));
      }
    }
  }

  void AnswersAreWritten() {
    using query::RunState;
    struct Case {
      ResultCode code;
      RunState run;
      int status;
    };
    const Case cases[] = {
        {ResultCode::kNotReady, RunState::kNotRun, 503},
        {ResultCode::kOverloaded, RunState::kNotRun, 503},
        {ResultCode::kCoverageNotReached, RunState::kNotRun, 503},
        {ResultCode::kCoverageNotReached, RunState::kUnknown, 504},
        {ResultCode::kDeadlineExceeded, RunState::kRan, 504},
        {ResultCode::kOutcomeUnknown, RunState::kUnknown, 504},
        {ResultCode::kUnknownPath, RunState::kNotRun, 404},
    };
    const GatewayDialect dialect;
    gateway::GatewayAnswer answer;
    auto request = std::make_shared<gateway::PayloadRequest>();
    request->request_id = "9c41";
    answer.request = request;
    answer.retry_after = Milliseconds(250);
    for (const Case& item : cases) {
      answer.code = item.code;
      answer.run = item.run;
      const http::HttpResponse response = dialect.WriteAnswer(answer);
      CPPUNIT_ASSERT_EQUAL(item.status, response.status);
      CPPUNIT_ASSERT_EQUAL(std::string("0.250"), Value(response.headers, "Retry-After"));
      CPPUNIT_ASSERT_EQUAL(std::string("9c41"), Value(response.headers, "X-Request-Id"));
    }
    answer.gathered = true;
    answer.signatures = {"s1", "s2"};
    answer.missing_shards = 1;
    answer.records = "0123456789abcdef";
    const http::HttpResponse gathered = dialect.WriteAnswer(answer);
    CPPUNIT_ASSERT_EQUAL(200, gathered.status);
    CPPUNIT_ASSERT_EQUAL(std::string("s1, s2"), Value(gathered.headers, "X-Part-Stamps"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Value(gathered.headers, "X-Missing-Parts"));
    auto payload = std::make_shared<query::LeafPayload>();
    payload->status = 500;
    payload->headers = {{"X-Server-Stamp", "own"}};
    payload->body = "as it is";
    answer.payload = payload;
    const http::HttpResponse passed = dialect.WriteAnswer(answer);
    CPPUNIT_ASSERT_EQUAL(500, passed.status);
    CPPUNIT_ASSERT_EQUAL(std::string("own"), Value(passed.headers, "X-Server-Stamp"));
    CPPUNIT_ASSERT(passed.content_type.empty());
  }

  void CommandsAreRead() {
    const ControlDialect dialect;
    const auto put = dialect.ReadCommand(Request("POST", "/v1/config/put", Document().dump()));
    CPPUNIT_ASSERT(put.ok());
    const auto& document = std::get<control::PutDocument>(*put).document;
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, document.version);
    CPPUNIT_ASSERT_EQUAL(Document().dump(), document.text);
    CPPUNIT_ASSERT(std::holds_alternative<control::GetDocument>(
        *dialect.ReadCommand(Request("GET", "/v1/config/get"))));
    const auto find = dialect.ReadCommand(Request("GET", "/v1/resolve?name=a&region=r&zone=north"));
    CPPUNIT_ASSERT_EQUAL(std::string("north"), std::get<control::FindGateways>(*find).client.zone);
    const auto leave = dialect.ReadCommand(Request("POST", "/v1/instances/i-7/deregister"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-7"), std::get<control::RetireLeaf>(*leave).leaf);
    const auto start = dialect.ReadCommand(Request("POST", "/v1/evacuate/hall-1/start"));
    CPPUNIT_ASSERT_EQUAL(std::string("hall-1"), std::get<control::SetZoneEvacuation>(*start).zone);
    CPPUNIT_ASSERT(std::get<control::SetZoneEvacuation>(*start).evacuated);
    const auto stop = dialect.ReadCommand(Request("POST", "/v1/evacuate/hall-1/stop"));
    CPPUNIT_ASSERT(!std::get<control::SetZoneEvacuation>(*stop).evacuated);
    const auto heartbeat = dialect.ReadCommand(
        Request("POST", "/v1/instances/i-7/heartbeat",
                R"({"backend":"s1","address":"10.0.0.9:80","zone":"north","version":"v1","slots":2,
                    "state":"draining","cold_left_ms":30,"seq":4})"));
    CPPUNIT_ASSERT(heartbeat.ok());
    const registry::LeafReport& report = std::get<control::ReportLeaf>(*heartbeat).report;
    CPPUNIT_ASSERT_EQUAL(std::string("i-7"), report.record.leaf);
    CPPUNIT_ASSERT(report.record.draining);
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, report.sequence);
    CPPUNIT_ASSERT_EQUAL(2U, report.record.slots);
  }

  void BadCommandsAreRefused() {
    struct Case {
      const char* method;
      const char* target;
      const char* body;
      int status;
    };
    const Case cases[] = {
        {"GET", "/v1/nothing", "", 404},
        {"GET", "/v1/config/put", "", 404},
        {"POST", "/v1/instances/i-7/dance", "", 404},
        {"GET", "/v1/evacuate/hall-1/start", "", 404},
        {"POST", "/v1/evacuate/hall-1", "", 404},
        {"POST", "/v1/evacuate/hall-1/pause", "", 404},
        {"POST", "/v1/evacuate/a/b/start", "", 404},
        {"POST", "/v1/evacuate//start", "", 400},
        {"POST", "/v1/evacuate/\xff\xfe/start", "", 400},
        {"POST", "/v1/evacuate/hall 1/start", "", 400},
        {"POST", "/v1/instances/i-7/heartbeat", "", 400},
        {"POST", "/v1/instances/i-7/heartbeat", "[]", 400},
        {"POST", "/v1/instances/i-7/heartbeat", R"({"backend":"s1","seq":1})", 400},
        {"POST", "/v1/instances/i-7/heartbeat",
         R"({"backend":"s1","address":"10.0.0.9:80","seq":"x"})", 400},
        {"POST", "/v1/instances/i-7/heartbeat",
         R"({"backend":"s1","address":"10.0.0.9:80","seq":1,"state":"odd"})", 400},
    };
    const ControlDialect dialect;
    for (const Case& item : cases) {
      const auto command = dialect.ReadCommand(Request(item.method, item.target, item.body));
      CPPUNIT_ASSERT_MESSAGE(item.target, !command.ok());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.target, item.status,
                                   dialect.WriteRefusal(command.status()).status);
    }
  }

  void ControlAnswersAreWritten() {
    const ControlDialect dialect;
    const http::HttpResponse gateways =
        dialect.WriteGateways({"10.0.0.1:80", "10.0.0.2:80"}, Milliseconds(2500));
    const Json json = Json::parse(gateways.body);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, json["addrs"].size());
    CPPUNIT_ASSERT_EQUAL(2.5, json["ttl_s"].get<double>());
    CPPUNIT_ASSERT_EQUAL(std::string("as put"), dialect.WriteDocument({7, "as put"}).body);
    CPPUNIT_ASSERT_EQUAL(503,
                         dialect.WriteRefusal(MakeStatus(ResultCode::kNoQuorum, "nobody")).status);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DialectTest);

}  // namespace pumicedyke::platform
