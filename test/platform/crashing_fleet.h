// Real control machines and gateways with leafs that crash when they run a fatal request.
#pragma once

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "platform/crashing_leaf.h"
#include "platform/platform_fleet.h"

namespace pumicedyke::platform {

/// The caller whose requests for paths with "fatal" in them crash leafs.
inline constexpr char kFatalCaller[] = "Bearer mallory";
inline constexpr char kUsualCaller[] = "Bearer alice";
/// A prefix of paths that crash leafs, whoever sends them.
inline constexpr char kCrashPath[] = "/one/crash-";

struct CrashingFleetOptions {
  size_t gateways = 3;
  int shards = 4;
  int replicas = 2;
};

class CrashingFleet {
 public:
  explicit CrashingFleet(const CrashingFleetOptions& options = {});

  void SendHeartbeats();
  /// Waits until the gateway serves a gather with no shard missing.
  void WaitForAllShards(const std::string& gateway);
  http::ClientResponse SendRequestAs(const std::string& caller, const std::string& gateway,
                                     const std::string& path);
  /// Sends a fatal request. If it crashes leafs, waits until each control machine has evidence of
  /// that.
  http::ClientResponse SendFatalRequest(const std::string& gateway, const std::string& path);
  /// Sends the same fatal request to several gateways at the same moment.
  void SendFatalRequestToAll(const std::vector<std::string>& gateways, const std::string& path);
  /// Waits until each gateway knows a suspect request. Until then a gateway may send it.
  void WaitUntilAllSuspect() const;
  /// Kills all control machines at once and starts them again.
  void RestartAllControl();
  /// Kills a gateway and starts it again at the same address; waits until it serves.
  void RestartGateway(size_t index);

  /// Number of crashes of leafs that a control machine knows.
  double Evidence(int control) const;
  /// Number of requests under suspicion that a control machine knows.
  double Suspects(int control) const;
  /// Number of reports of the first gateway that no control machine has acknowledged.
  double PendingReports() const;
  /// Number of crashes of all leafs.
  int Crashes() const;
  /// Number of attempts of the fatal caller that crashed a leaf.
  size_t FatalAttempts() const;
  const std::vector<std::string>& gateways() const { return gateways_; }

 private:
  /// Runs on the leafs' threads.
  bool CrashesLeafs(const http::HttpRequest& request);

  const CrashingFleetOptions options_;
  PlatformFleet fleet_;
  std::vector<std::string> gateways_;
  mutable std::mutex mutex_;
  /// Ids of the fatal caller's attempts that crashed a leaf.
  std::set<std::string> fatal_attempts_;
  /// Last, because their threads use the other members.
  std::vector<std::unique_ptr<CrashingLeaf>> leafs_;
};

/// Whether the request was refused by the quarantine rather than for lack of leafs: it was not run,
/// and the answer says when to retry.
bool IsQuarantined(const http::ClientResponse& response);

}  // namespace pumicedyke::platform
