// Tests on real processes that a node or a control machine which is told to stop answers every
// request that it has read before the platform kills it, whatever the others do.
#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "common/json.h"
#include "common/result_code.h"
#include "e2e/fleet.h"
#include "e2e/raw_connection.h"
#include "e2e/whole_response.h"

namespace pumicedyke::e2e {
namespace {

/// The platform kills a process this long after it has told it to stop.
constexpr Duration kKillAfter = Seconds(6);
/// The deadlines of requests are longer than that.
constexpr char kPolicy[] =
    "function plan(r)\n"
    "  if r.class == 'job' then return { deadline_ms = 9000, repeatable = false } end\n"
    "  return { deadline_ms = 9000, coverage = 1 }\n"
    "end";

std::string PostRequest(const std::string& path, const std::string& body, const std::string& key) {
  const std::string key_line = key.empty() ? "" : absl::StrCat("Idempotency-Key: ", key, "\r\n");
  return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: h\r\n", key_line,
                      "Content-Length: ", body.size(), "\r\n\r\n", body);
}

std::string QueryRequest() {
  return PostRequest("/v1/query", Json{{"service", "desk"}, {"query", "x"}}.dump(), "");
}

/// A request that must run at most once.
std::string JobRequest(const std::string& key) {
  const Json body = {{"service", "desk"}, {"query", key}, {"class", "job"}, {"shards", {1}}};
  return PostRequest("/v1/query", body.dump(), key);
}

void WaitForInProgress(const Fleet& fleet, int node, int count) {
  WaitFor("requests in progress",
          [&] { return fleet.NodeStatus(node).value("in_progress", 0) == count; });
}

}  // namespace

class NodeStopLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeStopLimitTest);
  CPPUNIT_TEST(EveryRequestIsAnsweredBeforeAStoppingNodeIsKilled);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against requests that a stopping node still holds when it is killed, so that their
  /// connections end without an answer: at a leaf that never answers, or for a ledger that never
  /// does; and against a node that can't end since nobody records an outcome.
  void EveryRequestIsAnsweredBeforeAStoppingNodeIsKilled() {
    Fleet fleet({.controls = 3,
                 .nodes = 2,
                 .leafs = 2,
                 .node_flags = {"--drain_grace_ms", "300", "--kill_after_ms", "6000"}});
    fleet.StartNode(0);
    fleet.StartNode(1);
    fleet.CreateService(kPolicy);
    for (const char* leaf : {"leaf0", "leaf1"}) {
      fleet.processes.at(leaf)->Pause();
    }
    const RawConnection query(fleet.NodeAddress(0));
    query.SendBytes(QueryRequest());
    const RawConnection job(fleet.NodeAddress(0));
    job.SendBytes(JobRequest("granted"));
    WaitFor("a claim", [&] {
      return Metric(fleet.OperatorAddress(fleet.WaitForLeader()),
                    "pumicedyke_control_ledger_entries") == 1;
    });
    WaitForInProgress(fleet, 0, 2);
    for (const char* control : {"c0", "c1", "c2"}) {
      fleet.processes.at(control)->Pause();
    }
    const RawConnection claim(fleet.NodeAddress(1));
    claim.SendBytes(JobRequest("without-verdict"));
    WaitForInProgress(fleet, 1, 1);
    auto first_end = std::async(std::launch::async, StopLikeThePlatform,
                                fleet.processes.at("node0").get(), kKillAfter);
    auto second_end = std::async(std::launch::async, StopLikeThePlatform,
                                 fleet.processes.at("node1").get(), kKillAfter);
    const bool first_ended = first_end.get();
    const bool second_ended = second_end.get();
    ExpectAnswer(query, absl::StrCat("\"code\":", static_cast<int>(ResultCode::kShuttingDown)));
    ExpectAnswer(job, "\"run\":\"unknown\"");
    ExpectAnswer(claim, "\"run\":\"unknown\"");
    CPPUNIT_ASSERT(first_ended);
    CPPUNIT_ASSERT(second_ended);
  }

 private:
  static void ExpectAnswer(const RawConnection& connection, const std::string& part) {
    const std::string response = connection.ReadToEnd();
    CPPUNIT_ASSERT_MESSAGE(response, IsWholeResponse(response));
    CPPUNIT_ASSERT_MESSAGE(response, response.find(part) != std::string::npos);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeStopLimitTest);

}  // namespace pumicedyke::e2e
