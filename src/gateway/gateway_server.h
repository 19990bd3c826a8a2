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

#include "admission/entry_gate.h"
#include "balance/extra_load_budget.h"
#include "balance/latency_tracker.h"
#include "balance/leaf_pool.h"
#include "common/recent_durations.h"
#include "common/region_map.h"
#include "directory/near_first.h"
#include "gateway/group_owners.h"
#include "gateway/leaf_view.h"
#include "gateway/merger_placement.h"
#include "gateway/messages.h"
#include "gateway/peer_view.h"
#include "gateway/pool_keeper.h"
#include "node/config_subscriber.h"
#include "node/id_source.h"
#include "quarantine/report_sender.h"
#include "quarantine/run_witness.h"
#include "query/answer_moment.h"
#include "query/request_execution.h"
#include "query/shared_gather.h"
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
  balance::BalanceKnobs balance{.loss_growth = 2.0, .remote_penalty = 3, .max_limit_per_slot = 1.0};
  /// An answer with enough shards goes out this long before the route's objective is over, if what
  /// the client spent before it sent the request is known: the way of the request and of the
  /// answer.
  Duration way_margin = Milliseconds(10);
  /// If it is not known: the making of the client's connection is in it, too.
  Duration answer_margin = Milliseconds(20);
  /// A margin is no more than this part of the objective.
  double longest_way_margin = 0.2;
  double longest_margin = 0.36;
  /// A client that seems to have spent more than this part of the objective before it sent the
  /// request has begun anew meanwhile.
  double longest_spent = 0.7;
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
  /// What is not known here is refused as unknown, which clients take as final, if the
  /// configuration was proved current no longer ago than this.
  Duration refusal_proof_age = Milliseconds(1000);
  /// Executions in progress beyond which requests are refused.
  size_t max_in_progress = 400;
  Duration presence_interval = Milliseconds(500);
  /// The same, for each gateway there is, to control machines that are not followed: each of them
  /// gets so many greetings a second from all gateways together, 1,000, up to a thousand gateways.
  /// Beyond, `longest_presence_interval` holds: after 1.8 s without a greeting clients are sent
  /// elsewhere.
  Duration presence_interval_per_gateway = Milliseconds(1);
  Duration longest_presence_interval = Milliseconds(1000);
  /// The same, to the one that is followed, until the first routes came and for `peers_settle`
  /// after it has told of a gateway that came or went.
  Duration starting_presence_interval = Milliseconds(100);
  Duration peers_settle = Seconds(1);
  /// A control machine that answered no greeting for this long is lost.
  Duration control_silence = Seconds(2);
  /// A control machine that came back is followed for its nearness only after this.
  Duration settled_control = Seconds(2);
  /// One that fell silent while it was followed is left alone for this long: it may be cut off from
  /// the others without knowing it.
  Duration silent_control_avoided = Seconds(10);
  /// Gateways that may come at any time: connections and budgets are shared with one more.
  uint32_t spare_gateways = 1;
  /// Part of what a cold leaf bears that all gateways together send it: they may differ for a
  /// moment on who of them sends.
  double cold_share = 0.75;
  /// Off: every gateway gathers alone.
  bool share_gathers = true;
  SharingCosts sharing_costs;
  query::SharedGatherOptions shared_gather;
  /// A merger has to confirm a question within this part of the objective, at least
  /// `shared_gather.accept_patience`: a first connection to another zone takes 6 ms.
  int accept_part = 8;
  /// Later parts are reported no more often than this.
  Duration report_interval = Milliseconds(3);
  /// A merger says at least this often that it is there.
  Duration sign_of_life = Milliseconds(50);
  /// One that was silent is asked last for this long.
  Duration merger_suspicion = Seconds(2);
  /// Part of the allowance of extra sub-requests that the owners of a shard share; all gateways
  /// share the rest, which is little for each: what is sent to a shard goes through its owners.
  double mergers_allowance_share = 0.9;
  /// Part of a leaf's connections that the mergers of its shard share.
  double mergers_connection_share = 0.75;
  /// When to come back with a request that the fleet has stopped.
  Duration retry_when_quarantined = Seconds(60);
  quarantine::WitnessOptions witness;
  /// What was seen of lost runs is told to control this soon.
  Duration run_report_interval = Milliseconds(20);
  /// What a gateway cannot see of an answer's lateness: clients tell whole milliseconds, and the
  /// answer's bytes take time on the links.
  Duration unseen_lag = Milliseconds(2);
  /// Connections that a merger keeps to each leaf of its shards: as many as a leaf mostly works on
  /// at once. One that is made anew takes longer than a tight aim bears.
  size_t merger_kept_connections = 2;
  /// Answers after which one counts half for what is known of their lag.
  double lag_memory = 32;
  /// Requests with more body than this are gathered alone: each merger would need a copy.
  size_t longest_shared_body = 16 * 1024;
};

struct GatewayOptions {
  std::string cluster;
  std::string node;
  std::string zone;
  /// Where clients reach this gateway.
  std::string address;
  /// Where other gateways reach it; empty: it works alone.
  std::string peer_address;
  /// Where each zone lies.
  RegionMap regions;
  /// Cores that it may use.
  double processor_share = 1;
  uint64_t incarnation = 0;
  /// Frame addresses of the control machines to begin with.
  std::vector<std::string> control;
  ExtraLoadBound extra_load;
  admission::EntryOptions entry;
  GatewayKnobs knobs;
  LeafViewOptions leaf_view{.merge_interval = Milliseconds(100)};
  query::ExecutionOptions execution{.poll = Milliseconds(10),
                                    .expect_median = true,
                                    .hedge_median_factor = 1.5,
                                    .charge_replacements = true};
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

/// A question, or its end, for another gateway.
struct PeerMessage {
  std::string address;
  wire::Envelope envelope;
  /// Of the request that it is about; zero is the most urgent.
  int priority = 0;
};

/// Names one connection of another gateway to this one.
using PeerSessionId = uint64_t;

/// Word to a gateway that asked.
struct PeerReply {
  PeerSessionId session = 0;
  wire::Envelope envelope;
  /// As in PeerMessage.
  int priority = 0;
};

struct GatewayOutput {
  std::vector<LeafSend> sends;
  /// Leafs that were closed to new work: what was not written to them yet must not be.
  std::vector<std::string> closed_leafs;
  /// Leafs of which something else is known now, for the log.
  std::vector<std::string> leaf_changes;
  std::vector<LeafCancel> cancels;
  std::vector<GatewayAnswer> answers;
  std::vector<ControlMessage> control;
  /// Control machines whose connection should be made anew.
  std::vector<std::string> reconnect;
  std::vector<ControlLinkChange> link_changes;
  std::vector<PeerMessage> peer_messages;
  std::vector<PeerReply> peer_replies;
  std::vector<PartialTrace> partials;
  /// What control is told of lost runs, for the log.
  std::optional<wire::RunReport> runs_reported;
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
  /// The last byte of an answer was handed to the operating system.
  void OnAnswerWritten(Timestamp now, const RequestTrace& trace);
  void OnLeafReply(Timestamp now, const query::LeafReply& reply);
  /// What became of a sub-request that was cancelled and whose leaf was left to finish.
  void OnAbandonedReply(Timestamp now, const query::LeafReply& reply);
  /// Nothing will be heard of a cancelled sub-request.
  void OnSendDropped(SubRequestId id) { witness_.OnDropped(id); }

  void OnControlMessage(Timestamp now, const std::string& address, const wire::Envelope& envelope);
  void OnControlDisconnected(Timestamp now, const std::string& address);

  /// Another gateway asks, or no longer does. @param arrived as for OnRequest().
  void OnPeerQuestion(Timestamp now, PeerSessionId session, const wire::Envelope& envelope,
                      Timestamp arrived);
  void OnPeerSessionClosed(Timestamp now, PeerSessionId session);
  /// A gateway that was asked answers.
  void OnPeerWord(Timestamp now, const std::string& address, const wire::Envelope& envelope);
  void OnPeerLost(Timestamp now, const std::string& address);

  /// More control machines are known.
  void LearnControl(const std::vector<std::string>& addresses);
  /// Clients are sent elsewhere from now on; what comes is still served.
  void StartDraining(Timestamp now);
  bool Drained() const { return active_.empty() && early_.empty() && held_.empty(); }
  /// Knows routes and may be sent clients.
  bool ready() const { return table_ != nullptr && !draining_; }

  /// Of all that waits to be sent, the more urgent comes first; what is about the same request
  /// stays in order.
  GatewayOutput TakeOutput();

  /// Where a client may go, best first, by what was last heard of the gateways. One that
  /// knows of no others names itself. Empty: nowhere.
  std::vector<std::string> GatewaysFor(const directory::ClientPlace& client) const;

  uint64_t document_version() const { return table_ == nullptr ? 0 : table_->version(); }
  const routing::RouteTable* table() const { return table_.get(); }
  const LeafView& leafs() const { return view_; }
  const PeerView& peers() const { return peers_; }
  size_t in_progress() const { return active_.size(); }
  /// How long sub-requests of a route took of late, by quantile; zero: the route has asked no leaf.
  Duration LeafLatency(const std::string& route, double quantile) const;
  /// Requests that are sent to no leaf.
  const std::set<RequestIdentity>& quarantined() const { return quarantined_; }
  const limits::TenantLimits& limits() const { return gate_.limits(); }
  uint64_t config_version() const { return subscriber_.config().version().value; }
  Duration ConfigAge(Timestamp now) const { return subscriber_.Age(now); }
  /// Whether requests with keys may begin as far as the keys' age goes; true if no route needs any.
  bool KeysProven(Timestamp now) const;

 private:
  /// What is kept per route name across documents.
  struct RouteRuntime {
    std::unique_ptr<balance::LatencyTracker> latencies;
    routing::WeightedChoice choice;
    /// The longest time that a client of this route said it would wait.
    Duration longest_patience{};
    /// How many said so.
    uint64_t patiences = 0;
    /// When the parts of its answers come, if gateways share them; made for its first answer.
    std::optional<query::ArrivalCurve> arrivals;
  };
  /// The shards of a route or the leafs of a service, as an execution wants them.
  struct Target {
    uint64_t view_version = 0;
    std::shared_ptr<config::Service> service;
    std::vector<balance::ExtraLoadLimit*> budgets;
  };
  /// A group of shards that another gateway asked for.
  struct PartialJob {
    PeerSessionId session = 0;
    uint64_t question = 0;
    size_t top_records = 0;
    std::string route;
    Timestamp begun{};
    /// What is in by then is reported, and what comes later as it comes.
    Timestamp report_at{};
    Timestamp last_word{};
    std::vector<query::ShardPayload> unreported;
    /// Shards that were given up and not told yet.
    std::vector<query::MissingShard> unreported_gaps;
    /// Given up so far, and how many of them the whole gather can do without.
    size_t gaps = 0;
    size_t may_miss = 0;
  };
  struct Active {
    std::shared_ptr<const PayloadRequest> request;
    /// Keeps the route alive.
    std::shared_ptr<const routing::RouteTable> table;
    /// Null for a partial job.
    const routing::Route* route = nullptr;
    RouteRuntime* runtime = nullptr;
    bool repeatable = true;
    bool gathers = false;
    /// Whose it is; empty: nobody's.
    std::string tenant;
    /// Zero is the most urgent.
    int priority = 0;
    /// Regions whose leafs alone may be asked; empty: any.
    std::set<std::string> homes;
    /// What goes to leafs instead of the request's own head; null: that goes.
    std::shared_ptr<const std::string> head;
    /// Exactly one of these works on it.
    std::unique_ptr<query::RequestExecution> execution;
    std::unique_ptr<query::SharedGather> shared;
    std::optional<PartialJob> partial;
    /// As one of the mergers of its shards, this gateway may hold so many connections to each leaf.
    size_t merger_connections = 0;
    Timestamp wake{};
    std::vector<SubRequestId> out;
    /// If it is shared: its groups, and the questions asked.
    std::vector<query::ShardRange> ranges;
    std::vector<uint64_t> questions;
    /// How many groups each merger was asked for, by address.
    std::map<std::string, size_t> given;
  };
  /// A request that came before any route was known, or whose route or key is not known and may be
  /// new.
  struct EarlyRequest {
    std::shared_ptr<const PayloadRequest> request;
    Timestamp arrived;
    /// Refused then.
    Timestamp until;
    /// Of the routes that were known; zero: none were.
    uint64_t document_version = 0;
  };
  /// A request whose tenant's limit is being asked for.
  struct HeldRequest {
    std::shared_ptr<const PayloadRequest> request;
    Timestamp arrived;
  };
  struct ControlLink {
    Timestamp next_presence{};
    Timestamp last_heard{};
    Timestamp last_reset{};
    bool up = false;
    /// In this gateway's zone.
    bool near = false;
    /// Since when it has said that it is in touch with a quorum; unset: it says that it is not.
    std::optional<Timestamp> current_since;
    /// Not followed for its nearness before this: it fell silent when it was.
    Timestamp avoided_until{};
  };

  void OnConfigFeed(Timestamp now, const wire::ConfigFeed& feed);
  void OnLeafFeed(Timestamp now, const std::string& address, const wire::LeafFeed& feed);
  void AdoptDocument(Timestamp now);
  void SyncPool(Timestamp now);
  /// Limits what goes to cold leafs.
  void SyncCold(Timestamp now);
  /// Parts of what cold leafs of each service bear that are this gateway's, where the gathers over
  /// the service are shared.
  std::map<std::string, double> ColdPartsOfMergers();
  /// The same for a leaf that any gateway may send to: a few of them do.
  double ColdPartOf(const std::string& leaf, double per_second) const;
  /// Until when a leaf counts as cold; zero: it does not.
  Timestamp ColdUntil(const wire::LeafRecord& record, const routing::ServiceSpec& service) const;
  void GreetControl(Timestamp now);
  Duration PresenceInterval(Timestamp now, const std::string& address) const;
  /// Turns to a control machine that is there, if the one asked for the first routes is not.
  void TurnToLiveControl(Timestamp now);
  /// Follows a control machine of the own zone, if there is one that has been in touch with a
  /// quorum for a while: what it sends crosses no zone.
  void TurnToNearControl(Timestamp now);
  /// Takes note if the near control machine that was followed has been left for its silence.
  void NoteNearControlLeft(Timestamp now);
  void AddControl(const std::string& address);
  void SetLink(const std::string& address, bool up);
  wire::Envelope Presence(const std::string& address) const;

  /// @param homes regions whose leafs alone may be asked; empty: any.
  const Target& TargetOf(const std::vector<std::string>& services,
                         const std::set<std::string>& homes);
  /// Usable leafs of a service in these regions.
  std::vector<std::string> LeafsIn(const std::set<std::string>& homes,
                                   const std::string& service) const;
  bool IsHome(const std::set<std::string>& homes, const std::string& zone) const {
    return homes.empty() || homes.contains(options_.regions.Of(zone));
  }
  /// @param allowance this gateway's part of the extra sub-requests beyond the share.
  balance::ExtraLoadLimit* BudgetOf(const std::string& service, double allowance);
  /// The part of a gateway that is none of the service's mergers.
  double OrdinaryAllowance(bool shared) const;
  RouteRuntime& RuntimeOf(const std::string& route, Duration objective);
  policy::QueryPlan PlanFor(const routing::Route& route, const PayloadRequest& request) const;
  /// Time before its objective at which an answer has to leave.
  Duration AnswerMargin(const routing::Route& route, const PayloadRequest& request) const;
  /// What the client spent on finding and reaching this gateway, by the time that it still waits:
  /// clients of a route wait alike. Unset: it cannot be told.
  std::optional<Duration> SpentByClient(const routing::Route& route,
                                        const PayloadRequest& request) const;
  size_t ConnectionShare(const std::string& service) const;
  size_t ConnectionsOf(const std::string& service) const;
  uint32_t SharingGateways() const;
  void HoldEarly(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request,
                 Timestamp arrived);
  void RefuseEarly(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request);
  /// Begins anew with the early requests once it is known what to do with them, and refuses those
  /// that waited long enough.
  void ReleaseEarly(Timestamp now);
  /// Whether a route or key that is not known here is not in force, or only since a moment ago.
  bool RefusalsProven(Timestamp now) const {
    return subscriber_.Age(now) <= options_.knobs.refusal_proof_age;
  }
  /// Its path or key is not known here: refused if that is proved, else it waits for proof. Without
  /// a key it waits for nothing.
  void RefuseUnknown(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request,
                     Timestamp arrived, ResultCode code);
  /// When the keys in force here were last proved to be those that operators were told of.
  Timestamp KeysProvenAt() const;
  /// The limit allows it: starts it, unless it is not allowed any more.
  void BeginHeld(Timestamp now, RequestId id, const HeldRequest& held);
  /// Carries out what the limits of tenants ask for.
  void CollectEntry(Timestamp now);
  void TellLimitsOfGateways(Timestamp now);
  // Requests that end the leafs that run them.
  /// Takes over which requests are stopped, and stops those in progress.
  void TakeQuarantine(Timestamp now);
  void StopQuarantined(Timestamp now, RequestId id);
  void WatchRun(Timestamp now, const Active& active, const LeafSend& send,
                const std::string& service);
  /// Tells every control machine what was seen since the last time.
  void ReportRuns(Timestamp now);
  /// Execution options for a request: one that lost leafs before is tried at one of them first.
  query::ExecutionOptions ExecutionOptionsFor(Timestamp now, const PayloadRequest& request) const;

  /// Where a service has no usable leaf, reports that wait take effect at once.
  void MergeForLackOfLeafs(Timestamp now, const std::vector<std::string>& services);
  void StartExecution(Timestamp now, RequestId id, const routing::Route& route,
                      std::shared_ptr<const PayloadRequest> request, const tenants::Tenant* tenant,
                      Timestamp arrived);
  void Collect(Timestamp now, RequestId id);
  void CollectSends(Timestamp now, Active* active, RequestId id,
                    const query::ExecutionActions& actions);
  /// Lets whatever works on the request go on.
  void Advance(Timestamp now, RequestId id);

  // Sharing a request's shards with other gateways: as the one that the client reached.
  /// Groups that the shards of a route are cut into for other gateways; 1: none is asked.
  size_t GroupsOf(const routing::Route& route) const;
  /// How much of the objective is left to gateways from a request's arrival on: what the client has
  /// spent, the way in both directions and what cannot be seen are off. Unset: it cannot be told.
  std::optional<Duration> LeftToGateways(const routing::Route& route,
                                         const PayloadRequest& request) const;
  /// Decides when an answer that lacks parts goes out by what was learnt, where there is enough to
  /// go by.
  void SetLearntDue(const Active& active, query::SharedGather* shared);
  /// As PlanFor(), but the answer is due earlier by the time that the words of all mergers take.
  policy::QueryPlan SharedPlanFor(const routing::Route& route, const PayloadRequest& request,
                                  size_t groups) const;
  /// Mergers report what is in this long before an answer may be due: by the way to them and back
  /// and by the time that their words take.
  Duration ReportLead(size_t groups) const;
  /// @return false if it cannot be shared or need not be.
  bool StartShared(Timestamp now, RequestId id, Active* active, Timestamp arrived);
  void CollectShared(Timestamp now, RequestId id);
  void Ask(Timestamp now, const Active& active, const query::GroupQuestion& question);
  void CancelQuestion(const Active& active, const query::GroupCancel& cancel);
  void AnswerShared(Timestamp now, RequestId id, const Active& active,
                    query::SharedOutcome outcome);

  // The same as the one that merges a group.
  void OnPartialQuery(Timestamp now, PeerSessionId session, const wire::PartialQuery& query,
                      Timestamp arrived);
  /// Begins the work on a question.
  void StartPartial(Timestamp now, PeerSessionId session, const wire::PartialQuery& query,
                    Timestamp arrived);
  void OnPartialConfirm(Timestamp now, PeerSessionId session, const wire::PartialConfirm& confirm);
  void OnPartialCancel(Timestamp now, PeerSessionId session, const wire::PartialCancel& cancel);
  void StopPartial(Timestamp now, RequestId id, bool stop_work);
  void CollectPartial(Timestamp now, RequestId id, const std::optional<query::Answer>& answer);
  wire::PartialAnswer TakePartialWord(PartialJob* job, wire::PartialStage stage);
  void SendWord(PeerSessionId session, wire::PartialAnswer word, int priority);
  /// A group by the document that is held here.
  struct GroupOfRoute {
    const routing::Route* route = nullptr;
    std::vector<query::ShardRange> ranges;
    size_t index = 0;
  };
  /// The group that a question is about; another document than the root's may cut the shards
  /// otherwise: it is none of ours then.
  std::optional<GroupOfRoute> FindGroup(const wire::PartialQuery& query) const;
  /// Gateways that own the group, this one among them; zero: it is none of them.
  size_t FellowOwners(const GroupOfRoute& group);
  /// How many of its shards the whole gather can do without.
  static size_t MayMissOf(const GroupOfRoute& group, const std::string& request_id);
  void Answer(Timestamp now, RequestId id, const Active& active, const query::Answer& answer);
  void Refuse(Timestamp now, RequestId id, std::shared_ptr<const PayloadRequest> request,
              ResultCode code, Duration retry_after);
  /// Lets requests go on whose time has come, the more urgent first.
  void WakeRequests(Timestamp now);
  void Schedule(RequestId id, Timestamp wake);
  void Remove(RequestId id);

  GatewayOptions options_;
  const routing::DocumentReader* documents_;
  node::ConfigSubscriber subscriber_;
  node::IdSource ids_;
  LeafView view_;
  /// What the limits of cold leafs were worked out from, and until when any of them holds.
  struct ColdBasis {
    uint64_t words = 0;
    uint64_t merges = 0;
    uint64_t document_version = 0;
    uint64_t peer_changes = 0;
    bool operator==(const ColdBasis&) const = default;
  };
  ColdBasis cold_basis_;
  /// Whether any service says what its leafs bear while they are cold.
  bool limits_cold_leafs_ = false;
  balance::LeafPool pool_;
  PoolKeeper keeper_;
  std::shared_ptr<const routing::RouteTable> table_;
  /// The newest document means nothing to this program: which keys it took away is not known.
  bool document_unread_ = false;
  std::map<std::string, RouteRuntime> runtimes_;
  std::map<std::string, std::unique_ptr<balance::SlidingWindowBudget>> budgets_;
  struct TargetKey {
    std::vector<std::string> services;
    std::set<std::string> homes;
    auto operator<=>(const TargetKey&) const = default;
  };
  std::map<TargetKey, Target> targets_;
  std::vector<std::string> control_;
  std::map<std::string, ControlLink> links_;
  /// The control machine that is followed for its nearness; empty: none is.
  std::string near_control_;
  uint32_t gateways_ = 1;
  PeerView peers_;
  Timestamp peers_changed_{};
  GroupOwners owners_;
  std::unordered_map<uint64_t, RequestId> request_of_question_;
  std::map<std::pair<PeerSessionId, uint64_t>, RequestId> partials_;
  /// A question that is worked on only if it is confirmed.
  struct StandBy {
    wire::PartialQuery query;
    Timestamp arrived{};
  };
  std::map<std::pair<PeerSessionId, uint64_t>, StandBy> stand_by_;
  uint64_t partials_begun_ = 0;
  quarantine::RunWitness witness_;
  quarantine::ReportSender reports_;
  /// What passes between the moment at which an answer is due and its last byte.
  RecentDurations answer_lag_;
  std::set<RequestIdentity> quarantined_;
  Timestamp runs_reported_{};
  admission::EntryGate gate_;
  std::map<RequestId, HeldRequest> held_;
  bool draining_ = false;
  Timestamp started_;
  std::map<RequestId, Active> active_;
  std::map<RequestId, EarlyRequest> early_;
  std::set<std::pair<Timestamp, RequestId>> wakes_;
  std::unordered_map<SubRequestId, RequestId> request_of_;
  GatewayOutput output_;
};

}  // namespace pumicedyke::gateway
