// A simulated cluster: three control machines or more, two nodes, leafs, the platform's list and
// the network between them. Actors and the nemesis act on it; History records what shows outside.
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

/// A service of repeatable reads, and one of work that must not run twice.
inline constexpr char kReadService[] = "desk";
inline constexpr char kJobService[] = "reprint";

inline constexpr size_t kFounders = 3;
/// A query that begins so ends every leaf that begins to run it.
inline constexpr char kFatalQuery[] = "fatal";

struct WorldOptions {
  uint64_t seed = 1;
  DisabledMechanisms disabled;
  /// Leafs straggle, pause, shed and sometimes answer on another snapshot than they were asked for.
  bool nasty_leafs = false;
  /// Control machines; only `kFounders` of them found the cluster and are known to the others.
  size_t control_machines = kFounders;
};

/// What follows it in a query tells two attempts apart, for the checkers; the request is the same.
inline constexpr char kAttemptMark = '#';
/// What names a request in the simulator: a caller has no name of its own there.
RequestIdentity IdentityOf(const query::CallerRequest& request);

class World {
 public:
  explicit World(const WorldOptions& options);

  /// Starts every process and creates the services; returns once they are in force.
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
  /// Sends a caller's request to a node. @return false if the node does not accept connections.
  bool Ask(size_t node, const query::CallerRequest& request, AnswerCb on_answer);

  // For operators. The callback comes at most once; nothing comes if a message is lost.
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
  enum class LeaveBy { kConfig, kPlatform, kOwnWord };
  void MakeLeafLeave(const std::string& name, LeaveBy how);
  void LeafStays(const std::string& name);
  /// Publishes the next snapshot with another partition map; leafs load it early or late.
  void Repartition(const std::string& service);
  std::optional<size_t> LeaderIndex() const;
  void HealEverything();
  bool leaving(const std::string& leaf) const { return leaving_.contains(leaf); }

  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(random); }
  int64_t Between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random);
  }
  bool disabled(std::string_view mechanism) const { return options_.disabled.contains(mechanism); }

  /// Submits until accepted, as a patient operator; for the boot and the final probe.
  void SubmitPatiently(const config::Change& change, const std::function<void()>& done);
  config::Change MakePolicyChange(const std::string& service, const std::string& submission);
  config::Change MakeSnapshotChange(const std::string& service, const std::string& submission);

 private:
  /// Session numbers: a node's life times this, plus the node's index.
  static constexpr uint64_t kSessionsPerLife = 10;

  void MakeControls();
  void MakeNodes();
  void MakeLeafs();
  std::vector<std::string> LeafNames(const std::string& service) const;
  std::vector<config::Shard> PartitionMap(const std::string& service, uint64_t snapshot) const;
  void HoldEverywhere(const std::string& service, uint64_t snapshot);

  void ToLeaf(NodeHost* node, const query::LeafRequest& request);
  /// The leaf ends on account of a request, and comes back.
  void EndLeaf(const query::LeafRequest& request);
  void ReplyToNode(const query::LeafReply& reply);
  void FailPending(const std::string& leaf);
  void ToControl(NodeHost* node, size_t control, const wire::Envelope& envelope);
  void ToSession(const std::string& control, control::SessionId session,
                 const wire::Envelope& envelope);
  /// What a node asks of leafs and of the platform when it starts, and every second.
  void PollLeafsFor(NodeHost* node);
  void PollPlatformFor(NodeHost* node);
  void PollLoop();
  void ObserveNode(NodeHost* node);
  void WatchRedundancy();
  void OnRedundancyReported(const std::string& control);

  WorldOptions options_;
  /// Sub-requests out at leafs: who asked for what.
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
  std::map<std::string, LeaveBy> leaving_;
  std::map<std::string, uint64_t> newest_snapshot_;
  uint64_t policy_markers_ = 0;
  uint64_t losses_ = 0;

 public:
  /// Set while a lost disk has not been reported as replaced.
  bool repair_pending = false;
  uint64_t repairs = 0;
};

}  // namespace pumicedyke::sim
