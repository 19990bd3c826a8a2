// Records the externally visible events of a simulated run and checks the invariants on them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/model.h"
#include "emulator/leaf_model.h"
#include "query/messages.h"
#include "sim/mechanisms.h"

namespace pumicedyke::sim {

struct Violation {
  Invariant invariant;
  Timestamp time;
  std::string what;
};

/// One request as seen by its caller.
struct CallRecord {
  std::string query;
  std::string service;
  std::string idempotency_key;
  std::vector<ShardId> shards;
  std::optional<SnapshotId> snapshot;
  Timestamp sent;
  std::string node;
  int answers = 0;
  std::optional<Timestamp> answered = std::nullopt;
  /// The node was killed, not stopped as planned: no answer is required.
  bool no_answer_expected = false;
};

class History {
 public:
  explicit History(size_t results_per_shard) : results_per_shard_(results_per_shard) {}

  void Fail(Invariant invariant, Timestamp time, const std::string& what);
  void Trace(Timestamp time, const std::string& line);

  // Callers.
  uint64_t OnCall(CallRecord call);
  void OnAnswer(Timestamp time, uint64_t call, const query::Answer& answer);
  void ExpectNoAnswersFrom(const std::string& node);
  /// Records the end of a node's planned stop: every call it received must have been answered.
  void OnPlannedStopDone(Timestamp time, const std::string& node);

  // Leafs.
  void OnLeafLeaving(const std::string& leaf, Timestamp time);
  void OnLeafLeavingCancelled(const std::string& leaf) { leaving_since_.erase(leaf); }
  void OnLeafReceived(Timestamp time, const std::string& leaf);
  /// Records that a fatal request has reached a leaf.
  void OnFatalRun(Timestamp time, const query::LeafRequest& request);
  /// Checks, after all faults are healed, that only the fatal request is quarantined.
  void CheckQuarantine(Timestamp time, const std::string& node,
                       const std::map<RequestIdentity, config::QuarantineRecord>& stopped,
                       const RequestIdentity& fatal);
  void CheckRuns(Timestamp time, const std::map<std::string, const emulator::LeafModel*>& leafs);

  // Operators and nodes.
  void OnOperatorAnswer(Timestamp time, const config::Change& change,
                        const config::ChangeResult& result);
  uint64_t accepted_version() const { return accepted_version_; }
  void OnConfigRead(Timestamp time, uint64_t version, uint64_t accepted_before);
  void OnNodeVersion(Timestamp time, const std::string& node, uint64_t version);
  /// @param age age of the node's configuration as the node computes it by its own clock.
  void OnNodeProof(Timestamp time, const std::string& node, uint64_t version, Duration age);
  void OnNodeStart(const std::string& node, uint64_t accepted_before);
  void OnPolicyInForce(const std::string& service, const std::string& policy);
  /// Checks, after all faults are healed, that a node's configuration matches the results that
  /// operators received.
  void CheckFinalConfig(Timestamp time, const std::string& node,
                        const std::map<std::string, config::Service>& services);

  const std::vector<Violation>& violations() const { return violations_; }
  const std::deque<std::string>& recent() const { return recent_; }
  const std::string& full_trace() const { return full_trace_; }
  void KeepFullTrace() { keep_full_trace_ = true; }
  uint64_t trace_hash() const { return trace_hash_; }
  uint64_t calls() const { return calls_.size(); }
  uint64_t complete_answers() const { return complete_answers_; }
  uint64_t accepted_changes() const { return accepted_.size(); }

 private:
  /// A call that was refused with the run state "not run".
  struct NotRunRefusal {
    uint64_t call;
    Timestamp refused_at;
  };

  /// Returns whether the run may belong to another attempt at the same work through the same node.
  bool BelongsToOtherAttempt(const NotRunRefusal& refusal, const emulator::RunRecord& run) const;
  void CheckResults(Timestamp time, const CallRecord& call, const query::Answer& answer);
  void CheckCoverage(Timestamp time, const CallRecord& call, const query::Answer& answer);
  /// Checks that a repeat of a job with a reported outcome returns that outcome, or an error that
  /// the outcome could not be looked up.
  void CheckReportedOutcome(Timestamp time, const CallRecord& call, const query::Answer& answer);

  size_t results_per_shard_;
  std::vector<Violation> violations_;
  std::deque<std::string> recent_;
  std::string full_trace_;
  bool keep_full_trace_ = false;
  uint64_t trace_hash_ = 1469598103934665603ULL;

  std::vector<CallRecord> calls_;
  std::map<std::string, std::vector<uint64_t>> calls_of_query_;
  std::vector<NotRunRefusal> not_run_refusals_;
  /// Time at which an outcome recorded in the ledger was first reported, by idempotency key.
  std::map<std::string, Timestamp> outcome_reported_at_;
  std::map<std::string, Timestamp> leaving_since_;
  uint64_t complete_answers_ = 0;
  /// Number of leafs that each fatal query has crashed.
  std::map<std::string, size_t> fatal_crashes_;
  /// Time from which each fatal query must be quarantined: after the third crash, plus the time
  /// that the order takes to reach all nodes.
  std::map<std::string, Timestamp> quarantine_due_;
  size_t late_fatal_runs_ = 0;

  struct Accepted {
    config::Change change;
    config::ChangeResult result;
  };
  /// First definite result that the operator received, by submission id.
  std::map<std::string, config::ChangeResult> definite_results_;
  std::map<std::string, Accepted> accepted_;
  std::map<std::pair<std::string, uint64_t>, std::string> accepted_on_revision_;
  std::map<uint64_t, std::string> submission_of_version_;
  std::map<std::string, std::string> refused_policies_;
  std::set<std::string> policies_in_force_;
  uint64_t accepted_version_ = 0;
  /// Highest accepted version known to operators, by the time at which it became known.
  std::map<Timestamp, uint64_t> accepted_at_;
  /// Unset until the node has received a configuration since its start.
  std::map<std::string, std::optional<uint64_t>> node_version_;
  /// Highest version accepted before the node's last start; the node must not start below it.
  std::map<std::string, uint64_t> min_start_version_;
};

}  // namespace pumicedyke::sim
