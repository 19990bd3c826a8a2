// Tests on real processes that all gateways stop a request that crashes every leaf that runs it,
// and that they stop no other request.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <numeric>
#include <vector>

#include "common/json.h"
#include "platform/crashing_leaf.h"
#include "platform/platform_fleet.h"

namespace pumicedyke::platform {
namespace {

constexpr char kCallerHeader[] = "Authorization";
constexpr char kFatalCaller[] = "Bearer mallory";
constexpr size_t kGateways = 3;
constexpr int kShards = 4;
constexpr int kReplicas = 2;

bool CrashesLeafs(const http::HttpRequest& request) {
  const std::string* caller = http::FindHeader(request.headers, kCallerHeader);
  const bool fatal_path = request.path.find("fatal") != std::string::npos;
  return fatal_path && caller != nullptr && *caller == kFatalCaller;
}

Json Route(const std::string& name, const std::string& prefix) {
  return {{"name", name},         {"host", "desk.example"}, {"path_prefix", prefix},
          {"type", "idempotent"}, {"timeout_ms", 1000},     {"slo_ms", 100},
          {"priority", 1},        {"max_attempts", 2}};
}

std::string ServiceName(int shard) { return "s" + std::to_string(shard); }

std::string Document() {
  Json all = Route("all", "/all/");
  all.update({{"top_k", 1}, {"min_coverage", 0.5}});
  Json one = Route("one", "/one/");
  one["backend"] = ServiceName(0);
  Json services = Json::array();
  for (int i = 0; i < kShards; ++i) {
    all["gather"].push_back(ServiceName(i));
    services.push_back({{"name", ServiceName(i)}, {"health_path", "/healthz"}, {"max_conns", 26}});
  }
  return Json{{"version", 3},
              {"routes", Json::array({all, one})},
              {"backends", services},
              {"limits",
               {{"max_header_bytes", 4096},
                {"max_body_bytes", 1000},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

/// Three gateways with leafs that crash on a fatal request.
class CrashingFleet {
 public:
  CrashingFleet() {
    gateways_ = {fleet_.gateway_address(), fleet_.StartAdditionalGateway("gateway3"),
                 fleet_.StartAdditionalGateway("gateway4")};
    for (int i = 0; i < kShards * kReplicas; ++i) {
      leafs_.push_back(std::make_unique<CrashingLeaf>("leaf" + std::to_string(i),
                                                      ServiceName(i % kShards), CrashesLeafs));
    }
    CPPUNIT_ASSERT_EQUAL(200, fleet_.Put(Document()));
    for (const std::string& gateway : gateways_) {
      WaitForAllShards(gateway);
    }
  }

  void SendHeartbeats() {
    for (const auto& leaf : leafs_) {
      leaf->SendHeartbeat(fleet_.ServiceAddress(0));
    }
  }
  void WaitForAllShards(const std::string& gateway) {
    e2e::WaitFor("all shards at " + gateway, [&] {
      SendHeartbeats();
      const http::ClientResponse response = SendRequestAs("Bearer alice", gateway, "/all/usual");
      const std::string* missing = http::FindHeader(response.headers, "X-Missing-Parts");
      return response.status == 200 && missing != nullptr && *missing == "0";
    });
  }
  http::ClientResponse SendRequestAs(const std::string& caller, const std::string& gateway,
                                     const std::string& path) {
    return fleet_.SendRequestTo(gateway, path, {{kCallerHeader, caller}});
  }
  /// Sends a fatal request. If it crashes leafs, waits until each control machine has evidence of
  /// that.
  http::ClientResponse SendFatalRequest(const std::string& gateway, const std::string& path) {
    const int crashes = Crashes();
    std::vector<double> evidence;
    evidence.reserve(PlatformFleet::kControls);
    for (int i = 0; i < PlatformFleet::kControls; ++i) {
      evidence.push_back(Evidence(i));
    }
    http::ClientResponse response = SendRequestAs(kFatalCaller, gateway, path);
    for (int i = 0; i < PlatformFleet::kControls && Crashes() > crashes; ++i) {
      e2e::WaitFor("evidence of the crash by " + path,
                   [&] { return Evidence(i) > evidence[static_cast<size_t>(i)]; });
    }
    return response;
  }
  /// Number of crashes of leafs that a control machine knows.
  double Evidence(int control) const {
    return e2e::Metric(fleet_.OperatorAddress(control), "pumicedyke_control_ended_leafs").value();
  }
  /// Number of reports of the first gateway that no control machine has acknowledged.
  double PendingReports() const {
    return e2e::Metric(fleet_.metrics_address(), "pumicedyke_run_reports_pending").value();
  }
  int Crashes() const {
    return std::accumulate(leafs_.begin(), leafs_.end(), 0,
                           [](int sum, const auto& leaf) { return sum + leaf->crashes(); });
  }
  const std::vector<std::string>& gateways() const { return gateways_; }

 private:
  PlatformFleet fleet_;
  std::vector<std::string> gateways_;
  std::vector<std::unique_ptr<CrashingLeaf>> leafs_;
};

/// Whether the request was refused by the quarantine rather than for lack of leafs: it was not run,
/// and the answer says when to retry.
bool IsQuarantined(const http::ClientResponse& response) {
  return response.status == 503 && response.body.find("quarantined") != std::string::npos &&
         http::FindHeader(response.headers, "Retry-After") != nullptr;
}

}  // namespace

class FatalRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FatalRequestTest);
  CPPUNIT_TEST(GatherThatCrashesLeafsIsStoppedEverywhere);
  CPPUNIT_TEST(RequestToOneLeafThatCrashesLeafsIsStoppedEverywhere);
  CPPUNIT_TEST(FatalRequestsOneAfterTheOtherAreAllStopped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GatherThatCrashesLeafsIsStoppedEverywhere() { CheckStoppedEverywhere("/all/fatal"); }
  void RequestToOneLeafThatCrashesLeafsIsStoppedEverywhere() {
    CheckStoppedEverywhere("/one/fatal");
  }

  /// Guards against reports of lost runs that no control machine acknowledges: each gateway waited
  /// for its first report to be acknowledged and never told of later fatal requests.
  void FatalRequestsOneAfterTheOtherAreAllStopped() {
    CrashingFleet fleet;
    constexpr int kFatalRequests = 4;
    const std::vector<std::string> gateways(fleet.gateways().begin(), fleet.gateways().begin() + 2);
    for (int i = 0; i < kFatalRequests; ++i) {
      const std::string path = "/all/fatal-" + std::to_string(i);
      size_t turn = 0;
      size_t refused_in_a_row = 0;
      e2e::WaitFor("both gateways to refuse " + path, [&] {
        fleet.SendHeartbeats();
        const std::string& gateway = gateways[turn++ % gateways.size()];
        const bool refused = IsQuarantined(fleet.SendFatalRequest(gateway, path));
        refused_in_a_row = refused ? refused_in_a_row + 1 : 0;
        return refused_in_a_row >= gateways.size();
      });
    }
    e2e::WaitFor("all reports to be acknowledged", [&] { return fleet.PendingReports() == 0; });
    const int crashes = fleet.Crashes();
    for (int i = 0; i < kFatalRequests; ++i) {
      const std::string path = "/all/fatal-" + std::to_string(i);
      for (const std::string& gateway : gateways) {
        CPPUNIT_ASSERT(IsQuarantined(fleet.SendRequestAs(kFatalCaller, gateway, path)));
      }
    }
    CPPUNIT_ASSERT_EQUAL(crashes, fleet.Crashes());
  }

 private:
  static void CheckServed(const http::ClientResponse& response) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 200, response.status);
  }

  static void CheckStoppedEverywhere(const std::string& path) {
    CrashingFleet fleet;
    // The request is repeated at the gateways in turn.
    size_t turn = 0;
    size_t refused_in_a_row = 0;
    e2e::WaitFor("every gateway to refuse the request", [&] {
      fleet.SendHeartbeats();
      const std::string& gateway = fleet.gateways()[turn++ % kGateways];
      const bool refused = IsQuarantined(fleet.SendRequestAs(kFatalCaller, gateway, path));
      refused_in_a_row = refused ? refused_in_a_row + 1 : 0;
      return fleet.Crashes() >= 3 && refused_in_a_row >= 2 * kGateways;
    });
    // Once the leafs have restarted, other requests of the same caller and the same path for other
    // callers are served.
    for (const std::string& gateway : fleet.gateways()) {
      fleet.WaitForAllShards(gateway);
      CheckServed(fleet.SendRequestAs(kFatalCaller, gateway, "/all/usual"));
      CheckServed(fleet.SendRequestAs("Bearer alice", gateway, path));
    }
    const int crashes = fleet.Crashes();
    for (size_t i = 0; i < 4 * kGateways; ++i) {
      const http::ClientResponse answer =
          fleet.SendRequestAs(kFatalCaller, fleet.gateways()[i % kGateways], path);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(answer.status), IsQuarantined(answer));
    }
    CPPUNIT_ASSERT_EQUAL(crashes, fleet.Crashes());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FatalRequestTest);

}  // namespace pumicedyke::platform
