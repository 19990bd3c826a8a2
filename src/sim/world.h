// A simulated cluster: three control machines or more, two nodes, leafs, the platform's list and
// the network between them. Actors and the nemesis act on it; History records its externally
// visible events.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "sim/clock_queue.h"
#include "sim/control_host.h"
#include "sim/history.h"
#include "sim/leaf_host.h"
#include "sim/mechanisms.h"
#include "sim/node_host.h"
#include "sim/sim_network.h"

namespace pumicedyke::sim {

/// A service of repeatable reads, and one of jobs that must run at most once.
inline constexpr char kReadService[] = "desk";
inline constexpr char kJobService[] = "reprint";

inline constexpr size_t kFounders = 3;
/// A query with this prefix crashes every leaf that starts to run it.
inline constexpr char kFatalQuery[] = "fatal";

struct WorldOptions {
  uint64_t seed = 1;
  DisabledMechanisms disabled;
  /// Leafs straggle and pause often, and sometimes answer on another snapshot than requested.
  bool faulty_leafs = false;
  /// Number of control machines; only the first `kFounders` found the cluster and are configured as
  /// seeds on the others.
  size_t control_machines = kFounders;
};

/// Separates a query from an attempt number, by which the checks distinguish attempts. The attempt
/// number is not part of the request's identity.
inline constexpr char kAttemptMarker = '#';
/// Returns the identity of a request without its attempt number; the caller is not part of it.
RequestIdentity IdentityOf(const query::CallerRequest& request);

class World {
 public:
  explicit World(const WorldOptions& options);

  /// Starts every process and creates the services; returns once the changes were accepted and the
  /// nodes had time to apply them.
  void Boot();
  void RunUntil(Timestamp end);

  ClockQueue clock;
  SimNetwork network;
  History history;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<ControlHost>> controls;
  std::vector<std::unique_ptr<NodeHost>> nodes;
  std::map<std::string, std::unique_ptr<LeafHost>> leafs;

  // For callers.
  using AnswerCb = std::function<void(const query::Answer&)>;
  /// Sends a caller's request to a node. @return false if the node is down.
  bool Ask(size_t node, const query::CallerRequest& request, AnswerCb on_answer);

  // For operators. The callback runs once for each result that arrives, never if a message is lost.
  using ResultCb = std::function<void(const config::ChangeResult&)>;
  void Submit(const std::string& from, size_t control, const config::Change& change,
              ResultCb on_result);
  using VersionCb = std::function<void(const config::ConfigState&)>;
  void ReadConfig(const std::string& from, size_t control, VersionCb on_read);

  // Faults.
  void KillControl(size_t index);
  void LoseDisk(size_t index);
  void StartControl(size_t index);
  void PlannedStopControl(size_t index);
  void KillNode(size_t index);
  void StartNode(size_t index);
  void PlannedStopNode(size_t index);
  void KillLeaf(const std::string& name);
  void StartLeaf(const std::string& name);
  enum class LeaveMethod { kConfig, kPlatform, kHealthReport };
  void MakeLeafLeave(const std::string& name, LeaveMethod how);
  void CancelLeafLeaving(const std::string& name);
  /// Publishes the next snapshot with another partition map; leafs load it before or after that.
  void Repartition(const std::string& service);
  std::optional<size_t> LeaderIndex() const;
  void HealEverything();
  bool leaving(const std::string& leaf) const { return leaving_.contains(leaf); }

  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random); }
  int64_t Between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random);
  }
  bool disabled(std::string_view mechanism) const { return options_.disabled.contains(mechanism); }

  /// Resubmits until a definite result arrives, and runs `done` if the change was accepted.
  void SubmitUntilDecided(const config::Change& change, const std::function<void()>& done);
  config::Change MakePolicyChange(const std::string& service, const std::string& submission);
  config::Change MakeSnapshotChange(const std::string& service, const std::string& submission);

 private:
  /// A session number is the node's incarnation times this, plus the node's index.
  static constexpr uint64_t kSessionsPerIncarnation = 10;
  /// Session of all messages between control machines; incarnations count from 1.
  static constexpr control::SessionId kPeerSession = 0;

  void MakeControls();
  void MakeNodes();
  void MakeLeafs();
  std::vector<std::string> LeafNames(const std::string& service) const;
  std::vector<config::Shard> PartitionMap(const std::string& service, uint64_t snapshot) const;
  void SetHeldShardsOfLeafs(const std::string& service, uint64_t snapshot);

  void SendToLeaf(NodeHost* node, const query::LeafRequest& request);
  /// Crashes the leaf that a fatal request has reached, and restarts it later.
  void CrashLeaf(const query::LeafRequest& request);
  void ReplyToNode(const query::LeafReply& reply);
  void FailPending(const std::string& leaf);
  void SendToControl(NodeHost* node, size_t control, const wire::Envelope& envelope);
  void SendToSession(const std::string& control, control::SessionId session,
                     const wire::Envelope& envelope);
  // Polls of leafs and of the platform, at a node's start and every second.
  void PollLeafsFor(NodeHost* node);
  void PollPlatformFor(NodeHost* node);
  void PollLoop();
  void ObserveNode(NodeHost* node);
  void WatchRedundancy();
  void OnRedundancyReported(const std::string& control);

  WorldOptions options_;
  /// A sub-request that is in progress at a leaf, and the node that sent it.
  struct Pending {
    NodeHost* node;
    query::LeafRequest request;
  };
  using PendingKey = std::pair<std::string, SubRequestId>;
  std::map<PendingKey, Pending> pending_;
  std::map<uint64_t, AnswerCb> callers_;
  uint64_t next_call_ = 1;
  std::map<control::TicketId, std::function<void(const std::string&)>> operators_;
  control::TicketId next_ticket_ = 1;
  std::map<std::string, LeaveMethod> leaving_;
  std::map<std::string, uint64_t> newest_snapshot_;
  uint64_t policy_markers_ = 0;
  uint64_t losses_ = 0;

 public:
  /// Set from the loss of a disk until full redundancy is reported again.
  bool repair_pending = false;
  uint64_t repairs = 0;
};

}  // namespace pumicedyke::sim
