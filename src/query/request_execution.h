// Executes one request from admission to answer: pins a snapshot, sends a sub-request for every
// shard, hedges and retries within the budget, merges replies, decides when to stop, and reports
// which shards are covered and what may have run. Events in, actions out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "balance/extra_load_budget.h"
#include "balance/latency_tracker.h"
#include "balance/leaf_pool.h"
#include "common/types.h"
#include "config/model.h"
#include "policy/policy_program.h"
#include "query/extra_load_priority.h"
#include "query/messages.h"

namespace pumicedyke::query {

/// Options for executing a request; the defaults are those of the product. Other values serve as
/// baselines in benchmarks and in simulations that show what a check prevents.
struct ExecutionOptions {
  /// Rejects replies computed on another snapshot than the pinned one.
  bool snapshot_pin = true;
  /// Drops the second reply for a shard.
  bool coverage_dedupe = true;
  /// Treats a request as possibly run once bytes were handed to the connection.
  bool sent_tracking = true;
  /// Subtracted from the remaining time to get the budget of the leaf.
  Duration hop_latency = Milliseconds(1);
  /// Interval for retrying unsent sub-requests and for calling a decide() program.
  Duration poll_interval = Milliseconds(2);
  /// Compares leafs by their latency relative to the median of requests of the same kind; otherwise
  /// by one latency over all kinds.
  bool expect_median = false;
  /// With `expect_median`: a sub-request is overdue once it has been running for this many times
  /// the expected latency, but not before `min_overdue`, since stopping it costs the leaf a new
  /// connection.
  int overdue_factor = 2;
  Duration min_overdue = Milliseconds(50);
  /// Hedges after this many times the median latency, if that is earlier than the quantile of the
  /// plan: with enough slow leafs the quantile is itself a slow latency. Zero: the quantile alone
  /// decides.
  double hedge_median_factor = 0;
  /// Also charges the budget for sub-requests that replace refused ones.
  bool charge_replacements = false;
  /// Retries a leaf that refused although it has room, after a short pause, as long as the budget
  /// and its spending order (extra_load_priority.h) allow it. For gathers, whose other shards may
  /// have run meanwhile; otherwise the refusal is returned to the caller at once.
  bool retry_refusing_leafs = false;
  /// With `retry_refusing_leafs`: rank of this request among those that compete for the budget.
  double rank = 0;
  /// With `retry_refusing_leafs`: shards that may stay without a result.
  size_t max_missing = 0;
  /// After an attempt that may have run has failed, another leaf is waited for until the end of the
  /// plan's wait, or shortly if that is over: the failure is an answer, and the caller may try
  /// elsewhere. Otherwise until the deadline.
  bool limit_retry_wait = false;
  /// Charges the first sub-request of a shard like a hedge, since another gateway may have sent one
  /// already.
  bool charge_first = false;
  /// Makes shard results available through TakeNewShardResults() as they arrive.
  bool report_shard_results = false;
  /// Sends no further attempt for a shard after one that may have run, until ReleaseAttempts() is
  /// called.
  bool hold_attempts = false;
  /// The request may crash the leafs that run it. Until a leaf has answered, sub-requests are sent
  /// to one leaf after the other, and the request fails once `max_lost_probes` of them were lost.
  bool on_probation = false;
  /// Above one, since a single connection may break by chance.
  size_t max_lost_probes = 2;
  /// A request on probation fails once it has been so for this long and no probe is running: none
  /// of its leafs accepts one.
  Duration max_probe_wait = Milliseconds(100);
  /// Earlier attempts of the request lost runs because their leafs disconnected, and none has
  /// succeeded since: the request may use only part of the budget.
  bool has_uncleared_losses = false;
  /// The request is put on probation once its runs at this many leafs were lost and none succeeded.
  size_t losses_before_probation = 3;
  /// Baseline: retries after this timeout without a budget; zero means off.
  Duration naive_retry_timeout{};
  /// Baseline: hedges after this delay without a budget; zero means off.
  Duration fixed_hedge_delay{};
};

/// State shared by the executions of one service on one node.
struct ServiceContext {
  balance::LeafPool* pool = nullptr;
  balance::ExtraLoadLimit* budget = nullptr;
  balance::LatencyTracker* latencies = nullptr;
  std::function<SubRequestId()> next_id;
  /// Budgets of the shards where each shard is a service of its own, in the order of the shards of
  /// the snapshot. Empty: all shards use `budget`.
  std::vector<balance::ExtraLoadLimit*> shard_budgets = {};
};

struct SubRequestCancel {
  SubRequestId id;
  std::string leaf;
  std::string origin = {};
  /// The sub-request is overdue: stopping it frees more than it costs.
  bool overdue = false;
};

struct ExecutionActions {
  std::vector<LeafRequest> sends;
  std::vector<SubRequestCancel> cancels;
  std::optional<Answer> answer;
};

class RequestExecution {
 public:
  /// @param program may be null (no decide()); outlives the execution.
  RequestExecution(CallerRequest request, policy::QueryPlan plan, policy::PolicyProgram* program,
                   std::shared_ptr<const config::Service> service,
                   const config::PublishedSnapshot& snapshot, ServiceContext context,
                   ExecutionOptions options, Timestamp now);
  ~RequestExecution();
  RequestExecution(const RequestExecution&) = delete;
  RequestExecution& operator=(const RequestExecution&) = delete;

  /// Sends what can be sent, hedges, and answers when it is due.
  void Advance(Timestamp now);
  void OnReply(Timestamp now, const LeafReply& reply);
  /// Stops sending and answers with the current results; `code` is the failure code if they are not
  /// enough.
  void Stop(Timestamp now, ResultCode code);
  /// Ends `hold_attempts`.
  void ReleaseAttempts(Timestamp now);
  /// The process stops: the request is answered by `answer_by`. As long as nothing has run, other
  /// processes may serve it, so it waits only shortly for a leaf. Has an effect at the next
  /// Advance(), which must follow.
  void OnStopping(Timestamp now, Timestamp answer_by);

  /// Returns true when every replica of a shard reported that it does not hold the snapshot, and
  /// the whole request may restart on another snapshot.
  bool NeedsOtherSnapshot() const { return needs_other_snapshot_; }
  SnapshotId snapshot() const { return snapshot_id_; }
  const std::string& service_name() const { return request_.service; }
  /// Drops all merged results and starts on `snapshot`; at most once.
  void Restart(Timestamp now, std::shared_ptr<const config::Service> service,
               const config::PublishedSnapshot& snapshot);

  /// Continues on the pinned snapshot because there is no other one to restart on.
  void DeclineRestart(Timestamp now);

  ExecutionActions TakeActions();
  /// Returns the shard results since the last call; requires `report_shard_results`.
  std::vector<ShardPayload> TakeNewShardResults() { return std::exchange(new_shard_results_, {}); }
  /// Returns the shards abandoned since the last call; requires `report_shard_results`.
  std::vector<MissingShard> TakeNewMissingShards() {
    return std::exchange(new_missing_shards_, {});
  }
  /// Returns when Advance() must be called next if no reply arrives before.
  Timestamp NextWake(Timestamp now) const;

  bool answered() const { return answered_; }
  /// Returns whether sub-requests of unrepeatable work have no known outcome yet after the answer
  /// was sent.
  bool HasUnknownOutcome() const;
  /// Returns what is currently known about the execution of the work.
  RunState CurrentRunState() const;
  /// Returns the answer for the current state; also used for recording a late outcome in the
  /// ledger.
  Answer CurrentAnswer(Timestamp now) const;
  const policy::QueryPlan& plan() const { return plan_; }
  /// Returns all sub-requests so far, ordered by shard.
  std::vector<AttemptRecord> Attempts() const;
  Timestamp started() const { return started_; }
  /// Returns whether any sub-request is running.
  bool running() const { return running_ > 0; }
  /// Returns for how long no sub-request was running.
  Duration WaitedAt(Timestamp now) const;
  bool has_idempotency_key() const { return !request_.idempotency_key.empty(); }
  /// Abandons all running sub-requests, for instance when the wait for a late outcome ends.
  void AbandonAll(Timestamp now, bool timed_out);

 private:
  /// Tolerance for comparing coverage shares.
  static constexpr double kCoverageEpsilon = 1e-9;

  enum class AttemptState { kPossiblyRunning, kRefused, kFailed, kLost, kDone };
  struct Attempt {
    SubRequestId id;
    std::string leaf;
    Timestamp sent;
    AttemptState state = AttemptState::kPossiblyRunning;
    std::optional<Timestamp> ended = std::nullopt;
    /// As LeafReply::failure.
    std::string failure = {};
    /// Sent on probation.
    bool probe = false;
    /// Refused by a leaf with room, which may accept the next attempt.
    bool transient_refusal = false;
  };
  struct ShardProgress {
    config::Shard shard;
    std::vector<Attempt> attempts;
    std::set<std::string> tried;
    std::vector<ResultItem> results;
    std::shared_ptr<const LeafPayload> payload;
    std::shared_ptr<const LeafPayload> failure;
    /// Whether `failure` is the response of a leaf that did not run the request.
    bool failure_is_refusal = false;
    bool covered = false;
    bool abandoned = false;
    bool waiting = false;
    /// No sub-request is running, and the budget denied the last attempt to send one.
    bool budget_denied = false;
    MissingReason reason = MissingReason::kNotSent;
    size_t not_held = 0;
    /// Rounds in which all replicas were tried without success, and the start of the next one.
    int rounds = 0;
    Timestamp next_round{};
  };

  void PinSnapshot(const config::PublishedSnapshot& snapshot);
  void AbandonShard(ShardProgress* shard);
  void SetBudgetDenied(ShardProgress* shard, bool budget_denied);
  /// Abandons the shards that the budget denied once no other shard is pending. A retry by the
  /// caller starts with first sub-requests, which need no budget.
  void AbandonBudgetDenied();
  Timestamp ShardWake(Timestamp now, const ShardProgress& shard) const;
  bool IsRequested(ShardId id) const;
  void AdvanceShard(Timestamp now, ShardProgress* shard);
  enum class SendKind {
    kFirst,
    /// Sent after attempts that all provably never started.
    kReplacement,
    /// A hedge, or a retry after an attempt that may have run.
    kExtra,
  };
  enum class SendResult { kSent, kNoLeaf, kBudgetDenied };
  bool TryChargeBudget(Timestamp now, const ShardProgress& shard, SendKind kind) const;
  /// Returns whether a sub-request of this kind is charged to the budget.
  bool IsCharged(SendKind kind) const;
  /// Returns the part of the budget that this request may use.
  double BudgetFraction() const;
  balance::ExtraLoadLimit* BudgetOf(const ShardProgress& shard) const;
  /// Returns the number of attempts that ran or may have run. Refused attempts cost the leafs no
  /// work, so the limit on attempts does not count them.
  static uint32_t PossibleRuns(const ShardProgress& shard);
  bool MayAttemptAgain(const ShardProgress& shard) const;
  /// Returns whether as many attempts were made as may run, some of which were refused. Transient
  /// refusals are not counted.
  bool RefusalLimitReached(const ShardProgress& shard) const;
  /// Returns whether no leaf has answered yet and the request may crash leafs.
  bool OnProbation() const;
  /// Returns whether another probe may be sent while on probation.
  bool MayProbe(Timestamp now) const;
  void RecordLost(const Attempt& attempt);
  /// Returns whether the maximum number of probes was lost, or no leaf accepted one in time:
  /// nothing more is sent.
  bool FailedProbation() const {
    return !proven_harmless_ && (probes_lost_ >= options_.max_lost_probes || no_leaf_for_probe_);
  }
  /// Ends a probation without a running probe that has lasted too long.
  void LimitProbation(Timestamp now);
  /// Returns whether further attempts for the shard are held back (`hold_attempts`).
  bool IsHeld(const ShardProgress& shard) const;
  /// Returns whether the last attempt was refused by a leaf with room, so that retries follow the
  /// spending order.
  bool LastRefusalTransient(const ShardProgress& shard) const;
  /// Returns whether every leaf of the shard refuses often.
  bool AllReplicasRefuseOften(Timestamp now, const ShardProgress& shard) const;
  /// Returns whether this request qualifies for the budget of such shards; decided at the first
  /// call.
  bool QualifiesForBudget(Timestamp now);
  bool ShouldRetryRefused(Timestamp now, const ShardProgress& shard);
  bool MayHedge(Timestamp now, const ShardProgress& shard) const;
  /// Starts the next round over the replicas, after a pause.
  void StartNextRound(Timestamp now, ShardProgress* shard);
  SendResult SendTo(Timestamp now, ShardProgress* shard, SendKind kind);
  void SendPrimaryOrRetry(Timestamp now, ShardProgress* shard);
  void MaybeHedge(Timestamp now, ShardProgress* shard);
  void MaybeNaiveRetry(Timestamp now, ShardProgress* shard);
  /// Returns the usual latency of a sub-request of this kind; zero if unknown.
  Duration ExpectedLatency() const;
  Duration HedgeDelay() const;
  bool Overdue(Timestamp now, const Attempt& attempt) const;
  void SetWaiting(ShardProgress* shard, bool waiting);
  bool AllReplicasTriedOrLeaving(Timestamp now, const ShardProgress& shard) const;
  /// Returns until when a leaf is waited for that takes the next attempt.
  Timestamp WaitLimit(const ShardProgress& shard) const;
  /// Returns whether no leaf of the shard takes an attempt before WaitLimit(), as far as known.
  bool NoLeafInTime(Timestamp now, const ShardProgress& shard) const;
  /// Abandons a shard that no leaf takes in time.
  void AbandonUnreachable(Timestamp now, ShardProgress* shard);
  /// Abandons all of them before anything is sent for the others: the request may be out of reach.
  void AbandonShardsWithoutLeafs(Timestamp now);
  bool AnyUntriedReady(Timestamp now, const ShardProgress& shard) const;
  bool MayTryReplicasAgain(const ShardProgress& shard) const;
  size_t ActiveAttempts(const ShardProgress& shard) const;
  /// Records that an attempt is no longer running.
  void EndAttempt(Timestamp now, Attempt* attempt, AttemptState state);
  void Merge(Timestamp now, ShardProgress* shard, const LeafReply& reply);
  void HandleRefusal(ShardProgress* shard, const LeafReply& reply);
  void CancelOthers(Timestamp now, ShardProgress* shard, SubRequestId winner);
  void Evaluate(Timestamp now);
  bool PolicyAllowsAnswer(Timestamp now);
  void Finish(Timestamp now, ResultCode failure);
  /// Makes the leafs stop what was cancelled, however long it has been running.
  void StopCancelledWork();
  ResultCode FinalCode(const Coverage& coverage, ResultCode failure) const;
  Coverage CurrentCoverage() const;

  CallerRequest request_;
  policy::QueryPlan plan_;
  policy::PolicyProgram* program_;
  std::shared_ptr<const config::Service> service_;
  ServiceContext context_;
  ExecutionOptions options_;
  Timestamp started_;
  Timestamp deadline_;
  /// What the request fails with at the deadline.
  ResultCode deadline_code_ = ResultCode::kDeadlineExceeded;
  /// Until when a leaf is waited for that is the first to run the request.
  Timestamp wait_limit_ = Timestamp::max();
  SnapshotId snapshot_id_;
  std::vector<ShardProgress> shards_;
  /// Index of the shard that a sub-request was sent for; sub-requests of an earlier snapshot are
  /// removed.
  std::map<SubRequestId, size_t> shard_of_;
  size_t covered_ = 0;
  size_t abandoned_ = 0;
  /// Shards that wait only for budget.
  size_t budget_denied_ = 0;
  /// Shards abandoned because the budget denied a sub-request.
  uint32_t abandoned_for_budget_ = 0;
  /// No replica of some shard holds the pinned snapshot.
  bool snapshot_unavailable_ = false;
  /// Lower bound of the time at which a shard must be advanced next.
  Timestamp wake_{};
  uint32_t sent_ = 0;
  uint32_t extra_ = 0;
  /// Number of running sub-requests.
  size_t running_ = 0;
  /// How long none was running, up to `idle_since_`, and since when none is; unset: some are.
  Duration waited_{};
  std::optional<Timestamp> idle_since_;
  bool restarted_ = false;
  RunState run_before_restart_ = RunState::kNotRun;
  bool needs_other_snapshot_ = false;
  bool answered_ = false;
  /// A leaf has answered successfully, so the request does not crash leafs.
  bool proven_harmless_ = false;
  /// Runs whose connection to the leaf closed without a response.
  size_t lost_ = 0;
  /// Those among them that were probes.
  size_t probes_lost_ = 0;
  /// Since when the request is on probation.
  std::optional<Timestamp> probation_started_;
  bool no_leaf_for_probe_ = false;
  ExecutionActions actions_;
  /// Cached result of QualifiesForBudget().
  std::optional<bool> qualifies_for_budget_;
  std::vector<ShardPayload> new_shard_results_;
  std::vector<MissingShard> new_missing_shards_;
};

}  // namespace pumicedyke::query
