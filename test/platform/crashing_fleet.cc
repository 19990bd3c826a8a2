#include "platform/crashing_fleet.h"

#include <cppunit/TestAssert.h>

#include <numeric>
#include <thread>

#include "common/json.h"

namespace pumicedyke::platform {
namespace {

constexpr char kCallerHeader[] = "Authorization";
constexpr char kAttemptHeader[] = "X-Request-Id";

Json Route(const std::string& name, const std::string& prefix) {
  return {{"name", name},         {"host", "desk.example"}, {"path_prefix", prefix},
          {"type", "idempotent"}, {"timeout_ms", 1000},     {"slo_ms", 100},
          {"priority", 1},        {"max_attempts", 2}};
}

std::string ServiceName(int shard) { return "s" + std::to_string(shard); }

std::string Document(int shards) {
  Json all = Route("all", "/all/");
  all.update({{"top_k", 1}, {"min_coverage", 0.5}});
  Json one = Route("one", "/one/");
  one["backend"] = ServiceName(0);
  Json services = Json::array();
  for (int i = 0; i < shards; ++i) {
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

/// Name of a gateway's process; the first one is started by the fleet.
std::string GatewayName(size_t index) {
  return index == 0 ? "gateway" : "gateway" + std::to_string(index + 2);
}

}  // namespace

CrashingFleet::CrashingFleet(const CrashingFleetOptions& options) : options_(options) {
  gateways_ = {fleet_.gateway_address()};
  for (size_t i = 1; i < options_.gateways; ++i) {
    gateways_.push_back(fleet_.StartAdditionalGateway(GatewayName(i)));
  }
  for (int i = 0; i < options_.shards * options_.replicas; ++i) {
    leafs_.push_back(std::make_unique<CrashingLeaf>(
        "leaf" + std::to_string(i), ServiceName(i % options_.shards),
        [this](const http::HttpRequest& request) { return CrashesLeafs(request); }));
  }
  CPPUNIT_ASSERT_EQUAL(200, fleet_.Put(Document(options_.shards)));
  for (const std::string& gateway : gateways_) {
    WaitForAllShards(gateway);
  }
}

bool CrashingFleet::CrashesLeafs(const http::HttpRequest& request) {
  if (request.path.starts_with(kCrashPath)) {
    return true;
  }
  const std::string* caller = http::FindHeader(request.headers, kCallerHeader);
  const bool fatal_path = request.path.find("fatal") != std::string::npos;
  const bool fatal = fatal_path && caller != nullptr && *caller == kFatalCaller;
  if (fatal) {
    const std::lock_guard lock(mutex_);
    fatal_attempts_.insert(*http::FindHeader(request.headers, kAttemptHeader));
  }
  return fatal;
}

void CrashingFleet::SendHeartbeats() {
  for (const auto& leaf : leafs_) {
    leaf->SendHeartbeat(fleet_.ServiceAddress(0));
  }
}

void CrashingFleet::WaitForAllShards(const std::string& gateway) {
  e2e::WaitFor("all shards at " + gateway, [&] {
    SendHeartbeats();
    const http::ClientResponse response = SendRequestAs(kUsualCaller, gateway, "/all/usual");
    const std::string* missing = http::FindHeader(response.headers, "X-Missing-Parts");
    return response.status == 200 && missing != nullptr && *missing == "0";
  });
}

http::ClientResponse CrashingFleet::SendRequestAs(const std::string& caller,
                                                  const std::string& gateway,
                                                  const std::string& path) {
  return fleet_.SendRequestTo(gateway, path, {{kCallerHeader, caller}});
}

http::ClientResponse CrashingFleet::SendFatalRequest(const std::string& gateway,
                                                     const std::string& path) {
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

void CrashingFleet::SendFatalRequestToAll(const std::vector<std::string>& gateways,
                                          const std::string& path) {
  std::vector<std::thread> callers;
  callers.reserve(gateways.size());
  for (const std::string& gateway : gateways) {
    callers.emplace_back([this, gateway, path] { SendRequestAs(kFatalCaller, gateway, path); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
}

void CrashingFleet::WaitUntilAllSuspect() const {
  for (size_t i = 0; i < gateways_.size(); ++i) {
    const std::string& metrics = fleet_.MetricsAddressOf(GatewayName(i));
    e2e::WaitFor(GatewayName(i) + " to know the suspect", [&metrics] {
      return e2e::Metric(metrics, "pumicedyke_gateway_suspects").value_or(0) > 0;
    });
  }
}

void CrashingFleet::RestartAllControl() {
  for (int i = 0; i < PlatformFleet::kControls; ++i) {
    fleet_.processes.at("c" + std::to_string(i))->Kill();
  }
  for (int i = 0; i < PlatformFleet::kControls; ++i) {
    fleet_.StartControl(i, /*bootstrap=*/false);
  }
}

void CrashingFleet::RestartGateway(size_t index) {
  const std::string name = GatewayName(index);
  fleet_.processes.at(name)->Kill();
  fleet_.RestartGateway(name);
  WaitForAllShards(gateways_[index]);
}

double CrashingFleet::Evidence(int control) const {
  return e2e::Metric(fleet_.OperatorAddress(control), "pumicedyke_control_ended_leafs").value();
}

double CrashingFleet::Suspects(int control) const {
  return e2e::Metric(fleet_.OperatorAddress(control), "pumicedyke_control_suspects").value_or(0);
}

double CrashingFleet::PendingReports() const {
  return e2e::Metric(fleet_.metrics_address(), "pumicedyke_run_reports_pending").value();
}

int CrashingFleet::Crashes() const {
  return std::accumulate(leafs_.begin(), leafs_.end(), 0,
                         [](int sum, const auto& leaf) { return sum + leaf->crashes(); });
}

size_t CrashingFleet::FatalAttempts() const {
  const std::lock_guard lock(mutex_);
  return fatal_attempts_.size();
}

bool IsQuarantined(const http::ClientResponse& response) {
  return response.status == 503 && response.body.find("quarantined") != std::string::npos &&
         http::FindHeader(response.headers, "Retry-After") != nullptr;
}

}  // namespace pumicedyke::platform
