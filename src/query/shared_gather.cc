#include "query/shared_gather.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::query {
namespace {

/// Tolerance for comparing coverage shares.
constexpr double kCoverageEpsilon = 1e-9;

}  // namespace

SharedGather::SharedGather(const policy::QueryPlan& plan, const std::vector<ShardRange>& groups,
                           SharedGatherOptions options, ChooseCb choose, NextIdCb next_id,
                           Timestamp started)
    : plan_(plan),
      options_(options),
      choose_(std::move(choose)),
      next_id_(std::move(next_id)),
      started_(started),
      deadline_(started + plan.deadline),
      answer_due_(plan.wait) {
  size_t shards = 0;
  for (const ShardRange& range : groups) {
    groups_.emplace_back().shards = range;
    shards += range.count;
  }
  shards_.resize(shards);
}

SharedGatherActions SharedGather::TakeActions() { return std::exchange(actions_, {}); }

bool SharedGather::IsSilent(Timestamp now, const PartialQuery& partial_query) const {
  const bool accepted = partial_query.state == PartialQueryState::kAccepted;
  return now - partial_query.last_contact >=
         (accepted ? options_.silence_limit : options_.accept_timeout);
}

void SharedGather::Advance(Timestamp now) {
  for (size_t i = 0; i < groups_.size() && !answered_; ++i) {
    AdvanceGroup(now, i);
  }
  Evaluate(now);
}

void SharedGather::OnStopping(Timestamp answer_by) {
  if (answer_by < deadline_) {
    deadline_ = answer_by;
    deadline_code_ = ResultCode::kShuttingDown;
  }
}

SharedGather::PartialQuery* SharedGather::WorkingQuery(Group* group) {
  for (PartialQuery& partial_query : group->partial_queries) {
    if (partial_query.open() && !partial_query.await_confirmation) {
      return &partial_query;
    }
  }
  return nullptr;
}

SharedGather::PartialQuery* SharedGather::StandbyQuery(Group* group) {
  for (PartialQuery& partial_query : group->partial_queries) {
    if (partial_query.open() && partial_query.await_confirmation) {
      return &partial_query;
    }
  }
  return nullptr;
}

void SharedGather::AdvanceGroup(Timestamp now, size_t index) {
  Group& group = groups_[index];
  if (group.ended || now >= deadline_) {
    return;
  }
  if (PartialQuery* standby = StandbyQuery(&group); standby != nullptr && IsSilent(now, *standby)) {
    // It was not confirmed, so it used no attempt.
    actions_.abandoned_mergers.push_back(standby->merger);
    actions_.cancels.push_back({standby->id, standby->merger, /*stop_work=*/true});
    standby->state = PartialQueryState::kUnused;
  }
  PartialQuery* working = WorkingQuery(&group);
  if (working != nullptr && !IsSilent(now, *working)) {
    return;
  }
  if (working != nullptr && working->state == PartialQueryState::kAccepted) {
    AbandonMerger(&group, working);
    working = nullptr;
  }
  if (StandbyQuery(&group) != nullptr) {
    return;
  }
  // Sending adds a partial query, which may move the others in memory.
  const std::string slow_merger = working == nullptr ? "" : working->merger;
  if (SendPartialQuery(now, index)) {
    if (!slow_merger.empty()) {
      actions_.abandoned_mergers.push_back(slow_merger);
    }
    return;
  }
  // No other merger is available. One that has not accepted may only be slow; silence does not
  // prove that it stopped.
  const bool may_still_answer =
      working != nullptr && now - working->last_contact < options_.silence_limit;
  if (may_still_answer) {
    return;
  }
  if (working != nullptr) {
    AbandonMerger(&group, working);
  }
  EndGroup(&group);
}

void SharedGather::MarkLost(Group* group, PartialQuery* partial_query) {
  const bool accepted = partial_query->state == PartialQueryState::kAccepted;
  group->attempts_used += accepted ? partial_query->max_attempts : 1;
  partial_query->state = PartialQueryState::kLost;
  unknown_ = true;
}

void SharedGather::AbandonMerger(Group* group, PartialQuery* partial_query) {
  actions_.abandoned_mergers.push_back(partial_query->merger);
  actions_.cancels.push_back({partial_query->id, partial_query->merger, /*stop_work=*/true});
  MarkLost(group, partial_query);
}

bool SharedGather::SendPartialQuery(Timestamp now, size_t index) {
  Group& group = groups_[index];
  const bool has_working = WorkingQuery(&group) != nullptr;
  const uint32_t max_attempts = std::max(1U, plan_.max_attempts);
  // A merger that was sent the query and has not answered counts as having sent once.
  const uint32_t attempts_used = group.attempts_used + (has_working ? 1 : 0);
  const bool await_confirmation = attempts_used > 0;
  const bool may_ask =
      attempts_used < max_attempts && group.partial_queries.size() < options_.max_mergers;
  const std::optional<std::string> merger =
      may_ask ? choose_(now, index, group.tried) : std::nullopt;
  if (!merger.has_value()) {
    return false;
  }
  const uint64_t id = next_id_();
  const uint32_t attempts = max_attempts - attempts_used;
  group.tried.insert(*merger);
  group.partial_queries.push_back(
      {id, index, *merger, attempts, now, now, PartialQueryState::kSent, await_confirmation});
  group_of_[id] = index;
  actions_.partial_queries.push_back(
      {id, index, *merger, attempts, /*reassigned=*/await_confirmation, await_confirmation});
  return true;
}

void SharedGather::Accept(Timestamp now, Group* group, PartialQuery* partial_query) {
  partial_query->accepted = now;
  if (partial_query->await_confirmation) {
    if (PartialQuery* slow_merger = WorkingQuery(group); slow_merger != nullptr) {
      AbandonMerger(group, slow_merger);
    }
    partial_query->await_confirmation = false;
    actions_.confirmations.push_back({partial_query->id, partial_query->merger});
  } else {
    if (PartialQuery* standby = StandbyQuery(group); standby != nullptr) {
      actions_.cancels.push_back({standby->id, standby->merger, /*stop_work=*/true});
      standby->state = PartialQueryState::kUnused;
    }
    if (partial_query->max_attempts > 1) {
      actions_.confirmations.push_back({partial_query->id, partial_query->merger});
    }
  }
  partial_query->state = PartialQueryState::kAccepted;
}

void SharedGather::EndGroup(Group* group) {
  group->ended = true;
  for (size_t i = 0; i < group->shards.count; ++i) {
    Shard& shard = shards_[group->shards.first + i];
    MarkMissing(&shard);
    const bool no_reason = !shard.covered && shard.reason == MissingReason::kNotSent;
    if (no_reason && !group->partial_queries.empty()) {
      shard.reason = MissingReason::kUnreachable;
    }
  }
}

void SharedGather::MarkMissing(Shard* shard) {
  missing_ += shard->covered || shard->missing ? 0 : 1;
  shard->missing = !shard->covered;
}

void SharedGather::MarkCovered(Shard* shard) {
  covered_ += shard->covered ? 0 : 1;
  missing_ -= shard->missing ? 1 : 0;
  shard->covered = true;
  shard->missing = false;
}

SharedGather::PartialQuery* SharedGather::FindOpen(uint64_t id) {
  const auto found = group_of_.find(id);
  if (found == group_of_.end() || answered_) {
    return nullptr;
  }
  for (PartialQuery& partial_query : groups_[found->second].partial_queries) {
    if (partial_query.id == id && partial_query.open()) {
      return &partial_query;
    }
  }
  return nullptr;
}

void SharedGather::OnPartialAnswer(Timestamp now, const wire::PartialAnswer& answer) {
  PartialQuery* partial_query = FindOpen(answer.id);
  if (partial_query == nullptr) {
    return;
  }
  Group& group = groups_[partial_query->group];
  partial_query->last_contact = now;
  switch (answer.stage) {
    case wire::PartialStage::kRefused:
      // A merger that was confirmed may have sent meanwhile.
      if (partial_query->state == PartialQueryState::kAccepted) {
        MarkLost(&group, partial_query);
      }
      partial_query->state = PartialQueryState::kRefused;
      AdvanceGroup(now, partial_query->group);
      break;
    case wire::PartialStage::kDone:
      if (partial_query->state == PartialQueryState::kSent) {
        Accept(now, &group, partial_query);
      }
      partial_query->state = PartialQueryState::kDone;
      MergePartialAnswer(now, group, answer);
      ran_ |= answer.run == static_cast<uint32_t>(RunState::kRan);
      unknown_ |= answer.run == static_cast<uint32_t>(RunState::kUnknown);
      EndGroup(&group);
      break;
    default:
      if (partial_query->state == PartialQueryState::kSent) {
        Accept(now, &group, partial_query);
      }
      MergePartialAnswer(now, group, answer);
      break;
  }
  Evaluate(now);
}

void SharedGather::MergePartialAnswer(Timestamp now, const Group& group,
                                      const wire::PartialAnswer& answer) {
  const size_t before = covered_;
  for (const wire::ShardResult& part : answer.parts) {
    if (part.shard >= group.shards.count) {
      continue;
    }
    MarkCovered(&shards_[group.shards.first + part.shard]);
    outcome_.signatures.push_back(part.signature);
    ran_ = true;
  }
  if (covered_ > before) {
    arrivals_.push_back({now - started_, covered_ - before});
  }
  for (const wire::MissingShard& gap : answer.gaps) {
    if (gap.shard < group.shards.count) {
      Shard& shard = shards_[group.shards.first + gap.shard];
      shard.reason = static_cast<MissingReason>(gap.reason);
      MarkMissing(&shard);
    }
  }
  if (!answer.records.empty()) {
    outcome_.records.push_back(answer.records);
  }
  outcome_.extra += answer.extra;
}

void SharedGather::OnMergerLost(Timestamp now, const std::string& merger) {
  for (size_t i = 0; i < groups_.size() && !answered_; ++i) {
    Group& group = groups_[i];
    if (group.ended) {
      continue;
    }
    bool merger_lost = false;
    for (PartialQuery& partial_query : group.partial_queries) {
      if (!partial_query.open() || partial_query.merger != merger) {
        continue;
      }
      merger_lost = true;
      if (partial_query.await_confirmation) {
        partial_query.state = PartialQueryState::kUnused;
      } else {
        MarkLost(&group, &partial_query);
      }
    }
    if (merger_lost) {
      AdvanceGroup(now, i);
    }
  }
  Evaluate(now);
}

bool SharedGather::HasMinCoverage() const {
  const double share = static_cast<double>(covered_) / static_cast<double>(shards_.size());
  return covered_ > 0 && share + kCoverageEpsilon >= plan_.min_coverage;
}

void SharedGather::Evaluate(Timestamp now) {
  if (answered_) {
    return;
  }
  const size_t possible = shards_.size() - missing_;
  const bool out_of_reach =
      static_cast<double>(possible) / static_cast<double>(shards_.size()) + kCoverageEpsilon <
      plan_.min_coverage;
  if (covered_ == shards_.size()) {
    Finish(ResultCode::kOk);
  } else if (possible == covered_ || out_of_reach) {
    Finish(ResultCode::kCoverageNotReached);
  } else if (now >= deadline_) {
    Finish(deadline_code_);
  } else if (HasMinCoverage() && IsDue(now)) {
    Finish(ResultCode::kPartial);
  }
}

bool SharedGather::IsDue(Timestamp now) {
  if (due_ != nullptr && covered_ != covered_when_due_) {
    covered_when_due_ = covered_;
    answer_due_ = due_(now - started_, covered_);
  }
  return now - started_ >= answer_due_;
}

void SharedGather::Finish(ResultCode failure) {
  answered_ = true;
  for (size_t i = 0; i < shards_.size(); ++i) {
    if (!shards_[i].covered) {
      outcome_.missing.push_back({ShardId{i}, shards_[i].reason});
    }
  }
  for (const Group& group : groups_) {
    for (const PartialQuery& partial_query : group.partial_queries) {
      unknown_ |= partial_query.open() && !partial_query.await_confirmation;
    }
  }
  const bool complete = outcome_.missing.empty();
  outcome_.code = complete ? ResultCode::kOk : HasMinCoverage() ? ResultCode::kPartial : failure;
  outcome_.run = unknown_ && !complete ? RunState::kUnknown
                 : ran_                ? RunState::kRan
                                       : RunState::kNotRun;
  actions_.outcome = std::move(outcome_);
  for (const Group& group : groups_) {
    for (const PartialQuery& partial_query : group.partial_queries) {
      if (partial_query.open()) {
        actions_.cancels.push_back(
            {partial_query.id, partial_query.merger, partial_query.await_confirmation});
      }
    }
  }
}

void SharedGather::AbandonAll() {
  answered_ = true;
  for (const Group& group : groups_) {
    for (const PartialQuery& partial_query : group.partial_queries) {
      if (partial_query.open()) {
        actions_.cancels.push_back({partial_query.id, partial_query.merger, /*stop_work=*/true});
      }
    }
  }
}

Timestamp SharedGather::GroupWake(Timestamp now, const Group& group) const {
  const bool has_standby =
      std::any_of(group.partial_queries.begin(), group.partial_queries.end(),
                  [](const PartialQuery& q) { return q.open() && q.await_confirmation; });
  Timestamp wake = deadline_;
  for (const PartialQuery& partial_query : group.partial_queries) {
    if (!partial_query.open()) {
      continue;
    }
    const bool accepted = partial_query.state == PartialQueryState::kAccepted;
    const Timestamp slow_at = partial_query.last_contact + options_.accept_timeout;
    const Timestamp silent_at = partial_query.last_contact + options_.silence_limit;
    const bool known_slow = !accepted && !partial_query.await_confirmation && slow_at <= now;
    // Nothing is decided about a slow merger before the merger on standby has answered or timed
    // out.
    if (!known_slow || !has_standby) {
      wake = std::min(wake, accepted || known_slow ? silent_at : slow_at);
    }
  }
  return wake;
}

Timestamp SharedGather::NextWake(Timestamp now) const {
  Timestamp wake = deadline_;
  const Timestamp wait_over = started_ + answer_due_;
  if (wait_over > now) {
    wake = std::min(wake, wait_over);
  }
  for (const Group& group : groups_) {
    if (!group.ended) {
      wake = std::min(wake, GroupWake(now, group));
    }
  }
  return std::max(wake, now);
}

std::vector<PartialQueryRecord> SharedGather::PartialQueries() const {
  const auto name_of = [](PartialQueryState state) {
    switch (state) {
      case PartialQueryState::kSent:
        return "asked";
      case PartialQueryState::kAccepted:
        return "accepted";
      case PartialQueryState::kDone:
        return "done";
      case PartialQueryState::kRefused:
        return "refused";
      case PartialQueryState::kUnused:
        return "unused";
      default:
        return "lost";
    }
  };
  std::vector<PartialQueryRecord> records;
  for (const Group& group : groups_) {
    for (const PartialQuery& partial_query : group.partial_queries) {
      PartialQueryRecord& record = records.emplace_back();
      record.group = partial_query.group;
      record.merger = partial_query.merger;
      record.sent = partial_query.sent - started_;
      if (partial_query.accepted.has_value()) {
        record.accepted_after = *partial_query.accepted - partial_query.sent;
      }
      record.state = name_of(partial_query.state);
    }
  }
  return records;
}

}  // namespace pumicedyke::query
