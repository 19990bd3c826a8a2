// A gateway: accepts clients' requests, finds their route, runs each as an execution over the leafs
// of its service or shards, and answers. Follows the configuration and the leafs through the
// control machines. No sockets, clock or threads: events in, output out.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/entry_gate.h"
#include "balance/latency_tracker.h"
#include "balance/leaf_pool.h"
#include "common/recent_durations.h"
#include "common/region_map.h"
#include "directory/near_first.h"
#include "gateway/extra_load_shares.h"
#include "gateway/group_owners.h"
#include "gateway/leaf_pool_updater.h"
#include "gateway/leaf_view.h"
#include "gateway/merger_placement.h"
#include "gateway/messages.h"
#include "gateway/peer_view.h"
#include "gateway/share_lease.h"
#include "node/config_subscriber.h"
#include "node/id_source.h"
#include "quarantine/report_sender.h"
#include "quarantine/run_tracker.h"
#include "quarantine/trial_client.h"
#include "query/answer_timing.h"
#include "query/request_execution.h"
#include "query/shared_gather.h"
#include "routing/route_table.h"

namespace pumicedyke::gateway {

struct GatewayKnobs {
  balance::BalanceKnobs balance{.loss_growth = 2.0, .remote_penalty = 3, .max_limit_per_slot = 1.0};
  /// If the time that the client spent before it sent the request is known, an answer with enough
  /// shards leaves this long before the end of the route's objective. It covers the network latency
  /// of request and answer.
  Duration network_margin = Milliseconds(10);
  /// Used if that time is unknown: also covers the set-up of the client's connection.
  Duration answer_margin = Milliseconds(20);
  /// Upper bounds of the two margins, as fractions of the objective.
  double max_network_margin_share = 0.2;
  double max_answer_margin_share = 0.36;
  /// A client that appears to have spent more than this fraction of the objective before it sent
  /// the request is taken to have started over, and its time spent counts as unknown.
  double max_client_spent_share = 0.7;
  /// Latency quantile after which a sub-request is hedged.
  double hedge_quantile = 0.95;
  /// Time that a client without a deadline is assumed to wait.
  Duration default_client_timeout = Seconds(600);
  /// Routes are expected this long after the start. A request that arrives at least
  /// `min_start_refusal` before that is refused with a retry hint; a later one waits for the
  /// routes.
  Duration expected_start = Milliseconds(400);
  Duration min_start_refusal = Milliseconds(100);
  /// A request that arrives before any route is known waits at most this long, and at most the
  /// client's deadline divided by `start_wait_divisor`.
  Duration max_start_wait = Milliseconds(1000);
  int start_wait_divisor = 2;
  /// Unknown paths and keys are refused as unknown, which clients take as final, only if the
  /// configuration was proven current within this time.
  Duration refusal_proof_age = Milliseconds(1000);
  /// Number of executions in progress above which requests are refused.
  size_t max_in_progress = 400;
  Duration presence_interval = Milliseconds(500);
  /// Presence interval per gateway of the fleet for control machines that are not followed: each of
  /// them receives at most 1,000 presence messages per second from up to 1,000 gateways. In larger
  /// fleets `max_presence_interval` applies, because a gateway without a presence message for 1.8 s
  /// is no longer named to clients.
  Duration presence_interval_per_gateway = Milliseconds(1);
  Duration max_presence_interval = Milliseconds(1000);
  /// Presence interval for the followed control machine until the first routes arrive, and for
  /// `peers_settle_time` after it has reported a change of the gateways.
  Duration starting_presence_interval = Milliseconds(100);
  Duration peers_settle_time = Seconds(1);
  /// A control machine that has not answered for this long counts as disconnected.
  Duration control_timeout = Seconds(2);
  /// A control machine must have been in touch with a quorum for this long before it is followed
  /// for being in the same zone.
  Duration control_settle_time = Seconds(2);
  /// A control machine that stopped answering while it was followed is not followed again for this
  /// long: it may be partitioned from the others without noticing.
  Duration control_avoid_time = Seconds(10);
  /// Fraction of the extra sub-requests beyond the ratio (ExtraLoadBound) that the owners of a
  /// shard share. All gateways share the rest, which is little for each, because sub-requests to a
  /// shard are sent by its owners.
  double mergers_allowance_share = 0.9;
  /// Number of gateways that may be added at any time: connections and budgets are divided by the
  /// current number plus this.
  uint32_t spare_gateways = 1;
  /// Fraction of a cold leaf's capacity that all gateways together use. Their views of which
  /// gateways send to the leaf may differ for a short time.
  double cold_share = 0.75;
  /// If false, every gateway gathers alone.
  bool share_gathers = true;
  SharingCosts sharing_costs;
  query::SharedGatherOptions shared_gather;
  /// A merger has to accept a partial query within the objective divided by this, but at least
  /// within `shared_gather.accept_timeout`: the first connection to another zone takes 6 ms.
  int accept_timeout_divisor = 8;
  /// Minimum interval between reports of later shard results.
  Duration report_interval = Milliseconds(3);
  /// Minimum interval between determinations of the shards' owners because leafs have changed.
  Duration ownership_interval = Seconds(1);
  /// Maximum interval between messages of a merger about a partial query.
  Duration progress_interval = Milliseconds(50);
  /// Time for which a merger that did not respond is ranked last.
  Duration merger_suspect_time = Seconds(2);
  /// Fraction of a leaf's connections that the mergers of its shard share.
  double mergers_connection_share = 0.75;
  /// Retry hint for quarantined requests.
  Duration retry_when_quarantined = Seconds(60);
  quarantine::RunTrackerOptions run_tracker;
  /// Minimum interval between reports of lost runs to control.
  Duration run_report_interval = Milliseconds(20);
  /// Part of an answer's latency that a gateway cannot observe: clients send deadlines in whole
  /// milliseconds, and the answer's bytes take time on the network.
  Duration unobserved_lag = Milliseconds(2);
  /// Connections that a merger keeps open to each leaf of its shards, which matches how many
  /// sub-requests a leaf mostly works on at once. Opening a new connection takes longer than a
  /// tight objective allows.
  size_t merger_retained_connections = 2;
  /// Number of answers after which a lag sample has half its weight.
  double lag_half_life_samples = 32;
  /// Requests with a larger body are gathered alone, because each merger would need a copy.
  size_t max_shared_body_bytes = 16 * 1024;
};

struct GatewayOptions {
  std::string cluster;
  std::string node;
  std::string zone;
  /// Address for clients.
  std::string address;
  /// Address for other gateways; empty: this gateway gathers alone.
  std::string peer_address;
  /// Region of each zone.
  RegionMap regions;
  /// Number of cores that this gateway may use.
  double processor_share = 1;
  uint64_t incarnation = 0;
  /// Initial frame addresses of the control machines.
  std::vector<std::string> control;
  ExtraLoadBound extra_load;
  /// No gateway of the fleet has run before.
  bool first_start = false;
  admission::EntryOptions entry;
  GatewayKnobs knobs;
  LeafViewOptions leaf_view{.merge_interval = Milliseconds(100)};
  query::ExecutionOptions execution{.poll_interval = Milliseconds(10),
                                    .expect_median = true,
                                    .hedge_median_factor = 1.5,
                                    .charge_replacements = true};
};

/// A message to one control machine.
struct ControlMessage {
  std::string address;
  wire::Envelope envelope;
};

/// A control machine was disconnected, or was contacted again or for the first time.
struct ControlLinkChange {
  std::string address;
  bool up = false;
};

/// A partial query, or its cancellation or confirmation, for another gateway.
struct PeerMessage {
  std::string address;
  wire::Envelope envelope;
  /// Priority of the request; zero is the most urgent.
  int priority = 0;
};

/// Identifies one connection from another gateway.
using PeerSessionId = uint64_t;

/// A reply to a gateway that sent a partial query.
struct PeerReply {
  PeerSessionId session = 0;
  wire::Envelope envelope;
  /// As in PeerMessage.
  int priority = 0;
};

/// An attempt at a suspect request, for the log.
struct SuspectAttempt {
  std::string request_id;
  RequestIdentity identity;
  quarantine::Suspicion suspicion = quarantine::Suspicion::kNone;
};

/// The decision on a trial of a suspect request, for the log.
struct TrialRecord {
  std::string request_id;
  RequestIdentity identity;
  quarantine::TrialOutcome outcome;
};

struct GatewayOutput {
  std::vector<LeafSend> sends;
  /// Leafs closed to new work: requests to them that are not written yet must not be sent.
  std::vector<std::string> closed_leafs;
  /// Leafs whose record has changed, for the log.
  std::vector<std::string> leaf_changes;
  std::vector<LeafCancel> cancels;
  std::vector<GatewayAnswer> answers;
  std::vector<ControlMessage> control;
  /// Control machines whose connections are closed; those that are sent to later are made anew.
  std::vector<std::string> reconnect;
  /// Control machines that have been removed and are not sent to any more.
  std::vector<std::string> forgotten_controls;
  std::vector<ControlLinkChange> link_changes;
  std::vector<PeerMessage> peer_messages;
  std::vector<PeerReply> peer_replies;
  std::vector<PartialTrace> partials;
  /// Reports of lost runs sent to control, for the log; the same below.
  std::vector<wire::RunReport> runs_reported;
  /// Requests that a control machine warned of.
  std::vector<RequestIdentity> suspects_noticed;
  std::vector<SuspectAttempt> suspect_attempts;
  std::vector<TrialRecord> trials;
};

class GatewayServer {
 public:
  /// @param documents must outlive this object.
  GatewayServer(GatewayOptions options, const routing::DocumentReader* documents, Timestamp now);
  ~GatewayServer();
  GatewayServer(const GatewayServer&) = delete;
  GatewayServer& operator=(const GatewayServer&) = delete;

  void Tick(Timestamp now);
  Timestamp NextWake(Timestamp now) const;

  /// Starts a request. It is always answered by a GatewayAnswer with this id, unless the client
  /// disconnects first.
  /// @param arrived earliest possible time of arrival; the times of the route count from then.
  void OnRequest(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request,
                 Timestamp arrived);
  void OnClientDisconnected(Timestamp now, RequestId id);
  /// Called when the last byte of an answer has been passed to the operating system.
  void OnAnswerWritten(Timestamp now, const RequestTrace& trace);
  void OnLeafReply(Timestamp now, const query::LeafReply& reply);
  /// Outcome of a cancelled sub-request whose leaf was allowed to finish.
  void OnAbandonedReply(Timestamp now, const query::LeafReply& reply);
  /// Called when no outcome of a cancelled sub-request is to be expected.
  void OnSendDropped(SubRequestId id) { run_tracker_.OnDropped(id); }

  /// @return whether the message is meant for a gateway of this cluster; the same below.
  bool OnControlMessage(Timestamp now, const std::string& address, const wire::Envelope& envelope);
  void OnControlDisconnected(Timestamp now, const std::string& address);

  /// Handles a message from another gateway that uses this one as merger or lender.
  /// @param arrived as for OnRequest().
  bool OnPeerRequest(Timestamp now, PeerSessionId session, const wire::Envelope& envelope,
                     Timestamp arrived);
  void OnPeerSessionClosed(Timestamp now, PeerSessionId session);
  /// Handles a reply from a gateway that this one has sent a request to.
  bool OnPeerReply(Timestamp now, const std::string& address, const wire::Envelope& envelope);
  void OnPeerDisconnected(Timestamp now, const std::string& address);

  /// Sets the control machines that are never forgotten.
  void SetControlSeeds(const std::vector<std::string>& addresses);
  /// Directs clients to other gateways from now on; requests that still arrive are served.
  /// @param answer_by time by which all are answered, whatever the leafs do; unset: no limit.
  void StartDraining(Timestamp now, std::optional<Timestamp> answer_by = std::nullopt);
  bool Drained() const {
    return active_.empty() && early_.empty() && held_.empty() && awaiting_trial_.empty();
  }
  /// Returns whether routes are known and clients may be directed here.
  bool ready() const { return table_ != nullptr && !draining_; }

  /// Returns pending output sorted by priority; messages about the same request stay in order.
  GatewayOutput TakeOutput();

  /// Returns the addresses of gateways that a client may use, best first, from the latest view of
  /// the gateways. A gateway that knows no others returns its own address. Empty: none is
  /// available.
  std::vector<std::string> GatewaysFor(const directory::ClientLocation& client) const;

  uint64_t document_version() const { return table_ == nullptr ? 0 : table_->version(); }
  const routing::RouteTable* table() const { return table_.get(); }
  const LeafView& leafs() const { return view_; }
  const PeerView& peers() const { return peers_; }
  /// Reports of lost runs that wait for an acknowledgement.
  const quarantine::ReportSender& reports() const { return reports_; }
  /// Returns the number of requests that are sent to leafs with control's permission only.
  size_t CountSuspects(Timestamp now) const { return run_tracker_.CountSuspects(now); }
  size_t in_progress() const { return active_.size(); }
  /// Returns the requests that have no answer yet, by what they wait for.
  WorkInProgress Work(Timestamp now) const;
  /// Returns how a request that has no answer yet was handled so far, as far as known.
  RequestTrace TraceOf(Timestamp now, RequestId id) const;
  /// Returns the use of the limits on extra sub-requests.
  std::vector<ServiceLoadUse> ExtraLoadUses(Timestamp now) const { return extra_load_.Uses(now); }
  /// This gateway's share of the limits that hold for all gateways together.
  const ShareLease& share_lease() const { return share_lease_; }
  Timestamp started() const { return started_; }
  /// Returns a quantile of the recent sub-request latencies of a route; zero if there were none.
  Duration LeafLatency(const std::string& route, double quantile) const;
  /// Requests that must not be sent to leafs.
  const std::set<RequestIdentity>& quarantined() const { return quarantined_; }
  const limits::TenantLimits& limits() const { return gate_.limits(); }
  uint64_t config_version() const { return subscriber_.config().version().value; }
  Duration ConfigAge(Timestamp now) const { return subscriber_.Age(now); }
  /// Returns whether the keys held here were proven current recently enough for requests with keys
  /// to start; true if no route needs keys.
  bool KeysProven(Timestamp now) const;

 private:
  /// State per route name that is retained across documents.
  struct RouteRuntime {
    std::unique_ptr<balance::LatencyTracker> latencies;
    routing::WeightedChoice choice;
    /// Longest deadline sent by a client of this route.
    Duration max_client_deadline{};
    /// Number of requests from which `max_client_deadline` was taken.
    uint64_t deadline_samples = 0;
    /// Arrival times of the shard results, if gathers are shared; created for the first answer.
    std::optional<query::ArrivalCurve> arrivals;
  };
  /// The shards of a route or the leafs of a service, in the form that an execution takes.
  struct Target {
    uint64_t view_version = 0;
    std::shared_ptr<config::Service> service;
    std::vector<balance::ExtraLoadLimit*> budgets;
  };
  /// Work on a group of shards for another gateway.
  struct PartialJob {
    PeerSessionId session = 0;
    uint64_t query_id = 0;
    size_t top_records = 0;
    std::string route;
    Timestamp started{};
    /// Shard results that are available by this time are reported then, later ones as they arrive.
    Timestamp report_at{};
    Timestamp last_reply{};
    std::vector<query::ShardPayload> unreported;
    /// Shards that were abandoned and not reported yet.
    std::vector<query::MissingShard> unreported_gaps;
    /// Number of abandoned shards so far, and how many of them the whole gather can do without.
    size_t gaps = 0;
    size_t max_missing = 0;
  };
  struct Active {
    std::shared_ptr<const PayloadRequest> request;
    /// Owns `route`.
    std::shared_ptr<const routing::RouteTable> table;
    /// Null for a partial job.
    const routing::Route* route = nullptr;
    RouteRuntime* runtime = nullptr;
    bool repeatable = true;
    bool gathers = false;
    /// Name of the tenant; empty: none.
    std::string tenant;
    /// Number of the trial granted to a suspect request; zero: none.
    uint32_t trial = 0;
    /// Zero is the most urgent.
    int priority = 0;
    /// Regions whose leafs may be queried; empty: all.
    std::set<std::string> allowed_regions;
    /// Replaces the request's encoded head for leafs; null: not replaced.
    std::shared_ptr<const std::string> head;
    /// Exactly one of `execution` and `shared` is set.
    std::unique_ptr<query::RequestExecution> execution;
    std::unique_ptr<query::SharedGather> shared;
    std::optional<PartialJob> partial;
    /// Number of connections that this gateway may hold to each leaf as a merger of its shard.
    size_t merger_connections = 0;
    Timestamp wake{};
    std::vector<SubRequestId> out;
    /// Only for shared gathers: the groups, and the ids of the partial queries sent.
    std::vector<query::ShardRange> ranges;
    std::vector<uint64_t> partial_query_ids;
    /// Number of groups assigned to each merger, by address.
    std::map<std::string, size_t> assigned_groups;
  };
  /// A request that waits because it arrived before any route was known, or because its route or
  /// key is unknown but may have been added meanwhile.
  struct EarlyRequest {
    std::shared_ptr<const PayloadRequest> request;
    Timestamp arrived;
    /// Time at which it is refused.
    Timestamp until;
    /// Version of the routes known when it arrived; zero: none.
    uint64_t document_version = 0;
  };
  /// A request that waits for the decision on its tenant's limit or on its trial.
  struct HeldRequest {
    std::shared_ptr<const PayloadRequest> request;
    Timestamp arrived;
  };
  struct ControlLink {
    Timestamp next_presence{};
    Timestamp last_contact{};
    Timestamp last_reset{};
    bool up = false;
    /// Whether the control machine is in this gateway's zone.
    bool near = false;
    /// The control machines that this one knows, as it told last; empty: it has not told.
    std::vector<std::string> members;
    /// Time since which the control machine has reported to be in touch with a quorum; unset: it is
    /// not.
    std::optional<Timestamp> current_since;
    /// Not followed for being in the same zone before this time, because it stopped answering while
    /// it was followed.
    Timestamp avoided_until{};
  };

  void OnConfigFeed(Timestamp now, const std::string& address, const wire::ConfigFeed& feed);
  void OnGatewayFeed(Timestamp now, const std::string& address, const wire::GatewayFeed& feed);
  void OnLeafFeed(Timestamp now, const std::string& address, const wire::LeafFeed& feed);
  void AdoptDocument(Timestamp now);
  void SyncPool(Timestamp now);
  /// Determines the shards whose owners include this gateway, if the gateways, routes or leafs
  /// have changed.
  void SyncOwnerships(Timestamp now);
  ShardOwnerships Ownerships(Timestamp now);
  /// Returns the routes whose gathers are shared, one for each list of shards and of regions.
  std::vector<const routing::Route*> DistinctSharedGathers() const;
  /// Updates the limits of requests to cold leafs.
  void SyncCold(Timestamp now);
  /// Returns this gateway's fraction of the capacity of cold leafs, by service, for services with
  /// shared gathers.
  std::map<std::string, double> ColdSharesOfMergers(Timestamp now);
  /// Returns this gateway's fraction of the capacity of a cold leaf that any gateway may use: only
  /// a few of them send to it.
  double ColdShareOf(Timestamp now, const std::string& leaf, double per_second) const;
  /// Returns the time until which a leaf counts as cold; zero: it is not cold.
  Timestamp ColdUntil(const wire::LeafRecord& record, const routing::ServiceSpec& service) const;
  void MaintainControlLinks(Timestamp now);
  Duration PresenceInterval(Timestamp now, const std::string& address) const;
  /// Follows a reachable control machine if the followed one is not reachable.
  void SwitchToLiveControl(Timestamp now);
  /// Sends the hello to another control machine, too, while the followed one is silent.
  void AskAnotherControl(Timestamp now, const wire::Envelope& hello);
  /// Follows the control machine that has answered while the followed one was silent.
  void FollowAnswering(Timestamp now, const std::string& address);
  /// Forgets the control machines that have been removed.
  void ForgetRemovedControls();
  bool IsRemoved(const std::string& address) const;
  /// Follows a control machine of this gateway's zone, if one has been in touch with a quorum for
  /// long enough: this avoids traffic between zones.
  void SwitchToNearControl(Timestamp now);
  /// Records if the followed control machine of this zone was left because it stopped answering.
  void NoteNearControlLeft(Timestamp now);
  void AddControlMachines(const std::vector<std::string>& addresses);
  void AddControl(const std::string& address);
  const std::string& followed_control() const { return control_[subscriber_.control()]; }
  void SetLink(const std::string& address, bool up);
  wire::Envelope Presence(const std::string& address) const;

  /// @param allowed_regions regions whose leafs may be queried; empty: all.
  const Target& TargetOf(const std::vector<std::string>& services,
                         const std::set<std::string>& allowed_regions);
  /// Returns the usable leafs of a service in these regions.
  std::vector<std::string> LeafsIn(const std::set<std::string>& allowed_regions,
                                   const std::string& service) const;
  bool IsAllowedZone(const std::set<std::string>& allowed_regions, const std::string& zone) const {
    return allowed_regions.empty() || allowed_regions.contains(options_.regions.Of(zone));
  }
  RouteRuntime& RuntimeOf(const std::string& route, Duration objective);
  policy::QueryPlan PlanFor(const routing::Route& route, const PayloadRequest& request) const;
  /// Returns how long before the end of the objective an answer has to leave.
  Duration AnswerMargin(const routing::Route& route, const PayloadRequest& request) const;
  /// Returns the time that the client spent on finding and reaching this gateway. It is inferred
  /// from the remaining deadline, since the clients of a route use the same time-out. Unset:
  /// unknown.
  std::optional<Duration> SpentByClient(const routing::Route& route,
                                        const PayloadRequest& request) const;
  size_t ConnectionShare(Timestamp now, const std::string& service) const;
  size_t ConnectionsOf(const std::string& service) const;
  void HoldEarly(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request,
                 Timestamp arrived);
  void RefuseEarly(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request);
  /// Restarts early requests once their route or key can be decided, and refuses those that have
  /// waited long enough.
  void ReleaseEarly(Timestamp now);
  /// Returns whether a route or key that is unknown here is not in force, unless it was added very
  /// recently.
  bool RefusalsProven(Timestamp now) const {
    return subscriber_.Age(now) <= options_.knobs.refusal_proof_age;
  }
  /// Handles an unknown path or key: refuses the request if the configuration is proven current,
  /// else lets it wait for the proof. A request without a key is refused at once.
  void RefuseUnknown(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request,
                     Timestamp arrived, ResultCode code);
  /// Returns when the keys in force here were last proven to be those acknowledged to operators.
  Timestamp KeysProvenAt() const;
  /// Starts a held request after its limit or trial was granted, if it is still permitted.
  /// @param trial number of the granted trial, zero if none is needed; unset: not decided yet.
  void StartHeld(Timestamp now, RequestId id, const HeldRequest& held,
                 std::optional<uint32_t> trial);
  /// Starts an admitted request. A suspect has to wait for a trial.
  void StartAdmitted(Timestamp now, RequestId id, const routing::Route& route,
                     std::shared_ptr<const PayloadRequest> request, const tenants::Tenant* tenant,
                     Timestamp arrived);
  /// Processes the output of the tenants' limits.
  void ApplyLimitOutput(Timestamp now);
  void UpdateLimitGateways(Timestamp now);
  // Requests that crash the leafs that run them.
  /// Applies the list of quarantined requests and stops those in progress.
  void ApplyQuarantine(Timestamp now);
  void StopQuarantined(Timestamp now, RequestId id);
  void TrackRun(Timestamp now, const Active& active, SubRequestId id, const wire::LeafRecord& leaf);
  /// Reports new lost runs to every control machine.
  void ReportRuns(Timestamp now);
  /// Returns the execution options for a request: a request that has lost leafs before is tried at
  /// one leaf first.
  query::ExecutionOptions ExecutionOptionsFor(Timestamp now, const PayloadRequest& request);
  void OnSuspectNotice(Timestamp now, const wire::SuspectNotice& notice);
  /// Why the request counts as a suspect here. One that was released conditionally does, too.
  quarantine::Suspicion SuspicionOf(Timestamp now, const RequestIdentity& identity) const;
  void AskForTrial(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request,
                   Timestamp arrived);
  void OnTrialReply(Timestamp now, const wire::TrialReply& reply);
  void OnTrialOutcome(Timestamp now, const quarantine::TrialOutcome& outcome);
  /// Returns the permission if no leaf has run the request.
  void EndTrial(const Active& active);
  /// Sends questions, and refuses requests that have waited too long for a trial.
  void UpdateTrials(Timestamp now);

  // The planned stop (gateway_stop.cc).
  /// Returns whether this gateway stops and all requests must have been answered.
  bool MustHaveAnswered(Timestamp now) const {
    return answer_by_.has_value() && now >= *answer_by_;
  }
  /// Returns whether that will be before a request of the route usually is answered.
  bool StopsBeforeAnswer(Timestamp now, const std::string& route, bool repeatable) const;
  /// Refuses a request that another gateway may serve at once.
  void RefuseStopping(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request);
  /// Limits a request that is started or in progress while this gateway stops.
  void LimitToStop(Timestamp now, Active* active) const;
  /// Refuses the requests that were not started once all must be answered.
  void RefuseBeforeKill(Timestamp now);

  /// Applies pending leaf reports at once if a service has no usable leaf.
  void MergeIfLeafsMissing(Timestamp now, const std::vector<std::string>& services);
  void StartExecution(Timestamp now, RequestId id, const routing::Route& route,
                      std::shared_ptr<const PayloadRequest> request, const tenants::Tenant* tenant,
                      Timestamp arrived, uint32_t trial);
  void Collect(Timestamp now, RequestId id);
  void CollectSends(Timestamp now, Active* active, RequestId id,
                    const query::ExecutionActions& actions);
  /// Advances the execution or the shared gather of a request.
  void Advance(Timestamp now, RequestId id);

  // Shared gathers: this gateway as root, which the client reached.
  /// Returns the number of groups that the shards of a route are divided into; 1: the gather is not
  /// shared.
  size_t GroupsOf(const routing::Route& route) const;
  /// Returns the part of the objective that is left to the gateways from the request's arrival,
  /// after subtracting the time spent by the client, the round trip and the unobserved lag. Unset:
  /// unknown.
  std::optional<Duration> TimeLeftForGateways(const routing::Route& route,
                                              const PayloadRequest& request) const;
  /// Determines the due time of partial answers from observed arrival times and lags, if there are
  /// enough samples.
  void SetLearnedDue(const Active& active, query::SharedGather* shared);
  /// As PlanFor(), but the answer is due earlier by the time needed to process the answers of all
  /// mergers.
  policy::QueryPlan SharedPlanFor(const routing::Route& route, const PayloadRequest& request,
                                  size_t groups) const;
  /// Returns how long before the due time of a partial answer the mergers start to report results:
  /// the round trip to them plus the time for processing their answers.
  Duration ReportLead(size_t groups) const;
  /// Starts a shared gather. @return false if the request cannot or need not be shared.
  bool StartShared(Timestamp now, RequestId id, Active* active, Timestamp arrived);
  void CollectShared(Timestamp now, RequestId id);
  void SendPartialQuery(Timestamp now, const Active& active,
                        const query::OutgoingPartialQuery& partial);
  void CancelPartialQuery(const Active& active, const query::GroupCancel& cancel);
  void AnswerShared(Timestamp now, RequestId id, const Active& active,
                    query::SharedOutcome outcome);

  // Shared gathers: this gateway as the merger of a group.
  void OnPartialAnswer(Timestamp now, const std::string& address, const wire::PartialAnswer& reply);
  void OnPartialQuery(Timestamp now, PeerSessionId session, const wire::PartialQuery& query,
                      Timestamp arrived);
  /// Starts the work on a partial query.
  void StartPartial(Timestamp now, PeerSessionId session, const wire::PartialQuery& query,
                    Timestamp arrived);
  void OnPartialConfirm(Timestamp now, PeerSessionId session, const wire::PartialConfirm& confirm);
  void OnPartialCancel(Timestamp now, PeerSessionId session, const wire::PartialCancel& cancel);
  void StopPartial(Timestamp now, RequestId id, bool stop_work);
  void CollectPartial(Timestamp now, RequestId id, const std::optional<query::Answer>& answer);
  wire::PartialAnswer TakePartialAnswer(PartialJob* job, wire::PartialStage stage);
  void SendPartialAnswer(PeerSessionId session, wire::PartialAnswer reply, int priority);
  /// A group of shards according to the document held here.
  struct GroupOfRoute {
    const routing::Route* route = nullptr;
    std::vector<query::ShardRange> ranges;
    size_t index = 0;
  };
  /// Returns the group of a partial query; unset if the root has a different document, which may
  /// divide the shards differently.
  std::optional<GroupOfRoute> FindGroup(const wire::PartialQuery& query) const;
  /// Returns the number of gateways that own the group, if this gateway is one of them; otherwise
  /// zero.
  size_t CoOwnersOf(Timestamp now, const GroupOfRoute& group);
  /// Returns how many of the group's shards the whole gather can do without.
  static size_t MaxMissingOf(const GroupOfRoute& group, const std::string& request_id);
  void Answer(Timestamp now, RequestId id, const Active& active, const query::Answer& answer);
  void Refuse(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request,
              ResultCode code, Duration retry_after);
  /// Returns when a request was started.
  static Timestamp StartOf(const Active& active);
  /// Advances the requests whose wake-up time has passed, the more urgent first.
  void WakeRequests(Timestamp now);
  void Schedule(RequestId id, Timestamp wake);
  void Remove(RequestId id);

  GatewayOptions options_;
  const routing::DocumentReader* documents_;
  node::ConfigSubscriber subscriber_;
  node::IdSource ids_;
  LeafView view_;
  /// Versions of the inputs from which the limits of cold leafs were computed.
  struct ColdLimitInputs {
    uint64_t cold_reports = 0;
    uint64_t merges = 0;
    uint64_t document_version = 0;
    uint64_t peer_changes = 0;
    bool operator==(const ColdLimitInputs&) const = default;
  };
  ColdLimitInputs cold_limit_inputs_;
  /// Whether any service limits requests to its cold leafs.
  bool limits_cold_leafs_ = false;
  balance::LeafPool pool_;
  LeafPoolUpdater pool_updater_;
  std::shared_ptr<const routing::RouteTable> table_;
  /// The newest document cannot be parsed by this program, so it is unknown which keys it has
  /// removed.
  bool document_unread_ = false;
  std::map<std::string, RouteRuntime> runtimes_;
  ShareLease share_lease_;
  ExtraLoadShares extra_load_;
  /// Versions of the inputs from which the ownerships of shards were determined.
  struct OwnershipInputs {
    uint64_t document_version = 0;
    uint64_t peer_changes = 0;
    uint64_t view_version = 0;
    bool operator==(const OwnershipInputs&) const = default;
  };
  OwnershipInputs ownership_inputs_;
  Timestamp ownerships_synced_at_{};
  struct TargetKey {
    std::vector<std::string> services;
    std::set<std::string> allowed_regions;
    auto operator<=>(const TargetKey&) const = default;
  };
  std::map<TargetKey, Target> targets_;
  std::set<std::string> control_seeds_;
  std::vector<std::string> control_;
  std::map<std::string, ControlLink> links_;
  /// The last one that was asked besides the followed one.
  std::string asked_control_;
  /// The control machine followed because it is in this zone; empty: none.
  std::string near_control_;
  uint32_t gateways_ = 1;
  PeerView peers_;
  Timestamp peers_changed_{};
  GroupOwners owners_;
  std::unordered_map<uint64_t, RequestId> request_of_partial_query_;
  std::map<std::pair<PeerSessionId, uint64_t>, RequestId> partials_;
  /// A partial query that is started only once it is confirmed.
  struct StandbyQuery {
    wire::PartialQuery query;
    Timestamp arrived{};
  };
  std::map<std::pair<PeerSessionId, uint64_t>, StandbyQuery> stand_by_;
  uint64_t partials_started_ = 0;
  quarantine::RunTracker run_tracker_;
  quarantine::ReportSender reports_;
  /// Time from the due time of an answer to the writing of its last byte.
  RecentDurations answer_lag_;
  std::set<RequestIdentity> quarantined_;
  Timestamp runs_reported_{};
  admission::EntryGate gate_;
  std::map<RequestId, HeldRequest> held_;
  quarantine::TrialClient trials_;
  std::map<RequestId, HeldRequest> awaiting_trial_;
  bool draining_ = false;
  /// Set while this gateway stops: when all requests must have been answered.
  std::optional<Timestamp> answer_by_;
  Timestamp started_;
  std::map<RequestId, Active> active_;
  std::map<RequestId, EarlyRequest> early_;
  std::set<std::pair<Timestamp, RequestId>> wakes_;
  std::unordered_map<SubRequestId, RequestId> request_of_;
  GatewayOutput output_;
};

}  // namespace pumicedyke::gateway
