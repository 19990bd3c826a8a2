// A node, the process beside a caller: admits requests, runs their executions, follows the
// configuration, and claims unrepeatable work in the ledger. No socket, clock or thread; the owner
// passes events in and delivers the output.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "admission/entry_gate.h"
#include "balance/admission_throttle.h"
#include "balance/leaf_pool.h"
#include "node/config_subscriber.h"
#include "node/held_answers.h"
#include "node/id_source.h"
#include "node/ledger_client.h"
#include "policy/policy_program.h"
#include "quarantine/report_sender.h"
#include "quarantine/run_tracker.h"
#include "quarantine/trial_client.h"
#include "query/messages.h"
#include "query/request_execution.h"
#include "wire/messages.h"

namespace pumicedyke::node {

struct NodeOptions {
  SubscriberOptions subscriber;
  query::ExecutionOptions execution;
  balance::BalanceKnobs knobs;
  uint64_t incarnation = 1;
  uint64_t seed = 1;
  /// Requests in progress beyond which new ones are refused.
  size_t max_in_progress = 20000;
  /// Refuses requests once the configuration has not been proved current for this long, as changes
  /// must be in force everywhere within seconds. Zero: continues with the last known configuration.
  Duration max_config_age{};
  /// Admits no request before the platform's list was read or `knobs.first_report_timeout` has
  /// passed.
  bool wait_for_platform = false;
  /// How long a late outcome of unrepeatable work is awaited after the answer.
  Duration late_outcome_timeout = Seconds(30);
  /// Off for baselines in benchmarks.
  bool admission_control = true;
  /// Off only in simulations that show what the checks prevent.
  bool reply_id_check = true;
  bool ledger_before_dispatch = true;
  bool record_before_answer = true;
  bool leaving_mark = true;
  /// Retry delay for requests that the fleet has stopped.
  Duration retry_when_quarantined = Seconds(60);
  /// Retry hint when too many requests wait for a trial.
  Duration retry_without_trial = Milliseconds(500);
  quarantine::RunTrackerOptions run_tracker;
  /// Replaces the policies of all services in benchmarks.
  std::optional<policy::QueryPlan> plan_override;
};

struct NodeOutput {
  std::vector<query::LeafRequest> sends;
  std::vector<query::SubRequestCancel> cancels;
  std::vector<CallerAnswer> answers;
  /// For the control machine control().
  std::vector<wire::Envelope> control;
};

struct NodeCounters {
  uint64_t requests = 0;
  uint64_t answered_ok = 0;
  uint64_t answered_partial = 0;
  uint64_t refused = 0;
  uint64_t sub_requests = 0;
  uint64_t extra_sub_requests = 0;
  uint64_t snapshot_restarts = 0;
  uint64_t late_replies = 0;
};

/// What a node works on, for the log.
struct WorkInProgress {
  /// Requests that are not answered, and answered ones whose outcome is awaited.
  size_t requests = 0;
  /// Answers that wait for the ledger.
  size_t held_answers = 0;
  /// Requests to the ledger that it has not answered.
  size_t ledger_requests = 0;
};

class NodeServer {
 public:
  NodeServer(NodeOptions options, Timestamp now);

  void Tick(Timestamp now);
  /// Admits or refuses a request. Its answer is output under `id`, exactly once.
  void OnCallerRequest(Timestamp now, RequestId id, const query::CallerRequest& request);
  /// Handles the disconnection of the caller: repeatable work is cancelled.
  void OnCallerDisconnected(Timestamp now, RequestId id);
  void OnLeafReply(Timestamp now, const query::LeafReply& reply);
  /// Handles a health report of a leaf, which says whether the leaf is draining.
  void OnLeafHealth(Timestamp now, const std::string& leaf, bool draining);
  /// Sets the leafs that the platform's list names as leaving.
  void OnPlatformLeaving(const std::set<std::string>& leafs);
  /// @return whether the message is meant for a node of this cluster.
  bool OnControlMessage(Timestamp now, const wire::Envelope& envelope);
  void OnControlDisconnected(Timestamp now);

  NodeOutput TakeOutput();

  /// Starts the planned stop; requests that still arrive are served.
  /// @param answer_by time by which all are answered and Drained() holds, whatever the leafs and
  /// the control machines do; unset: no limit.
  void StartDraining(Timestamp now, std::optional<Timestamp> answer_by);
  /// Returns true when no request is in progress and every ledger outcome is recorded, or was not
  /// by `answer_by`, so that a stopping process may exit.
  bool Drained() const;
  /// Returns the latest time for the next call of Tick().
  Timestamp NextWake(Timestamp now) const;

  size_t control() const { return subscriber_.control(); }
  /// Returns whether the configuration and, with `wait_for_platform`, the platform's list are
  /// known.
  bool Ready(Timestamp now) const;
  const config::ConfigState& config() const { return subscriber_.config(); }
  const NodeCounters& counters() const { return counters_; }
  const balance::LeafPool& pool() const { return pool_; }
  /// Reports of lost runs that wait for an acknowledgement.
  const quarantine::ReportSender& reports() const { return reports_; }
  size_t in_progress() const { return active_.size(); }
  WorkInProgress Work() const { return {active_.size(), held_.size(), ledger_.size()}; }
  Duration ConfigAge(Timestamp now) const { return subscriber_.Age(now); }

 private:
  /// State of a service on this node, derived from its configuration.
  struct ServiceRuntime {
    std::shared_ptr<const config::Service> service;
    std::shared_ptr<policy::PolicyProgram> program;
    std::string policy_source;
    std::shared_ptr<balance::ExtraLoadBudget> budget;
    std::shared_ptr<balance::LatencyTracker> latencies;
    std::shared_ptr<balance::AdmissionThrottle> throttle;
  };
  struct Active {
    query::CallerRequest request;
    std::shared_ptr<policy::PolicyProgram> program;
    std::unique_ptr<query::RequestExecution> execution;
    std::vector<SubRequestId> sub_requests;
    /// Set for unrepeatable work.
    std::string claim_owner;
    std::string ledger_key;
    Timestamp deadline{};
    Timestamp late_outcome_deadline{};
    bool claim_pending = false;
    /// Whether the request waits for the decision on its trial.
    bool trial_pending = false;
    /// Number of the trial granted to a suspect request; zero: none.
    uint32_t trial = 0;
    bool answered = false;
    policy::QueryPlan plan;
    SnapshotId snapshot;
  };

  // Configuration.
  void OnConfigFeed(Timestamp now, const wire::ConfigFeed& feed);
  void ApplyConfig(Timestamp now);
  void CompilePolicy(ServiceRuntime* runtime);
  void ApplyTenants();

  // Admission.
  absl::StatusOr<policy::QueryPlan> PlanFor(const ServiceRuntime& runtime,
                                            const query::CallerRequest& request) const;
  /// Decides whether the caller is admitted, with the same check as gateways.
  admission::EntryDecision CheckEntry(Timestamp now, RequestId id,
                                      const query::CallerRequest& request);
  std::optional<Duration> RetryDelayIfOverloaded(Timestamp now, const policy::QueryPlan& plan,
                                                 const query::CallerRequest& request,
                                                 const config::PublishedSnapshot& snapshot,
                                                 balance::AdmissionThrottle* throttle);
  /// Starts an admitted request: claims its key, if it has one that counts, and executes it.
  void StartAdmitted(Timestamp now, RequestId id, Active* active);
  void StartClaim(Timestamp now, RequestId id, Active* active);
  void StartExecution(Timestamp now, RequestId id, Active* active);
  void Refuse(Timestamp now, RequestId id, ResultCode code, const std::string& message,
              query::RunState run, Duration retry_after);

  // Requests that crash the leafs that run them.
  void TrackRun(Timestamp now, RequestId id, const Active& active, const query::LeafRequest& sent);
  bool IsSuspect(Timestamp now, const RequestIdentity& identity) const;
  uint64_t AttemptOf(RequestId id) const;
  void AskForTrial(Timestamp now, RequestId id, Active* active);
  void OnTrialReply(Timestamp now, const wire::TrialReply& reply);
  void OnTrialOutcome(Timestamp now, const quarantine::TrialOutcome& outcome);
  void RefuseTrial(Timestamp now, RequestId id, Duration retry_after);
  /// Sends questions, and refuses requests that have waited too long for a trial.
  void UpdateTrials(Timestamp now);
  /// Stops the requests in progress that the fleet has stopped.
  void StopQuarantined(Timestamp now);

  // The planned stop (node_stop.cc).
  /// Limits a request that is in progress when the stop begins.
  void LimitToStop(Timestamp now, RequestId id, Active* active);
  /// Returns when a request is answered at the latest while this node stops.
  Timestamp EndInStop(const Active& active) const;
  /// Refuses a request of which nothing was sent, unless it is before `limit`. @return whether it
  /// did.
  bool RefuseBeforeKill(Timestamp now, RequestId id, const query::CallerRequest& request,
                        Timestamp limit);

  // Progress.
  void OnLedgerVerdict(Timestamp now, const LedgerClient::Verdict& verdict);
  void OnClaimVerdict(Timestamp now, const LedgerClient::Verdict& verdict);
  void AnswerFromLedger(Timestamp now, RequestId id, const LedgerClient::Verdict& verdict);
  void CollectActions(Timestamp now, RequestId id);
  void RestartOnOtherSnapshot(Timestamp now, Active* active);
  /// Sends the answer, or holds it until the ledger has recorded the outcome.
  void SendOrHoldAnswer(Timestamp now, RequestId id, const Active& active, query::Answer answer);
  void RecordOutcome(Timestamp now, const Active& active);
  void Finish(Timestamp now, RequestId id, Active* active, query::Answer answer);
  void Remove(Timestamp now, RequestId id);
  void Schedule(RequestId id, Timestamp wake);
  std::optional<SubRequestId> MatchReply(const query::LeafReply& reply) const;

  NodeOptions options_;
  Timestamp started_;
  bool platform_known_ = false;
  /// Identifies this incarnation of the node. IDs of two nodes or two incarnations must never be
  /// confused, neither in the ledger nor at a leaf.
  std::string origin_;
  IdSource ids_;
  ConfigSubscriber subscriber_;
  admission::EntryGate gate_;
  /// Tenants of the configuration in force, in the form that the gate takes.
  std::shared_ptr<const routing::RouteTable> tenants_;
  uint64_t tenants_revision_ = 0;
  LedgerClient ledger_;
  HeldAnswers held_;
  balance::LeafPool pool_;
  quarantine::RunTracker run_tracker_;
  quarantine::ReportSender reports_;
  quarantine::TrialClient trials_;
  std::mt19937_64 random_;
  std::map<std::string, ServiceRuntime> services_;
  std::map<RequestId, Active> active_;
  std::map<SubRequestId, RequestId> request_of_;
  std::map<std::string, RequestId> claims_;
  using Wake = std::pair<Timestamp, RequestId>;
  std::priority_queue<Wake, std::vector<Wake>, std::greater<>> wakes_;
  std::map<RequestId, Timestamp> next_wake_;
  /// While this node stops before it is killed: when all requests must have been answered.
  Timestamp answer_by_ = Timestamp::max();
  /// The same for unrepeatable work, early enough for its outcome to be recorded.
  Timestamp settle_by_ = Timestamp::max();
  /// The ledger has not recorded everything by `answer_by_`.
  bool ledger_given_up_ = false;
  NodeCounters counters_;
  NodeOutput output_;
};

}  // namespace pumicedyke::node
