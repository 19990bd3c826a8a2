// Table-driven tests of the contracts of all interfaces: callers, back ends, platform, operators
// and internal ports. Bad input gets a numbered error that names the field, or a closed connection.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "e2e/fleet.h"
#include "e2e/raw_connection.h"
#include "http/http_server.h"
#include "wire/codec.h"

namespace pumicedyke::e2e {
namespace {

constexpr char kPolicy[] =
    "function plan(r)\n"
    "  if r.class == 'job' then return { deadline_ms = 5000, repeatable = false } end\n"
    "  if r.class == 'bad' then error('no such class') end\n"
    "  return { deadline_ms = 5000, coverage = 1, extra_load = 0.3 }\n"
    "end";

struct Case {
  std::string body;
  int code;
  std::string expected_text;
};

/// The fleet of the whole suite; each test restores its state.
Fleet* SharedFleet() {
  static Fleet* fleet = nullptr;
  if (fleet == nullptr) {
    static Fleet the_fleet({.controls = 1, .nodes = 1, .leafs = 2});
    fleet = &the_fleet;
    fleet->StartNode(0);
    fleet->CreateService(kPolicy);
  }
  return fleet;
}

void CheckCases(const std::string& address, const std::string& path,
                const std::vector<Case>& cases) {
  for (const Case& item : cases) {
    const http::ClientResponse response = Post(address, path, item.body);
    const Json json = Json::parse(response.body, nullptr, /*allow_exceptions=*/false);
    CPPUNIT_ASSERT_MESSAGE(item.body + " gives " + response.body, json.is_object());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(item.body + " gives " + response.body, item.code,
                                 json.value("code", -1));
    CPPUNIT_ASSERT_MESSAGE(item.body + " gives " + response.body,
                           json.value("message", "").find(item.expected_text) != std::string::npos);
  }
}

}  // namespace

class ContractTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ContractTest);
  CPPUNIT_TEST(Callers);
  CPPUNIT_TEST(BytesThatAreNoTextEndNoProcess);
  CPPUNIT_TEST(CallersConnections);
  CPPUNIT_TEST(ContinuationStaysOnItsSnapshot);
  CPPUNIT_TEST(DocumentedExamplesMatch);
  CPPUNIT_TEST(Operators);
  CPPUNIT_TEST(OperatorsToken);
  CPPUNIT_TEST(BackEnds);
  CPPUNIT_TEST(Platform);
  CPPUNIT_TEST(InternalPorts);
  CPPUNIT_TEST(EveryProcessHasHealthAndMetrics);
  CPPUNIT_TEST(SettingsAreChecked);
  CPPUNIT_TEST(SettingsFileMayBeNamedByTheEnvironment);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Callers() {
    Fleet& fleet = *SharedFleet();
    const std::string huge(70 * 1024, 'x');
    CheckCases(fleet.NodeAddress(0), "/v1/query",
               {{" ", 100, "body"},
                {"{", 100, "body"},
                {"[]", 100, "body"},
                {R"({"query":"x"})", 100, "'service'"},
                {R"({"service":7,"query":"x"})", 100, "'service'"},
                {R"({"service":"nowhere","query":"x"})", 101, "nowhere"},
                {R"({"service":"desk","query":7})", 100, "'query'"},
                {R"({"service":"desk","query":"x","colour":1})", 100, "'colour'"},
                {R"({"service":"desk","query":"x","deadline_ms":-1})", 102, "'deadline_ms'"},
                {R"({"service":"desk","query":"x","deadline_ms":1e30})", 102, "'deadline_ms'"},
                {R"({"service":"desk","query":"x","deadline_ms":"soon"})", 102, "'deadline_ms'"},
                {R"({"service":"desk","query":"x","shards":[99]})", 100, "'shards'"},
                {R"({"service":"desk","query":"x","shards":[-1]})", 100, "'shards'"},
                {R"({"service":"desk","query":"x","limit":-1})", 100, "'limit'"},
                {R"({"service":"desk","query":"x","continuation":"made up"})", 105, "continuation"},
                {R"({"service":"desk","query":"x","class":"bad"})", 106, "no such class"},
                {R"({"service":"desk","query":"x","class":"job"})", 104, "Idempotency-Key"},
                {R"({"service":"desk","query":")" + huge + "\"}", 100, "'query'"},
                {R"({"service":"desk","query":"x"})", 0, ""}});
    const auto oversized = Post(fleet.NodeAddress(0), "/v1/query", std::string(2 << 20, ' '));
    CPPUNIT_ASSERT_EQUAL(413, oversized.status);
    CPPUNIT_ASSERT_EQUAL(404, Post(fleet.NodeAddress(0), "/v1/other", "{}").status);
    CPPUNIT_ASSERT_EQUAL(404, Get(fleet.NodeAddress(0), "/v1/query").status);
    const std::string long_key(200, 'k');
    CPPUNIT_ASSERT_EQUAL(
        400, Post(fleet.NodeAddress(0), "/v1/query", R"({"service":"desk"})", long_key).status);
  }

  /// Guards against bytes of a caller or an operator that end a node or a control machine.
  void BytesThatAreNoTextEndNoProcess() {
    Fleet& fleet = *SharedFleet();
    const std::string query = R"({"service":"desk","query":"x","class":"job"})";
    const auto refused = Post(fleet.NodeAddress(0), "/v1/query", query, "key-\xff\xfe");
    CPPUNIT_ASSERT_EQUAL(400, refused.status);
    CPPUNIT_ASSERT(refused.body.find("Idempotency-Key") != std::string::npos);
    const std::string zero("\0 left over", 11);
    CPPUNIT_ASSERT_EQUAL(400, Post(fleet.NodeAddress(0), "/v1/query", query + zero, "k1").status);
    const std::string change = R"({"submission_id":"z","kind":"clear_leaving","leaf":"leaf0"})";
    CPPUNIT_ASSERT_EQUAL(400, Post(fleet.OperatorAddress(0), "/v1/changes", change + zero).status);
    for (const auto& [name, process] : fleet.processes) {
      CPPUNIT_ASSERT_MESSAGE(name, !process->HasEnded());
    }
    CPPUNIT_ASSERT_EQUAL(0, fleet.Query(0, Json::parse(query), "key-\u00e4")["code"].get<int>());
  }

  void CallersConnections() {
    Fleet& fleet = *SharedFleet();
    const std::string address = fleet.NodeAddress(0);
    // Slow and half-open clients occupy one connection each and no other resource.
    const RawConnection slow(address);
    slow.SendBytes("POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"serv");
    const RawConnection silent(address);
    const RawConnection garbage(address);
    garbage.SendBytes(std::string("\x00\xff\x13 not http\r\n\r\n", 16));
    garbage.StopSending();
    const RawConnection half_open(address);
    half_open.SendBytes("POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{");
    half_open.StopSending();
    const std::string refusal = garbage.ReadToEnd();
    CPPUNIT_ASSERT(refusal.empty() || refusal.starts_with("HTTP/1.1 400"));
    const std::string half_answer = half_open.ReadToEnd();
    CPPUNIT_ASSERT(half_answer.empty() || half_answer.starts_with("HTTP/1.1 400"));
    CPPUNIT_ASSERT_EQUAL(0,
                         fleet.Query(0, {{"service", "desk"}, {"query", "x"}})["code"].get<int>());
  }

  void ContinuationStaysOnItsSnapshot() {
    Fleet& fleet = *SharedFleet();
    const Json first = fleet.Query(0, {{"service", "desk"}, {"query", "x"}, {"deadline_ms", 1}});
    CPPUNIT_ASSERT_EQUAL(201, first["code"].get<int>());
    const Json rest = fleet.Query(
        0, {{"service", "desk"}, {"query", "x"}, {"continuation", first["continuation"]}});
    CPPUNIT_ASSERT_EQUAL(0, rest["code"].get<int>());
    CPPUNIT_ASSERT_EQUAL(first["snapshot"].get<int>(), rest["snapshot"].get<int>());
    CPPUNIT_ASSERT_EQUAL(first["coverage"]["missing"].size(), rest["coverage"]["included"].size());
  }

  /// docs/CALLERS.md: each request block is followed by a block of fields its answer must have.
  void DocumentedExamplesMatch() {
    Fleet& fleet = *SharedFleet();
    std::ifstream file(std::string(SOURCE_DIR) + "/docs/CALLERS.md");
    const std::string page{std::istreambuf_iterator<char>(file), {}};
    const std::regex example(
        "```http\\nPOST /v1/query\\n(?:Idempotency-Key: ([^\\n]*)\\n)?\\n([^`]*)```\\s*"
        "```json\\n([^`]*)```");
    int tried = 0;
    for (std::sregex_iterator it(page.begin(), page.end(), example), end; it != end; ++it) {
      const Json answer = fleet.Query(0, Json::parse((*it)[2].str()), (*it)[1].str());
      const Json expected = Json::parse((*it)[3].str());
      for (const auto& [field, value] : expected.items()) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat("field ", field, " of ", answer.dump()),
                                     value.dump(), answer.value(field, Json()).dump());
      }
      ++tried;
    }
    CPPUNIT_ASSERT(tried >= 4);
  }

  void Operators() {
    Fleet& fleet = *SharedFleet();
    // Each change needs a submission id of its own.
    int number = 0;
    std::string head;
    const auto next = [&] {
      head = absl::StrCat(R"({"submission_id":"t)", ++number, R"(","kind":)");
      return head;
    };
    CheckCases(
        fleet.OperatorAddress(0), "/v1/changes",
        {{" ", 100, "body"},
         {"[1]", 100, "body"},
         {R"({"kind":"put_policy"})", 301, "'submission_id'"},
         {R"({"submission_id":"t","kind":"explode"})", 301, "'kind'"},
         {next() + R"("put_service","service":"a b"})", 301, "'service'"},
         {next() + R"("put_service","service":"s","leafs":[]})", 301, "'leafs'"},
         {next() + R"("put_service","service":"s","leafs":[{"id":"l","address":"host:1"}]})", 301,
          "'leafs[0].address'"},
         {next() +
              R"("put_service","service":"s","leafs":[{"id":"l","address":"1.2.3.4:5","slots":0}]})",
          301, "'leafs[0].slots'"},
         {next() + R"("put_service","service":"s","leafs":[{"id":"l","address":7}]})", 301,
          "'leafs[0].address'"},
         {next() +
              R"("put_service","service":"s","leafs":[{"id":"l","address":"1.2.3.4:5","zone":7}]})",
          301, "'leafs[0].zone'"},
         {R"({"kind":"put_document","document_version":9,"document":"{"})", 301, "'document'"},
         {next() + R"("publish_snapshot","service":"desk","snapshot":{"id":9,"shards":[]}})", 301,
          "'snapshot.shards'"},
         {next() +
              R"("publish_snapshot","service":"desk","snapshot":{"id":9,"shards":[{"id":1,"replicas":["ghost"]}]}})",
          301, "ghost"},
         {next() +
              R"("publish_snapshot","service":"desk","snapshot":{"id":1,"shards":[{"id":1,"replicas":["leaf0"]}]}})",
          301, "snapshot"},
         {next() + R"("put_policy","service":"desk","policy":"function plan("})", 302, ":1:"},
         {next() + R"("put_policy","service":"nowhere","policy":"function plan(r) return {} end"})",
          306, "nowhere"},
         {next() + R"("mark_leaving","leaf":"ghost"})", 306, "ghost"},
         {next() + R"("put_policy","service":"desk","expected_revision":-3,"policy":""})", 301,
          "'expected_revision'"}});
    const std::string leave = R"({"submission_id":"u","kind":"clear_leaving","leaf":"leaf)";
    CheckCases(fleet.OperatorAddress(0), "/v1/changes",
               {{leave + "0\"}", 0, ""},
                {leave + "0\"}", 0, ""},
                {leave + "1\"}", 301, "'submission_id'"}});
    // The service is unchanged.
    CPPUNIT_ASSERT_EQUAL(0,
                         fleet.Query(0, {{"service", "desk"}, {"query", "x"}})["code"].get<int>());
  }

  void OperatorsToken() {
    const std::string token_file = std::string(BINARY_DIR) + "/contract_test.token";
    std::ofstream(token_file) << "secret\n";
    const std::vector<std::string> flags = {
        "--cluster",     "t",
        "--machine",     "m",
        "--listen",      "127.0.0.1:0",
        "--data_folder", std::string(BINARY_DIR) + "/contract-data",
        "--machines",    "m=127.0.0.1:1"};
    // An operator port that is not on loopback requires a token.
    std::vector<std::string> open_flags = flags;
    open_flags.insert(open_flags.end(), {"--operator_listen", "0.0.0.0:0", "--check_settings"});
    std::string output;
    CPPUNIT_ASSERT(RunProgram("pumicedyke-control", open_flags, &output) != 0);
    CPPUNIT_ASSERT_MESSAGE(output, output.find("operator_token_file") != std::string::npos);
    std::vector<std::string> token_flags = flags;
    token_flags.insert(token_flags.end(),
                       {"--operator_listen", "127.0.0.1:0", "--operator_token_file", token_file});
    const Process control("token", "pumicedyke-control", token_flags, BINARY_DIR);
    const std::string address = control.Address("operator");
    CPPUNIT_ASSERT_EQUAL(401, Get(address, "/v1/status").status);
    http::ClientRequest request;
    request.address = address;
    request.path = "/v1/status";
    request.authorization = "Bearer wrong";
    CPPUNIT_ASSERT_EQUAL(401, http::FetchBlocking(request).status);
    request.authorization = "Bearer secret";
    CPPUNIT_ASSERT_EQUAL(200, http::FetchBlocking(request).status);
    CPPUNIT_ASSERT_EQUAL(200, Get(address, "/healthz").status);
  }

  void BackEnds() {
    Fleet& fleet = *SharedFleet();
    CheckCases(fleet.processes.at("leaf0")->Address("http"), "/v1/search",
               {{" ", 100, ""}, {"{}", 100, ""}, {R"({"id":1,"shard":"one"})", 100, ""}});
    // The stand-in's own interface for tests.
    CheckCases(fleet.processes.at("leaf0")->Address("http"), "/v1/admin",
               {{" ", 100, ""}, {R"({"draining":"yes"})", 100, "'draining'"}});
    // With a back end that gives malformed replies, the shard is missing and may have run.
    const std::string nonsense = fleet.processes.at("platform")->Address("http");
    Json change{{"kind", "put_service"},
                {"service", "odd"},
                {"leafs", {{{"id", "odd0"}, {"address", nonsense}}}}};
    CPPUNIT_ASSERT_EQUAL(0, fleet.Submit(change)["code"].get<int>());
    change = {{"kind", "publish_snapshot"},
              {"service", "odd"},
              {"snapshot", {{"id", 1}, {"shards", {{{"id", 1}, {"replicas", {"odd0"}}}}}}}};
    CPPUNIT_ASSERT_EQUAL(0, fleet.Submit(change)["code"].get<int>());
    // Its health report is malformed too. A node waits some seconds for a report before it sends.
    const Json published =
        fleet.Submit({{"kind", "put_policy"},
                      {"service", "odd"},
                      {"policy", "function plan(r) return {deadline_ms = 9000} end"}});
    CPPUNIT_ASSERT_EQUAL(0, published["code"].get<int>());
    fleet.WaitForVersion(published["version"]);
    const Json answer = fleet.Query(0, {{"service", "odd"}, {"query", "x"}});
    CPPUNIT_ASSERT(answer["code"].get<int>() == 201 || answer["code"].get<int>() == 202);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer["run"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, answer["coverage"]["missing"].size());
    const Json removed = fleet.Submit({{"kind", "remove_service"}, {"service", "odd"}});
    CPPUNIT_ASSERT_EQUAL(0, removed["code"].get<int>());
  }

  void Platform() {
    Fleet& fleet = *SharedFleet();
    const std::string platform = fleet.processes.at("platform")->Address("http");
    CheckCases(platform, "/v1/machines", {{"{}", 100, "'leaving'"}});
    // After an unusable list the last valid one remains in use.
    for (const std::string list : {R"({"leaving":[1,2]})", R"({"leaving":[]})"}) {
      Post(platform, "/v1/machines", list);
      CPPUNIT_ASSERT_EQUAL(
          0, fleet.Query(0, {{"service", "desk"}, {"query", "x"}})["code"].get<int>());
    }
  }

  void InternalPorts() {
    Fleet& fleet = *SharedFleet();
    const std::string control = fleet.control_addresses().at(0);
    const auto frame = [](const std::string& payload) {
      const uint32_t length = htonl(static_cast<uint32_t>(payload.size()));
      return std::string("PMCD") + std::string(reinterpret_cast<const char*>(&length), 4) + payload;
    };
    const std::vector<std::string> malformed = {
        "GET / HTTP/1.1\r\n\r\n", std::string(64, '\0'), std::string("PMCD\xff\xff\xff\xff", 8),
        frame("not a message"),
        frame(wire::Encode(wire::Envelope{"another cluster", 1, wire::NodeHello{}}))};
    for (const std::string& text : malformed) {
      const RawConnection connection(control);
      connection.SendBytes(text);
      connection.ReadToEnd();  // Returns only once the control machine has closed it.
    }
    CPPUNIT_ASSERT_EQUAL(0, fleet.Status(0)["code"].get<int>());
  }

  void EveryProcessHasHealthAndMetrics() {
    Fleet& fleet = *SharedFleet();
    for (const std::string& address : {fleet.NodeAddress(0), fleet.OperatorAddress(0)}) {
      CPPUNIT_ASSERT_EQUAL(200, Get(address, "/healthz").status);
      const std::string metrics = Get(address, "/metrics").body;
      CPPUNIT_ASSERT(metrics.find("# TYPE pumicedyke_config_version gauge") != std::string::npos);
    }
  }

  void SettingsAreChecked() {
    std::string output;
    const std::string file = std::string(BINARY_DIR) + "/contract_test.toml";
    std::ofstream(file) << "cluster = 1\nlisten = \"here\"\nspeed = 3\n";
    const int code =
        RunProgram("pumicedyke-node", {"--settings", file, "--check_settings"}, &output);
    CPPUNIT_ASSERT(code != 0);
    for (const std::string part : {":1: field 'cluster'", ":2: field 'listen'", "'node'",
                                   "'data_folder'", "'control'", ":3: field 'speed'"}) {
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(part, " not in ", output),
                             output.find(part) != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(2, RunProgram("pumicectl", {"no-such-command"}));
    CPPUNIT_ASSERT_EQUAL(2, RunProgram("pumicedyke-sim", {"--scenario", "none"}));
  }

  void SettingsFileMayBeNamedByTheEnvironment() {
    const std::string file = std::string(BINARY_DIR) + "/environment_test.toml";
    std::ofstream(file) << "cluster = \"c\"\nspeed = 3\n";
    ::setenv("PUMICEDYKE_CONFIG", file.c_str(), /*overwrite=*/1);
    for (const char* program : {"pumicedyke-node", "pumicedyke-gateway", "pumicedyke-control"}) {
      std::string output;
      CPPUNIT_ASSERT(RunProgram(program, {"--check_settings"}, &output) != 0);
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(program, ": ", output),
                             output.find(":2: field 'speed'") != std::string::npos);
    }
    ::unsetenv("PUMICEDYKE_CONFIG");
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ContractTest);

}  // namespace pumicedyke::e2e
