// Tests on real processes that a node stops requests that crash every leaf that runs them.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "absl/strings/str_cat.h"
#include "common/json.h"
#include "common/result_code.h"
#include "e2e/crashing_server.h"
#include "e2e/fleet.h"
#include "query/messages.h"

namespace pumicedyke::e2e {
namespace {

constexpr char kPolicy[] =
    "function plan(r) return { deadline_ms = 2000, coverage = 1, extra_load = 0.5 } end";
constexpr int kLeafs = 3;

/// Serves the leaf's part of the protocol; crashes at queries that begin with "fatal".
std::optional<http::HttpResponse> Handle(const http::HttpRequest& request) {
  if (request.path == "/v1/health") {
    return http::HttpResponse{200, Json{{"draining", false}, {"load", 0}}.dump()};
  }
  const absl::StatusOr<query::LeafRequest> parsed = query::LeafRequestFromJson(request.body);
  if (!parsed.ok()) {
    return http::HttpResponse{200, "{}"};
  }
  if (parsed->query.starts_with("fatal")) {
    return std::nullopt;
  }
  query::LeafReply reply;
  reply.origin = parsed->origin;
  reply.id = parsed->id;
  reply.leaf = parsed->leaf;
  reply.shard = parsed->shard;
  reply.snapshot = parsed->snapshot;
  reply.status = query::LeafStatus::kOk;
  return http::HttpResponse{200, query::LeafReplyToJson(reply).dump()};
}

/// A node with one shard on leafs that crash.
class CrashingFleet {
 public:
  CrashingFleet() : fleet_({.controls = 3, .nodes = 1, .leafs = 0}) {
    fleet_.StartNode(0);
    Json leafs = Json::array();
    Json replicas = Json::array();
    for (int i = 0; i < kLeafs; ++i) {
      leafs_.push_back(std::make_unique<CrashingServer>(Handle));
      const std::string name = absl::StrCat("crashing", i);
      leafs.push_back({{"id", name}, {"address", leafs_.back()->address()}, {"slots", 8}});
      replicas.push_back(name);
    }
    fleet_.Submit({{"kind", "put_service"}, {"service", "desk"}, {"leafs", leafs}});
    const Json shard{{"id", 1}, {"replicas", replicas}};
    fleet_.Submit({{"kind", "publish_snapshot"},
                   {"service", "desk"},
                   {"snapshot", {{"id", 1}, {"shards", Json::array({shard})}}}});
    const Json last =
        fleet_.Submit({{"kind", "put_policy"}, {"service", "desk"}, {"policy", kPolicy}});
    CPPUNIT_ASSERT_EQUAL_MESSAGE(last.dump(), 0, last["code"].get<int>());
    fleet_.WaitForVersion(last["version"].get<uint64_t>());
    WaitFor("the node to serve", [this] { return SendQuery("usual") == ResultCode::kOk; });
  }

  ResultCode SendQuery(const std::string& query) const {
    const Json answer = fleet_.Query(0, {{"service", "desk"}, {"query", query}});
    return static_cast<ResultCode>(answer.value("code", -1));
  }
  /// Number of the node's reports that no control machine has acknowledged.
  double PendingReports() const {
    return Metric(fleet_.NodeAddress(0), "pumicedyke_run_reports_pending").value();
  }
  int Crashes() const {
    int crashes = 0;
    for (const auto& leaf : leafs_) {
      crashes += leaf->crashes();
    }
    return crashes;
  }

 private:
  Fleet fleet_;
  std::vector<std::unique_ptr<CrashingServer>> leafs_;
};

}  // namespace

class NodeFatalRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeFatalRequestTest);
  CPPUNIT_TEST(FatalQueriesOneAfterTheOtherAreAllStopped);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against reports of lost runs that no control machine acknowledges: the node waited for
  /// its first report to be acknowledged and never told of later ones.
  void FatalQueriesOneAfterTheOtherAreAllStopped() {
    const CrashingFleet fleet;
    constexpr int kFatalQueries = 2;
    for (int i = 0; i < kFatalQueries; ++i) {
      const std::string query = absl::StrCat("fatal-", i);
      WaitFor(query + " to be stopped",
              [&] { return fleet.SendQuery(query) == ResultCode::kQuarantined; });
    }
    WaitFor("all reports to be acknowledged", [&] { return fleet.PendingReports() == 0; });
    const int crashes = fleet.Crashes();
    for (int i = 0; i < kFatalQueries; ++i) {
      CPPUNIT_ASSERT(fleet.SendQuery(absl::StrCat("fatal-", i)) == ResultCode::kQuarantined);
    }
    CPPUNIT_ASSERT_EQUAL(crashes, fleet.Crashes());
    WaitFor("other queries to be served",
            [&] { return fleet.SendQuery("usual") == ResultCode::kOk; });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NodeFatalRequestTest);

}  // namespace pumicedyke::e2e
