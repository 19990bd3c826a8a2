// Tests on real processes that a node or a control machine which is told to stop answers every
// request that it has read before the platform kills it, whatever the others do.
#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
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

class ControlStopLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlStopLimitTest);
  CPPUNIT_TEST(EveryCallIsAnsweredBeforeAStoppingControlMachineIsKilled);
  CPPUNIT_TEST(UnfinishedCallIsRefusedBeforeAStoppingControlMachineIsKilled);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against calls of operators that a stopping control machine still holds when it is
  /// killed: an order and a read that no majority decides. What may be in force later is answered
  /// with a 503.
  void EveryCallIsAnsweredBeforeAStoppingControlMachineIsKilled() {
    // Shorter than the time after which an undecided order is answered anyway.
    constexpr Duration kKillControlAfter = Seconds(2);
    Fleet fleet(
        {.controls = 3, .nodes = 0, .leafs = 0, .control_flags = {"--kill_after_ms", "2000"}});
    const int leader = fleet.WaitForLeader();
    for (int i = 0; i < 3; ++i) {
      if (i != leader) {
        fleet.processes.at(absl::StrCat("c", i))->Pause();
      }
    }
    // A leader that can't know that it was deposed answers reads.
    WaitFor("the end of the lease",
            [&] { return Metric(fleet.OperatorAddress(leader), "pumicedyke_control_leads") == 0; });
    const std::string order = PostRequest(
        "/v1/changes",
        R"({"kind":"put_service","submission_id":"a","service":"desk","leafs":[{"id":"a","address":"10.0.0.1:80","slots":4}]})",
        "");
    std::vector<std::unique_ptr<RawConnection>> calls;
    for (const std::string& call :
         {order, std::string("GET /v1/config HTTP/1.1\r\nHost: h\r\n\r\n")}) {
      calls.push_back(std::make_unique<RawConnection>(fleet.OperatorAddress(leader)));
      calls.back()->SendBytes(call);
    }
    // Once later calls were answered, these have been read.
    for (int i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT(Get(fleet.OperatorAddress(leader), "/metrics").ok());
    }
    auto end = std::async(std::launch::async, StopLikeThePlatform,
                          fleet.processes.at(absl::StrCat("c", leader)).get(), kKillControlAfter);
    for (std::unique_ptr<RawConnection>& call : calls) {
      const std::string response = call->ReadToEnd();
      CPPUNIT_ASSERT_MESSAGE(response, IsWholeResponse(response));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 503, StatusOf(response));
    }
    CPPUNIT_ASSERT(end.get());
  }

  /// Guards against a call that was not read whole and ends without an answer. Whether the machine
  /// ends by itself is not asked: it lingers for the rest of a refused call for longer than is
  /// left.
  void UnfinishedCallIsRefusedBeforeAStoppingControlMachineIsKilled() {
    Fleet fleet(
        {.controls = 1, .nodes = 0, .leafs = 0, .control_flags = {"--kill_after_ms", "2000"}});
    const RawConnection call(fleet.OperatorAddress(0));
    call.SendBytes("POST /v1/changes HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{");
    StopLikeThePlatform(fleet.processes.at("c0").get(), Seconds(2));
    const std::string response = call.ReadToEnd();
    CPPUNIT_ASSERT_MESSAGE(response, IsWholeResponse(response));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 503, StatusOf(response));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ControlStopLimitTest);

}  // namespace pumicedyke::e2e
