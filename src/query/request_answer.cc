// The answer of RequestExecution at a point in time: coverage, run state and results.
#include <algorithm>

#include "query/request_execution.h"

namespace pumicedyke::query {
namespace {

constexpr Duration kMinRetryAfter = Milliseconds(50);

bool BetterResult(const ResultItem& a, const ResultItem& b) {
  return a.score != b.score ? a.score > b.score : a.id < b.id;
}

}  // namespace

Coverage RequestExecution::CurrentCoverage() const {
  Coverage coverage;
  for (const ShardProgress& shard : shards_) {
    if (shard.covered) {
      coverage.included.push_back(shard.shard.id);
      continue;
    }
    const bool running = ActiveAttempts(shard) > 0;
    coverage.missing.push_back({shard.shard.id, running ? MissingReason::kTimeout : shard.reason});
  }
  return coverage;
}

std::vector<AttemptRecord> RequestExecution::Attempts() const {
  const auto name_of = [](AttemptState state) {
    switch (state) {
      case AttemptState::kRefused:
        return "refused";
      case AttemptState::kFailed:
        return "failed";
      case AttemptState::kLost:
        return "lost";
      case AttemptState::kDone:
        return "done";
      default:
        return "running";
    }
  };
  std::vector<AttemptRecord> records;
  for (const ShardProgress& shard : shards_) {
    for (const Attempt& attempt : shard.attempts) {
      AttemptRecord record{shard.shard.id, attempt.leaf, attempt.sent - started_,
                           name_of(attempt.state)};
      if (attempt.ended.has_value()) {
        record.ended = *attempt.ended - started_;
      }
      record.failure = attempt.failure;
      records.push_back(std::move(record));
    }
  }
  return records;
}

RunState RequestExecution::CurrentRunState() const {
  bool unknown = run_before_restart_ == RunState::kUnknown;
  bool ran = run_before_restart_ == RunState::kRan;
  for (const ShardProgress& shard : shards_) {
    for (const Attempt& attempt : shard.attempts) {
      ran |= attempt.state == AttemptState::kDone;
      unknown |= attempt.state == AttemptState::kPossiblyRunning ||
                 attempt.state == AttemptState::kFailed || attempt.state == AttemptState::kLost;
    }
  }
  if (!options_.sent_tracking) {
    return ran ? RunState::kRan : RunState::kNotRun;
  }
  if (unknown) {
    return RunState::kUnknown;
  }
  return ran ? RunState::kRan : RunState::kNotRun;
}

bool RequestExecution::HasUnknownOutcome() const {
  return std::any_of(shards_.begin(), shards_.end(),
                     [this](const ShardProgress& shard) { return ActiveAttempts(shard) > 0; });
}

ResultCode RequestExecution::FinalCode(const Coverage& coverage, ResultCode failure) const {
  if (coverage.missing.empty()) {
    return ResultCode::kOk;
  }
  if (!plan_.repeatable) {
    const RunState run = CurrentRunState();
    if (run == RunState::kUnknown) {
      return ResultCode::kOutcomeUnknown;
    }
    return run == RunState::kRan ? ResultCode::kPartial : failure;
  }
  const bool enough =
      !coverage.included.empty() && coverage.share() + kCoverageEpsilon >= plan_.min_coverage;
  if (enough) {
    return ResultCode::kPartial;
  }
  return failure == ResultCode::kPartial ? ResultCode::kCoverageNotReached : failure;
}

Answer RequestExecution::CurrentAnswer(Timestamp now) const {
  Answer answer;
  answer.snapshot = snapshot_id_;
  answer.coverage = CurrentCoverage();
  answer.code = FinalCode(answer.coverage, ResultCode::kDeadlineExceeded);
  answer.run = answer.coverage.missing.empty() ? RunState::kRan : CurrentRunState();
  for (const ShardProgress& shard : shards_) {
    if (shard.payload != nullptr) {
      answer.payloads.push_back({shard.shard.id, shard.payload});
    } else if (shard.failure != nullptr &&
               (!shard.failure_is_refusal || answer.run == RunState::kNotRun)) {
      // A refusal says that nothing ran, which is wrong once a later attempt may have.
      answer.failure = shard.failure;
    }
    answer.results.insert(answer.results.end(), shard.results.begin(), shard.results.end());
  }
  std::sort(answer.results.begin(), answer.results.end(), &BetterResult);
  if (request_.limit > 0 && answer.results.size() > request_.limit) {
    answer.results.resize(request_.limit);
  }
  answer.sub_requests = sent_;
  answer.extra_sub_requests = extra_;
  answer.budget_denied_shards = abandoned_for_budget_;
  const bool incomplete = !answer.coverage.missing.empty();
  if (incomplete && plan_.repeatable) {
    answer.continuation =
        EncodeContinuation(request_.service, snapshot_id_, answer.coverage.missing);
  }
  if (incomplete && (plan_.repeatable || answer.run == RunState::kNotRun)) {
    Duration wait = kMinRetryAfter;
    for (const ShardProgress& shard : shards_) {
      if (!shard.covered) {
        wait = std::max(wait, context_.pool->ExpectedWait(now, shard.shard.replicas));
      }
    }
    answer.retry_after = wait;
  }
  return answer;
}

}  // namespace pumicedyke::query
