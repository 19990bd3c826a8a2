// Tests on real processes that are paused at several moments of their planned stop: a request that
// arrives meanwhile on an open connection is answered.
#include "e2e/paused_stop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <vector>

#include "absl/strings/str_cat.h"
#include "common/json.h"

namespace pumicedyke::e2e {
namespace {

constexpr char kPolicy[] =
    "function plan(r)\n"
    "  if r.class == 'job' then return { deadline_ms = 5000, repeatable = false } end\n"
    "  return { deadline_ms = 5000, coverage = 1, extra_load = 0.3 }\n"
    "end";

std::string QueryRequest(const std::string& query) {
  const std::string body = Json{{"service", "desk"}, {"query", query}}.dump();
  return absl::StrCat("POST /v1/query HTTP/1.1\r\nHost: h\r\nContent-Length: ", body.size(),
                      "\r\n\r\n", body);
}

/// A request that must run at most once.
std::string JobRequest(const std::string& key) {
  const std::string body =
      Json{{"service", "desk"}, {"query", key}, {"class", "job"}, {"shards", {1}}}.dump();
  return absl::StrCat("POST /v1/query HTTP/1.1\r\nHost: h\r\nIdempotency-Key: ", key,
                      "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

}  // namespace

class PausedStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PausedStopTest);
  CPPUNIT_TEST(NodesAnswerWhatArrivesWhileTheyArePaused);
  CPPUNIT_TEST(ControlMachinesAnswerOperators);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a node that exits, once it goes on, before it reads what arrived meanwhile.
  void NodesAnswerWhatArrivesWhileTheyArePaused() {
    // Up to the end of the time in which connections stay open, and around it.
    const std::vector<int> moments_ms = {50, 400, 600, 800, 830, 860, 890, 920, 950, 980};
    Fleet fleet({.controls = 3, .nodes = static_cast<int>(moments_ms.size()), .leafs = 2});
    for (int i = 0; i < fleet.options.nodes; ++i) {
      fleet.StartNode(i);
    }
    fleet.CreateService(kPolicy);
    std::vector<PausedStop> stops;
    for (int i = 0; i < fleet.options.nodes; ++i) {
      PausedStop stop;
      stop.process = fleet.processes.at(absl::StrCat("node", i)).get();
      stop.address = fleet.NodeAddress(i);
      stop.first = QueryRequest("first");
      const bool is_job = i % 3 == 0;
      stop.request = is_job ? JobRequest(absl::StrCat("job-", i)) : QueryRequest("second");
      stop.moment = Milliseconds(moments_ms[static_cast<size_t>(i)]);
      stop.in_pieces = i % 3 == 1;
      stops.push_back(stop);
    }
    const auto outcomes = StopWithPauses(stops);
    CPPUNIT_ASSERT(!outcomes.contains(PausedStopOutcome::kLost));
    CPPUNIT_ASSERT(outcomes.contains(PausedStopOutcome::kAnswered));
    std::map<std::string, int> runs;
    for (int leaf = 0; leaf < 2; ++leaf) {
      const Json answer = fleet.LeafRuns(leaf);
      for (const Json& run : answer["runs"]) {
        ++runs[run["key"].get<std::string>()];
      }
    }
    runs.erase("");
    CPPUNIT_ASSERT(
        std::all_of(runs.begin(), runs.end(), [](const auto& item) { return item.second == 1; }));
  }

  void ControlMachinesAnswerOperators() {
    const std::string request = "GET /v1/status HTTP/1.1\r\nHost: h\r\n\r\n";
    Fleet fleet({.controls = 3, .nodes = 0, .leafs = 0});
    fleet.WaitForLeader();
    std::vector<PausedStop> stops;
    for (int i = 0; i < 3; ++i) {
      // The grace period of control machines is 300 ms.
      const Duration moment = Milliseconds(640 + 60 * i);
      stops.push_back({.process = fleet.processes.at(absl::StrCat("c", i)).get(),
                       .address = fleet.OperatorAddress(i),
                       .first = request,
                       .request = request,
                       .moment = moment});
    }
    const auto outcomes = StopWithPauses(stops);
    CPPUNIT_ASSERT(!outcomes.contains(PausedStopOutcome::kLost));
    CPPUNIT_ASSERT(outcomes.contains(PausedStopOutcome::kAnswered));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PausedStopTest);

}  // namespace pumicedyke::e2e
