// A gateway: takes clients' requests, finds their route, runs each as an execution over the leafs
// of its service or shards, and answers. Follows the configuration and the leafs by word of the
// control machines. No socket, clock or thread: events in, output out.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balance/extra_load_budget.h"
#include "balance/latency_tracker.h"
#include "balance/leaf_pool.h"
#include "gateway/leaf_view.h"
#include "gateway/messages.h"
#include "node/config_subscriber.h"
#include "node/id_source.h"
#include "query/request_execution.h"
#include "routing/route_table.h"

namespace pumicedyke::gateway {

/// Bound of extra sub-requests that all gateways keep together, per service.
struct ExtraLoadBound {
  Duration window = Seconds(10);
  /// Extra sub-requests per request for the service.
  double ratio = 0.1;
  /// Extra sub-requests beyond that, shared by all gateways.
  double allowance = 10;
};

struct GatewayKnobs {
  balance::BalanceKnobs balance{.remote_penalty = 30, .max_limit_per_slot = 1.0};
  /// An answer with enough shards goes out this long before the route's objective is over: the way
  /// of the request and of the answer, the making of the client's connection among it.
  Duration answer_margin = Milliseconds(20);
  /// The margin is no more than this part of the objective.
  double longest_margin = 0.36;
  /// Latency quantile after which a shard is asked a second time.
  double hedge_quantile = 0.95;
  /// Longest time that a client without a deadline of its own is taken to wait.
  Duration longest_wait = Seconds(600);
  /// Routes are expected this long after the start. A request that comes much earlier is told to
  /// come back then; a later one waits for them.
  Duration expected_start = Milliseconds(400);
  Duration shortest_start_refusal = Milliseconds(100);
  /// A request that comes before this gateway knows any route waits for them this long, and no
  /// longer than this part of what its client waits.
  Duration longest_start_wait = Milliseconds(1000);
  int start_wait_part = 2;
  /// Executions in progress beyond which requests are refused.
  size_t max_in_progress = 400;
  Duration presence_interval = Milliseconds(500);
  /// The same until the first routes came.
  Duration starting_presence_interval = Milliseconds(100);
  /// A control machine that answered no greeting for this long is lost.
  Duration control_silence = Seconds(2);
  /// Gateways that may come at any time: connections and budgets are shared with one more.
  uint32_t spare_gateways = 1;
};

struct GatewayOptions {
  std::string cluster;
  std::string node;
  std::string zone;
  /// Where clients reach this gateway.
  std::string address;
  uint64_t incarnation = 0;
  /// Frame addresses of the control machines to begin with.
  std::vector<std::string> control;
  ExtraLoadBound extra_load;
  GatewayKnobs knobs;
  LeafViewOptions leaf_view{.merge_interval = Milliseconds(100)};
  query::ExecutionOptions execution{
      .poll = Milliseconds(10), .expect_median = true, .charge_replacements = true};
};

/// A message to one control machine.
struct ControlMessage {
  std::string address;
  wire::Envelope envelope;
};

/// A control machine was lost, or was heard again or for the first time.
struct ControlLinkChange {
  std::string address;
  bool up = false;
};

struct GatewayOutput {
  std::vector<LeafSend> sends;
  std::vector<LeafCancel> cancels;
  std::vector<GatewayAnswer> answers;
  std::vector<ControlMessage> control;
  /// Control machines whose connection should be made anew.
  std::vector<std::string> reconnect;
  std::vector<ControlLinkChange> link_changes;
};

class GatewayServer {
 public:
  /// @param documents outlives this object.
  GatewayServer(GatewayOptions options, const routing::DocumentReader* documents, Timestamp now);
  ~GatewayServer();
  GatewayServer(const GatewayServer&) = delete;
  GatewayServer& operator=(const GatewayServer&) = delete;

  void Tick(Timestamp now);
  Timestamp NextWake(Timestamp now) const;

  /// Answered by a GatewayAnswer with this id, always, unless the client leaves first.
  /// @param arrived when it may have arrived at the earliest; times of the route count from then.
  void OnRequest(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request,
                 Timestamp arrived);
  void OnClientGone(Timestamp now, RequestId id);
  void OnLeafReply(Timestamp now, const query::LeafReply& reply);

  void OnControlMessage(Timestamp now, const std::string& address, const wire::Envelope& envelope);
  void OnControlDisconnected(Timestamp now, const std::string& address);

  /// More control machines are known.
  void LearnControl(const std::vector<std::string>& addresses);
  /// Clients are sent elsewhere from now on; what comes is still served.
  void StartDraining(Timestamp now);
  bool Drained() const { return active_.empty() && early_.empty(); }
  /// Knows routes and may be sent clients.
  bool ready() const { return table_ != nullptr && !draining_; }

  GatewayOutput TakeOutput();

  uint64_t document_version() const { return table_ == nullptr ? 0 : table_->version(); }
  const routing::RouteTable* table() const { return table_.get(); }
  const LeafView& leafs() const { return view_; }
  size_t in_progress() const { return active_.size(); }
  Duration ConfigAge(Timestamp now) const { return subscriber_.Age(now); }

 private:
  /// What is kept per route name across documents.
  struct RouteRuntime {
    std::unique_ptr<balance::LatencyTracker> latencies;
    routing::WeightedChoice choice;
  };
  /// The shards of a route or the leafs of a service, as an execution wants them.
  struct Target {
    uint64_t view_version = 0;
    std::shared_ptr<config::Service> service;
    std::vector<balance::ExtraLoadLimit*> budgets;
  };
  struct Active {
    std::shared_ptr<const PayloadRequest> request;
    /// Keeps the route alive.
    std::shared_ptr<const routing::RouteTable> table;
    const routing::Route* route = nullptr;
    RouteRuntime* runtime = nullptr;
    std::unique_ptr<query::RequestExecution> execution;
    Timestamp wake{};
    std::vector<SubRequestId> out;
  };
  /// A request that came before any route was known.
  struct EarlyRequest {
    std::shared_ptr<const PayloadRequest> request;
    Timestamp arrived;
    /// Refused then.
    Timestamp until;
  };
  struct ControlLink {
    Timestamp next_presence{};
    Timestamp last_heard{};
    Timestamp last_reset{};
    bool up = false;
  };

  void OnConfigFeed(Timestamp now, const wire::ConfigFeed& feed);
  void OnLeafFeed(Timestamp now, const std::string& address, const wire::LeafFeed& feed);
  void AdoptDocument();
  void SyncPool(Timestamp now);
  void GreetControl(Timestamp now);
  /// Turns to a control machine that is there, if the one asked for the first routes is not.
  void TurnToLiveControl(Timestamp now);
  void AddControl(const std::string& address);
  void SetLink(const std::string& address, bool up);
  wire::Envelope Presence(const std::string& address) const;

  const Target& TargetOf(const std::vector<std::string>& services);
  balance::ExtraLoadLimit* BudgetOf(const std::string& service);
  RouteRuntime& RuntimeOf(const routing::Route& route);
  policy::QueryPlan PlanFor(const routing::Route& route, const PayloadRequest& request) const;
  /// The leafs that this gateway works with as a rule.
  std::set<std::string> PreferredLeafs() const;
  size_t ConnectionShare(const std::string& service) const;
  uint32_t SharingGateways() const;
  void HoldEarly(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request,
                 Timestamp arrived);
  /// Starts the early requests once there are routes, and refuses those that waited long enough.
  void ReleaseEarly(Timestamp now);
  /// Where a service has no usable leaf, reports that wait take effect at once.
  void MergeForLackOfLeafs(Timestamp now, const std::vector<std::string>& services);
  void StartExecution(Timestamp now, RequestId id, const routing::Route& route,
                      std::shared_ptr<const PayloadRequest> request, Timestamp arrived);
  void Collect(Timestamp now, RequestId id);
  void Answer(Timestamp now, RequestId id, const Active& active, const query::Answer& answer);
  void Refuse(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request,
              ResultCode code, Duration retry_after);
  void Schedule(RequestId id, Timestamp wake);
  void Remove(RequestId id);

  GatewayOptions options_;
  const routing::DocumentReader* documents_;
  node::ConfigSubscriber subscriber_;
  node::IdSource ids_;
  LeafView view_;
  /// What the pool was configured by.
  struct PoolBasis {
    uint64_t merges = 0;
    uint64_t document_version = 0;
    uint32_t gateways = 0;
    bool operator==(const PoolBasis&) const = default;
  };
  PoolBasis pool_basis_;
  /// The leaving leafs that the pool knows are of this version of the view.
  uint64_t pool_view_version_ = 0;
  std::set<std::string> preferred_;
  balance::LeafPool pool_;
  std::shared_ptr<const routing::RouteTable> table_;
  std::map<std::string, RouteRuntime> runtimes_;
  std::map<std::string, std::unique_ptr<balance::SlidingWindowBudget>> budgets_;
  std::map<std::vector<std::string>, Target> targets_;
  std::vector<std::string> control_;
  std::map<std::string, ControlLink> links_;
  uint32_t gateways_ = 1;
  bool draining_ = false;
  Timestamp started_;
  std::map<RequestId, Active> active_;
  std::map<RequestId, EarlyRequest> early_;
  std::set<std::pair<Timestamp, RequestId>> wakes_;
  std::unordered_map<SubRequestId, RequestId> request_of_;
  GatewayOutput output_;
};

}  // namespace pumicedyke::gateway
