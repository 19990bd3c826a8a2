// What a simulated run looks like from outside, and the checks of the invariants on it.
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

/// One call of a caller, as the caller knows it.
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
  /// The node died without a planned stop: no answer is owed.
  bool excused = false;
};

class History {
 public:
  explicit History(size_t results_per_shard) : results_per_shard_(results_per_shard) {}

  void Fail(Invariant invariant, Timestamp time, const std::string& what);
  void Trace(Timestamp time, const std::string& line);

  // Callers.
  uint64_t OnCall(CallRecord call);
  void OnAnswer(Timestamp time, uint64_t call, const query::Answer& answer);
  void ExcuseCallsAt(const std::string& node);
  /// The node finished a planned stop: every call it got must have been answered.
  void OnPlannedStopDone(Timestamp time, const std::string& node);

  // Leafs.
  void OnLeafLeaving(const std::string& leaf, Timestamp time);
  void OnLeafBack(const std::string& leaf) { leaving_since_.erase(leaf); }
  void OnLeafReceived(Timestamp time, const std::string& leaf);
  /// A request that ends leafs has reached one.
  void OnFatalRun(Timestamp time, const query::LeafRequest& request);
  /// After everything healed: nothing is stopped but what is fatal.
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
  /// @param age how old the node takes its configuration to be, by its own clock.
  void OnNodeProof(Timestamp time, const std::string& node, uint64_t version, Duration age);
  void OnNodeStart(const std::string& node, uint64_t accepted_before);
  void OnPolicyInForce(const std::string& service, const std::string& policy);
  /// After everything healed: the configuration of a node holds what operators were told.
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
  /// A call that was refused as "not run".
  struct NotRunClaim {
    uint64_t call;
    Timestamp told;
  };

  /// Whether another attempt at the same work, at the same node, accounts for the run.
  bool BelongsToOtherAttempt(const NotRunClaim& claim, const emulator::RunRecord& run) const;
  void CheckResults(Timestamp time, const CallRecord& call, const query::Answer& answer);
  void CheckCoverage(Timestamp time, const CallRecord& call, const query::Answer& answer);
  /// Whoever asks again for work whose outcome was told gets that outcome, or hears that it could
  /// not be looked up.
  void CheckToldOutcome(Timestamp time, const CallRecord& call, const query::Answer& answer);

  size_t results_per_shard_;
  std::vector<Violation> violations_;
  std::deque<std::string> recent_;
  std::string full_trace_;
  bool keep_full_trace_ = false;
  uint64_t trace_hash_ = 1469598103934665603ULL;

  std::vector<CallRecord> calls_;
  std::map<std::string, std::vector<uint64_t>> calls_of_query_;
  std::vector<NotRunClaim> not_run_;
  /// When an outcome was told that the ledger had taken, by idempotency key.
  std::map<std::string, Timestamp> outcome_told_;
  std::map<std::string, Timestamp> leaving_since_;
  uint64_t complete_answers_ = 0;
  /// Since when a fatal query should be stopped: it has ended the third leaf, and the word had
  /// time.
  std::map<std::string, size_t> fatal_ends_;
  std::map<std::string, Timestamp> stopped_from_;
  size_t late_fatal_runs_ = 0;

  struct Accepted {
    config::Change change;
    config::ChangeResult result;
  };
  /// By submission id: what the operator was told, definitely.
  std::map<std::string, config::ChangeResult> told_;
  std::map<std::string, Accepted> accepted_;
  std::map<std::pair<std::string, uint64_t>, std::string> accepted_on_revision_;
  std::map<uint64_t, std::string> submission_of_version_;
  std::map<std::string, std::string> refused_policies_;
  std::set<std::string> policies_in_force_;
  uint64_t accepted_version_ = 0;
  /// When the operators had heard of so high a version.
  std::map<Timestamp, uint64_t> accepted_at_;
  /// Nothing until the node has learned a configuration since its start.
  std::map<std::string, std::optional<uint64_t>> node_version_;
  std::map<std::string, uint64_t> node_floor_;
};

}  // namespace pumicedyke::sim
