#include "sim/history.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"

namespace pumicedyke::sim {
namespace {

constexpr size_t kRecentLines = 40;
/// The requirements give a leaving back end "a few seconds".
constexpr Duration kLeavingGrace = Seconds(4);

}  // namespace

void History::Fail(Invariant invariant, Timestamp time, const std::string& what) {
  Trace(time, absl::StrCat("VIOLATION ", std::string(InvariantName(invariant)), ": ", what));
  violations_.push_back({invariant, time, what});
}

void History::Trace(Timestamp time, const std::string& line) {
  const std::string full = absl::StrCat(time.time_since_epoch().count(), "us ", line);
  trace_hash_ = XXH64(full.data(), full.size(), trace_hash_);
  recent_.push_back(full);
  if (recent_.size() > kRecentLines) {
    recent_.pop_front();
  }
  if (keep_full_trace_) {
    absl::StrAppend(&full_trace_, full, "\n");
  }
}

// ---- Callers ------------------------------------------------------------------------------------

uint64_t History::OnCall(CallRecord call) {
  calls_of_query_[call.query].push_back(calls_.size());
  calls_.push_back(std::move(call));
  return calls_.size() - 1;
}

void History::OnAnswer(Timestamp time, uint64_t id, const query::Answer& answer) {
  CallRecord& call = calls_.at(id);
  ++call.answers;
  call.answered = time;
  Trace(time,
        absl::StrCat("answer ", call.query, " code ", static_cast<int>(answer.code), " run ",
                     query::RunStateName(answer.run), " snapshot ", answer.snapshot.value,
                     " coverage ", answer.coverage.included.size(), "/", answer.coverage.total()));
  if (call.answers > 1) {
    Fail(Invariant::kOwnCompleteAnswer, time, "a second answer to " + call.query);
    return;
  }
  complete_answers_ += answer.code == ResultCode::kOk ? 1 : 0;
  if (answer.snapshot.value != 0) {
    CheckResults(time, call, answer);
    CheckCoverage(time, call, answer);
  }
  if (!call.idempotency_key.empty()) {
    CheckReportedOutcome(time, call, answer);
  }
  const bool refused = answer.code != ResultCode::kOk && answer.code != ResultCode::kPartial;
  if (refused && answer.run == query::RunState::kNotRun) {
    not_run_refusals_.push_back({id, time});
  }
}

void History::CheckReportedOutcome(Timestamp time, const CallRecord& call,
                                   const query::Answer& answer) {
  const auto reported = outcome_reported_at_.find(call.idempotency_key);
  if (answer.code == ResultCode::kOk) {
    if (reported == outcome_reported_at_.end() && answer.recorded) {
      outcome_reported_at_[call.idempotency_key] = time;
    }
    return;
  }
  const bool sent_later = reported != outcome_reported_at_.end() && call.sent > reported->second;
  if (sent_later && answer.code == ResultCode::kAlreadyRunning) {
    Fail(Invariant::kToldOutcomeStays, time,
         call.idempotency_key + ": its outcome was told and is not known any more");
  }
}

void History::CheckResults(Timestamp time, const CallRecord& call, const query::Answer& answer) {
  std::map<std::string, query::ResultItem> expected;
  for (const ShardId& shard : answer.coverage.included) {
    for (query::ResultItem& item : emulator::LeafModel::ResultsOf(
             call.service, shard, answer.snapshot, call.query, results_per_shard_)) {
      expected[item.id] = std::move(item);
    }
  }
  std::set<std::string> seen;
  for (const query::ResultItem& item : answer.results) {
    const auto expected_item = expected.find(item.id);
    const bool twice = !seen.insert(item.id).second;
    if (expected_item == expected.end() || twice) {
      Fail(Invariant::kTruthfulCoverage, time,
           absl::StrCat(
               call.query, ": result ", item.id,
               twice ? " is there twice" : " is of a shard that the coverage does not list"));
    } else if (item.score != expected_item->second.score) {
      Fail(Invariant::kOwnCompleteAnswer, time,
           absl::StrCat(call.query, ": result ", item.id, " belongs to another query"));
    } else if (item.text != expected_item->second.text) {
      Fail(Invariant::kOneSnapshot, time,
           absl::StrCat(call.query, ": result ", item.id, " is of ", item.text,
                        ", the answer says ", answer.snapshot.value));
    }
  }
  if (seen.size() < expected.size()) {
    Fail(Invariant::kTruthfulCoverage, time,
         call.query + ": a shard counts as covered but its results are missing");
  }
}

void History::CheckCoverage(Timestamp time, const CallRecord& call, const query::Answer& answer) {
  std::set<ShardId> listed(answer.coverage.included.begin(), answer.coverage.included.end());
  for (const query::MissingShard& missing : answer.coverage.missing) {
    listed.insert(missing.shard);
  }
  if (listed.size() != answer.coverage.total()) {
    Fail(Invariant::kTruthfulCoverage, time, call.query + ": a shard is named twice");
  }
  const bool all_included = answer.coverage.missing.empty();
  if ((answer.code == ResultCode::kOk) != all_included) {
    Fail(Invariant::kTruthfulCoverage, time,
         absl::StrCat(call.query, ": code ", static_cast<int>(answer.code), " with ",
                      answer.coverage.missing.size(), " shards missing"));
  }
  if (call.snapshot.has_value() && answer.snapshot != *call.snapshot) {
    Fail(Invariant::kOneSnapshot, time, call.query + ": continued on another snapshot");
  }
  if (!call.shards.empty() && listed != std::set<ShardId>(call.shards.begin(), call.shards.end())) {
    Fail(Invariant::kTruthfulCoverage, time, call.query + ": other shards than asked for");
  }
}

void History::ExpectNoAnswersFrom(const std::string& node) {
  for (CallRecord& call : calls_) {
    call.no_answer_expected |= call.node == node && call.answers == 0;
  }
}

void History::OnPlannedStopDone(Timestamp time, const std::string& node) {
  for (CallRecord& call : calls_) {
    if (call.node == node && call.answers == 0 && !call.no_answer_expected) {
      call.no_answer_expected = true;
      Fail(Invariant::kPlannedStop, time, node + " stopped without an answer to " + call.query);
    }
  }
}

// ---- Leafs --------------------------------------------------------------------------------------

void History::OnLeafLeaving(const std::string& leaf, Timestamp time) {
  leaving_since_.try_emplace(leaf, time);
}

void History::OnLeafReceived(Timestamp time, const std::string& leaf) {
  const auto it = leaving_since_.find(leaf);
  if (it != leaving_since_.end() && time > it->second + kLeavingGrace) {
    Fail(Invariant::kLeavingGetsNoWork, time,
         absl::StrCat(leaf, " got work ", ToMilliseconds(time - it->second),
                      " ms after it began to leave"));
  }
}

void History::OnFatalRun(Timestamp time, const query::LeafRequest& request) {
  constexpr size_t kCrashes = 3;
  constexpr Duration kPropagationTime = Seconds(4);
  // Three more attempts, each sent to one leaf and retried on a second one when no reply arrives.
  constexpr size_t kMaxLateRuns = 6;
  const size_t crashes = ++fatal_crashes_[request.query];
  Trace(time, absl::StrCat(request.query, " ends ", request.leaf, ", leaf number ", crashes));
  if (crashes == kCrashes) {
    quarantine_due_[request.query] = time + kPropagationTime;
  }
  const auto from = quarantine_due_.find(request.query);
  if (from == quarantine_due_.end() || time < from->second) {
    return;
  }
  if (++late_fatal_runs_ == kMaxLateRuns + 1) {
    Fail(Invariant::kFatalRequestsStopped, time,
         absl::StrCat(request.query, " still reaches leafs, ", crashes, " have ended"));
  }
}

void History::CheckQuarantine(Timestamp time, const std::string& node,
                              const std::map<RequestIdentity, config::QuarantineRecord>& stopped,
                              const RequestIdentity& fatal) {
  for (const auto& [request, record] : stopped) {
    if (request != fatal) {
      Fail(Invariant::kFatalRequestsStopped, time,
           absl::StrCat(node, " stops a request that harms nobody: ", ToText(request)));
    }
  }
}

void History::CheckRuns(Timestamp time,
                        const std::map<std::string, const emulator::LeafModel*>& leafs) {
  std::map<std::string, std::vector<const emulator::RunRecord*>> runs_of_query;
  std::map<std::pair<std::string, ShardId>, int> runs_of_key;
  for (const auto& [name, leaf] : leafs) {
    for (const emulator::RunRecord& run : leaf->runs()) {
      runs_of_query[run.query].push_back(&run);
      if (!run.idempotency_key.empty() &&
          ++runs_of_key[{run.service + "/" + run.idempotency_key, run.shard}] == 2) {
        Fail(Invariant::kAtMostOnce, time,
             absl::StrCat(run.idempotency_key, " ran twice on shard ", run.shard.value));
      }
    }
  }
  for (const NotRunRefusal& refusal : not_run_refusals_) {
    const std::string& query = calls_[refusal.call].query;
    for (const emulator::RunRecord* run : runs_of_query[query]) {
      if (run->started < refusal.refused_at || !BelongsToOtherAttempt(refusal, *run)) {
        Fail(Invariant::kNotRunIsProof, time, query + " was refused as not run, but ran");
        break;
      }
    }
  }
}

bool History::BelongsToOtherAttempt(const NotRunRefusal& refusal,
                                    const emulator::RunRecord& run) const {
  const std::vector<uint64_t>& attempts = calls_of_query_.at(calls_[refusal.call].query);
  return std::any_of(attempts.begin(), attempts.end(), [&](uint64_t id) {
    const CallRecord& attempt = calls_[id];
    const bool in_progress =
        !attempt.answered.has_value() || *attempt.answered > refusal.refused_at;
    return id != refusal.call && in_progress && attempt.sent <= run.started &&
           run.origin.starts_with(attempt.node + ".");
  });
}

// ---- Operators and nodes ------------------------------------------------------------------------

void History::OnOperatorAnswer(Timestamp time, const config::Change& change,
                               const config::ChangeResult& result) {
  const auto code = static_cast<ResultCode>(result.code);
  if (code == ResultCode::kNoQuorum || code == ResultCode::kShuttingDown) {
    return;
  }
  Trace(time, absl::StrCat("operator ", change.submission_id, " told ", result.code, " version ",
                           result.version));
  const auto [known, first] = definite_results_.try_emplace(change.submission_id, result);
  if (!first) {
    const bool same = known->second.code == result.code && known->second.version == result.version;
    if (!same) {
      Fail(Invariant::kConfigInForce, time,
           absl::StrCat(change.submission_id, " was told ", known->second.code, " and then ",
                        result.code));
    }
    return;
  }
  if (code != ResultCode::kOk) {
    if (change.kind == config::ChangeKind::kPutPolicy) {
      refused_policies_[change.policy] = change.submission_id;
    }
    return;
  }
  accepted_[change.submission_id] = {change, result};
  accepted_version_ = std::max(accepted_version_, result.version);
  accepted_at_[time] = accepted_version_;
  const auto [version, fresh] =
      submission_of_version_.try_emplace(result.version, change.submission_id);
  if (!fresh) {
    Fail(Invariant::kConfigInForce, time,
         absl::StrCat("version ", result.version, " was given to ", version->second, " and ",
                      change.submission_id));
  }
  if (change.expected_revision.has_value()) {
    const auto [winner, first_on_revision] = accepted_on_revision_.try_emplace(
        {change.service, *change.expected_revision}, change.submission_id);
    if (!first_on_revision) {
      Fail(Invariant::kConfigInForce, time,
           absl::StrCat(winner->second, " and ", change.submission_id, " both won on revision ",
                        *change.expected_revision));
    }
  }
}

void History::OnConfigRead(Timestamp time, uint64_t version, uint64_t accepted_before) {
  if (version < accepted_before) {
    Fail(Invariant::kConfigInForce, time,
         absl::StrCat("an operator read version ", version, " after ", accepted_before,
                      " was accepted"));
  }
}

void History::OnNodeStart(const std::string& node, uint64_t accepted_before) {
  min_start_version_[node] = accepted_before;
  node_version_[node].reset();
}

void History::OnNodeVersion(Timestamp time, const std::string& node, uint64_t version) {
  std::optional<uint64_t>& known = node_version_[node];
  if (known.has_value() && version < *known) {
    Fail(Invariant::kConfigInForce, time,
         absl::StrCat(node, " went back from version ", *known, " to ", version));
  }
  if (!known.has_value() && version < min_start_version_[node]) {
    Fail(Invariant::kConfigInForce, time,
         absl::StrCat(node, " started with version ", version, " after ", min_start_version_[node],
                      " was accepted"));
  }
  known = version;
}

void History::OnNodeProof(Timestamp time, const std::string& node, uint64_t version, Duration age) {
  // Clock rates differ by up to 10%.
  constexpr double kClockSkew = 1.1;
  const Timestamp proven = time - std::chrono::duration_cast<Duration>(age * kClockSkew);
  auto known = accepted_at_.lower_bound(proven);
  if (known == accepted_at_.begin()) {
    return;
  }
  const uint64_t accepted = std::prev(known)->second;
  if (version < accepted) {
    Fail(Invariant::kConfigInForce, time,
         absl::StrCat(node, " takes version ", version, " for current, ", accepted,
                      " had been accepted before"));
  }
}

void History::OnPolicyInForce(const std::string& service, const std::string& policy) {
  policies_in_force_.insert(service + "\n" + policy);
}

void History::CheckFinalConfig(Timestamp time, const std::string& node,
                               const std::map<std::string, config::Service>& services) {
  const uint64_t in_force = node_version_[node].value_or(0);
  if (in_force < accepted_version_) {
    Fail(Invariant::kConfigInForce, time,
         absl::StrCat(node, " is at version ", in_force, ", ", accepted_version_, " was accepted"));
  }
  for (const auto& [policy, submission] : refused_policies_) {
    for (const auto& [name, service] : services) {
      if (service.policy == policy ||
          policies_in_force_.contains(absl::StrCat(name, "\n", policy))) {
        Fail(Invariant::kConfigInForce, time, submission + " was refused, but is in force");
      }
    }
  }
  // The newest accepted policy change of each service.
  std::map<std::string, const Accepted*> newest;
  for (const auto& [id, accepted] : accepted_) {
    const Accepted*& best = newest[accepted.change.service];
    const bool is_policy = accepted.change.kind == config::ChangeKind::kPutPolicy;
    if (is_policy && (best == nullptr || accepted.result.version > best->result.version)) {
      best = &accepted;
    }
  }
  for (const auto& [name, best] : newest) {
    const auto service = services.find(name);
    const bool lost =
        best != nullptr &&
        (service == services.end() || service->second.policy_version.value < best->result.version);
    if (lost) {
      Fail(
          Invariant::kConfigInForce, time,
          absl::StrCat(best->change.submission_id, " was accepted, but is not in force at ", node));
    }
  }
}

}  // namespace pumicedyke::sim
