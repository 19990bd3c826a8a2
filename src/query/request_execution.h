// One caller's request from admission to answer: pins a snapshot, sends a sub-request for every
// shard, hedges and retries within the budget, merges replies, decides when to stop, and says
// truthfully what is covered and what may have run. Events in, actions out.
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
#include "query/extra_order.h"
#include "query/messages.h"

namespace pumicedyke::query {

/// How a request is executed; the defaults are the product's. The other settings exist for
/// baselines in benchmarks and for simulations that show what a check is for.
struct ExecutionOptions {
  /// Replies computed on another snapshot than the pinned one are refused.
  bool snapshot_pin = true;
  /// A shard's second reply is dropped.
  bool coverage_dedupe = true;
  /// Bytes handed to a connection count as possibly run.
  bool sent_tracking = true;
  /// The leaf's part of the deadline is shorter by this.
  Duration hop = Milliseconds(1);
  /// How often unsent sub-requests look for a free leaf, and a decide() program is asked.
  Duration poll = Milliseconds(2);
  /// Leafs are compared by their latencies over the median of the requests of the same kind;
  /// otherwise over one figure for all kinds.
  bool expect_median = false;
  /// With `expect_median`: a sub-request out this many times longer than expected is overdue, but
  /// not before it is out for `overdue_minimum`: stopping it costs the leaf a new connection.
  int overdue_factor = 2;
  Duration overdue_minimum = Milliseconds(50);
  /// A shard is asked a second time after this many times the median latency, if that comes before
  /// the plan's quantile: a quantile lies among the slow leafs once there are enough of them. Zero:
  /// by the quantile alone.
  double hedge_median_factor = 0;
  /// A sub-request that replaces a refused one is charged to the budget, too.
  bool charge_replacements = false;
  /// A leaf that refused although it has room is asked again after a short pause, as long as the
  /// budget and the order of spending (extra_order.h) allow it. For gathers, whose other shards may
  /// have run meanwhile; otherwise the caller hears of the refusal at once.
  bool ask_refusing_again = false;
  /// With `ask_refusing_again`: this request's place among those that compete for the budget.
  double rank = 0;
  /// With `ask_refusing_again`: shards that the request can do without.
  size_t may_miss = 0;
  /// Somebody else may have sent already: a shard's first sub-request is charged like a hedge.
  bool charge_first = false;
  /// Parts can be taken with TakeNewParts() as they come.
  bool report_parts = false;
  /// No shard is sent to again after an attempt that may have run, before ReleaseAttempts() is
  /// called.
  bool hold_attempts = false;
  /// The request may be one that ends the leafs that run it: until one of them has answered, it is
  /// tried at one after the other, and given up once it has lost `most_lost_probes` of these.
  bool on_probation = false;
  /// One may be lost by chance where connections break by themselves.
  size_t most_lost_probes = 2;
  /// Earlier attempts at the request lost runs with their leafs, and none has succeeded since: it
  /// leaves part of the allowance to others.
  bool accused = false;
  /// It goes on probation by itself once its runs at this many leafs were lost and none succeeded.
  size_t losses_before_probation = 3;
  /// Baseline: retries after this time-out without a budget; zero means off.
  Duration naive_retry_timeout{};
  /// Baseline: hedges after this delay without a budget; zero means off.
  Duration fixed_hedge_delay{};
};

/// What the executions of one service on one node share.
struct ServiceContext {
  balance::LeafPool* pool = nullptr;
  balance::ExtraLoadLimit* budget = nullptr;
  balance::LatencyTracker* latencies = nullptr;
  std::function<SubRequestId()> next_id;
  /// Where each shard is a service of its own: its budget, in the order of the snapshot's shards.
  /// Empty: all share `budget`.
  std::vector<balance::ExtraLoadLimit*> shard_budgets = {};
};

struct SubRequestCancel {
  SubRequestId id;
  std::string leaf;
  std::string origin = {};
  /// It is out for so long that its end is not near: stopping it frees more than it costs.
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

  /// Sends what can be sent, hedges, and answers if it is time.
  void Advance(Timestamp now);
  void OnReply(Timestamp now, const LeafReply& reply);
  /// Sends nothing more and answers with what there is; `code` says why if that is too little.
  void Stop(Timestamp now, ResultCode code);
  /// Ends `hold_attempts`.
  void ReleaseAttempts(Timestamp now);

  /// True when every replica of a shard said that it does not hold the snapshot and the whole
  /// request may start again on another one.
  bool NeedsOtherSnapshot() const { return needs_other_snapshot_; }
  SnapshotId snapshot() const { return snapshot_id_; }
  const std::string& service_name() const { return request_.service; }
  /// Drops everything merged so far and starts on `snapshot`; at most once.
  void Restart(Timestamp now, std::shared_ptr<const config::Service> service,
               const config::PublishedSnapshot& snapshot);

  /// There is no other snapshot to start on: goes on with what the pinned one gives.
  void DeclineRestart(Timestamp now);

  ExecutionActions TakeActions();
  /// Parts that came since the last call; with `report_parts` only.
  std::vector<ShardPayload> TakeNewParts() { return std::exchange(new_parts_, {}); }
  /// Shards that were given up since the last call; with `report_parts` only.
  std::vector<MissingShard> TakeNewGaps() { return std::exchange(new_gaps_, {}); }
  /// When Advance() must be called next, if no reply comes before.
  Timestamp NextWake(Timestamp now) const;

  bool answered() const { return answered_; }
  /// Unrepeatable work: sub-requests without a known outcome after the answer went out.
  bool HasUnknownOutcome() const;
  /// What is certain at this moment about the work.
  RunState CurrentRunState() const;
  /// The answer as it would be now; for the ledger's record of a late outcome.
  Answer Snapshot(Timestamp now) const;
  const policy::QueryPlan& plan() const { return plan_; }
  /// Every sub-request so far, shard by shard.
  std::vector<AttemptRecord> Attempts() const;
  Timestamp started() const { return started_; }
  bool has_idempotency_key() const { return !request_.idempotency_key.empty(); }
  /// Gives up what is still out, for instance when a late outcome is no longer waited for.
  void AbandonAll(Timestamp now, bool timed_out);

 private:
  /// Shares are compared with this much tolerance.
  static constexpr double kCoverageEpsilon = 1e-9;

  enum class AttemptState { kPossiblyRunning, kRefused, kFailed, kLost, kDone };
  struct Attempt {
    SubRequestId id;
    std::string leaf;
    Timestamp sent;
    AttemptState state = AttemptState::kPossiblyRunning;
    /// Sent on probation.
    bool probe = false;
    /// It was refused by a leaf that has room and may take the next one.
    bool passing = false;
  };
  struct ShardProgress {
    config::Shard shard;
    std::vector<Attempt> attempts;
    std::set<std::string> tried;
    std::vector<ResultItem> results;
    std::shared_ptr<const LeafPayload> payload;
    std::shared_ptr<const LeafPayload> failure;
    bool covered = false;
    bool given_up = false;
    bool waiting = false;
    /// Nothing is out, and nothing paid for another try when it was last asked.
    bool unpaid = false;
    MissingReason reason = MissingReason::kNotSent;
    size_t not_held = 0;
    /// Times that every replica was tried in vain, and when to try them again.
    int rounds = 0;
    Timestamp next_round{};
  };

  void PinSnapshot(const config::PublishedSnapshot& snapshot);
  void GiveUp(ShardProgress* shard);
  void SetUnpaid(ShardProgress* shard, bool unpaid);
  /// Gives up what only more allowance could help, once nothing else is waited for: the caller's
  /// next try is a first one, which needs none.
  void GiveUpUnpaid();
  Timestamp ShardWake(Timestamp now, const ShardProgress& shard) const;
  bool WantsShard(ShardId id) const;
  void AdvanceShard(Timestamp now, ShardProgress* shard);
  enum class SendKind {
    kFirst,
    /// After attempts that all provably never started.
    kReplacement,
    /// A hedge, or a retry after an attempt that may have run.
    kExtra,
  };
  enum class SendResult { kSent, kNoLeaf, kNoAllowance };
  bool MayPay(Timestamp now, const ShardProgress& shard, SendKind kind) const;
  balance::ExtraLoadLimit* BudgetOf(const ShardProgress& shard) const;
  /// Attempts that ran or may have: the cap on attempts protects leafs from working twice, and one
  /// that a leaf refused cost it no work.
  static uint32_t PossibleRuns(const ShardProgress& shard);
  bool MayAttemptAgain(const ShardProgress& shard) const;
  /// As many attempts were made as may run, and some of them were refused; those that a leaf with
  /// room refused don't count.
  bool RefusedOften(const ShardProgress& shard) const;
  /// No leaf has answered it yet, and it may be what ends them.
  bool OnProbation() const;
  /// On probation, and another try may go out.
  bool MayProbe(Timestamp now) const;
  void NoteLost(const Attempt& attempt);
  /// Enough was tried on probation: nothing more is sent.
  bool FailedProbation() const { return !proven_ && probes_lost_ >= options_.most_lost_probes; }
  /// It was sent to once and must not be again yet.
  bool Held(const ShardProgress& shard) const;
  /// The order of spending holds for this shard: a leaf with room has refused it.
  bool RefusedInPassing(const ShardProgress& shard) const;
  /// Every leaf of the shard refuses often.
  bool RefusedEverywhere(Timestamp now, const ShardProgress& shard) const;
  /// Decides, when it is asked first, whether this request is paid for at such shards.
  bool IsPaidFor(Timestamp now);
  bool WorthAskingAgain(Timestamp now, const ShardProgress& shard);
  bool WorthHedge(Timestamp now, const ShardProgress& shard) const;
  /// Every replica was tried in vain: the next round comes after a pause.
  void StartNextRound(Timestamp now, ShardProgress* shard);
  SendResult SendTo(Timestamp now, ShardProgress* shard, SendKind kind);
  void SendPrimaryOrRetry(Timestamp now, ShardProgress* shard);
  void MaybeHedge(Timestamp now, ShardProgress* shard);
  void MaybeNaiveRetry(Timestamp now, ShardProgress* shard);
  /// How long a sub-request of this kind usually takes; zero: not known here.
  Duration ExpectedLatency() const;
  Duration HedgeDelay() const;
  bool Overdue(Timestamp now, const Attempt& attempt) const;
  void SetWaiting(ShardProgress* shard, bool waiting);
  bool AllReplicasTriedOrLeaving(Timestamp now, const ShardProgress& shard) const;
  bool AnyUntriedReady(Timestamp now, const ShardProgress& shard) const;
  bool MayTryReplicasAgain(const ShardProgress& shard) const;
  size_t ActiveAttempts(const ShardProgress& shard) const;
  void Merge(Timestamp now, ShardProgress* shard, const LeafReply& reply);
  void Refused(ShardProgress* shard, const LeafReply& reply);
  void CancelOthers(Timestamp now, ShardProgress* shard, SubRequestId winner);
  void Evaluate(Timestamp now);
  bool PolicySaysAnswer(Timestamp now);
  void Finish(Timestamp now, ResultCode failure);
  ResultCode CodeAtEnd(const Coverage& coverage, ResultCode failure) const;
  Coverage CurrentCoverage() const;

  CallerRequest request_;
  policy::QueryPlan plan_;
  policy::PolicyProgram* program_;
  std::shared_ptr<const config::Service> service_;
  ServiceContext context_;
  ExecutionOptions options_;
  Timestamp started_;
  Timestamp deadline_;
  SnapshotId snapshot_id_;
  std::vector<ShardProgress> shards_;
  /// Which shard an id was sent for; ids of an earlier snapshot are gone from here.
  std::map<SubRequestId, size_t> shard_of_;
  size_t covered_ = 0;
  size_t given_up_ = 0;
  /// Shards that wait for allowance alone.
  size_t unpaid_ = 0;
  /// Shards that were given up for lack of it.
  uint32_t given_up_unpaid_ = 0;
  /// No replica of some shard holds the pinned snapshot.
  bool held_nowhere_ = false;
  /// When some shard may have to be looked at again; may be too early, never too late.
  Timestamp wake_{};
  uint32_t sent_ = 0;
  uint32_t extra_ = 0;
  bool restarted_ = false;
  RunState run_before_restart_ = RunState::kNotRun;
  bool needs_other_snapshot_ = false;
  bool answered_ = false;
  /// A leaf has answered with success: the request does leafs no harm.
  bool proven_ = false;
  /// Runs whose leaf's connection ended without an answer.
  size_t lost_ = 0;
  /// Those among them that were tries on probation.
  size_t probes_lost_ = 0;
  ExecutionActions actions_;
  /// What IsPaidFor() decided.
  std::optional<bool> paid_for_;
  std::vector<ShardPayload> new_parts_;
  std::vector<MissingShard> new_gaps_;
};

}  // namespace pumicedyke::query
