// A node in the simulator: the product's NodeServer, with simulated connections to leafs and
// control machines.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "node/node_server.h"
#include "server/stop_sequence.h"
#include "sim/mechanisms.h"
#include "sim/sim_process.h"

namespace pumicedyke::sim {

class NodeHost : public SimProcess {
 public:
  struct Callbacks {
    std::function<void(NodeHost*, const query::LeafRequest&)> to_leaf;
    std::function<void(NodeHost*, const query::SubRequestCancel&)> cancel;
    std::function<void(NodeHost*, size_t control, const wire::Envelope&)> to_control;
    std::function<void(NodeHost*, RequestId, const query::Answer&)> to_caller;
    /// Runs after the outputs of each step were sent.
    std::function<void(NodeHost*)> after_step;
  };

  NodeHost(ClockQueue* clock, const std::string& name, node::NodeOptions options,
           const DisabledMechanisms& disabled, Callbacks callbacks);

  void Start();
  void Kill();
  /// Shuts down as the product does on SIGTERM.
  void PlannedStop(std::function<void()> done);
  bool stopping() const { return stopped_ != nullptr; }
  /// Whether callers' requests reach the node. A stopping node refuses them once it has closed its
  /// connections.
  bool accepts() const { return alive() && accepts_; }

  void Ask(RequestId id, const query::CallerRequest& request);
  /// Delivers a reply. Replies to a previous incarnation are delivered, too; the node must
  /// distinguish them by their ids.
  void Reply(const query::LeafReply& reply);
  void Health(const std::string& leaf, bool draining);
  void PlatformLeaving(const std::set<std::string>& leafs);
  void ReceiveFromControl(const wire::Envelope& envelope);
  /// Notifies the node that the control machine with this index closed the connection.
  void ControlClosed(size_t control);

  uint64_t incarnation() const { return incarnation_; }
  node::NodeServer* server() { return server_.get(); }

 private:
  static constexpr Duration kStopGrace = Milliseconds(500);

  void Step();
  /// Whether the planned stop is complete.
  bool MayExit();
  void DispatchOutput();
  void ScheduleTick();

  node::NodeOptions options_;
  DisabledMechanisms disabled_;
  Callbacks callbacks_;
  uint64_t incarnation_ = 0;
  std::unique_ptr<node::NodeServer> server_;
  std::function<void()> stopped_;
  server::StopSequence stop_{server::StopTimes{.grace = kStopGrace}};
  bool accepts_ = true;
  Timestamp next_tick_{};
};

}  // namespace pumicedyke::sim
