#include "query/shared_gather.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::query {
namespace {

/// Shares are compared with this much tolerance.
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

bool SharedGather::Silent(Timestamp now, const Question& question) const {
  const bool accepted = question.state == QuestionState::kAccepted;
  return now - question.heard >= (accepted ? options_.silence_limit : options_.accept_patience);
}

void SharedGather::Advance(Timestamp now) {
  for (size_t i = 0; i < groups_.size() && !answered_; ++i) {
    AdvanceGroup(now, i);
  }
  Evaluate(now);
}

SharedGather::Question* SharedGather::WorkingOf(Group* group) {
  for (Question& question : group->questions) {
    if (question.open() && !question.stand_by) {
      return &question;
    }
  }
  return nullptr;
}

SharedGather::Question* SharedGather::StandByOf(Group* group) {
  for (Question& question : group->questions) {
    if (question.open() && question.stand_by) {
      return &question;
    }
  }
  return nullptr;
}

void SharedGather::AdvanceGroup(Timestamp now, size_t index) {
  Group& group = groups_[index];
  if (group.ended || now >= deadline_) {
    return;
  }
  if (Question* ready = StandByOf(&group); ready != nullptr && Silent(now, *ready)) {
    // It never began: no attempt is lost.
    actions_.silent.push_back(ready->merger);
    actions_.cancels.push_back({ready->id, ready->merger, /*stop_work=*/true});
    ready->state = QuestionState::kUnused;
  }
  Question* working = WorkingOf(&group);
  if (working != nullptr && !Silent(now, *working)) {
    return;
  }
  if (working != nullptr && working->state == QuestionState::kAccepted) {
    Replace(&group, working);
    working = nullptr;
  }
  if (StandByOf(&group) != nullptr) {
    return;
  }
  // Asking adds a question, which may move the others.
  const std::string slow = working == nullptr ? "" : working->merger;
  if (Ask(now, index)) {
    if (!slow.empty()) {
      actions_.silent.push_back(slow);
    }
    return;
  }
  // Nobody else is there. One that has not accepted may be slow only; a silence proves nothing.
  const bool may_still_speak = working != nullptr && now - working->heard < options_.silence_limit;
  if (may_still_speak) {
    return;
  }
  if (working != nullptr) {
    Replace(&group, working);
  }
  End(&group);
}

void SharedGather::GiveUpOn(Group* group, Question* question) {
  const bool accepted = question->state == QuestionState::kAccepted;
  group->attempts_used += accepted ? question->max_attempts : 1;
  question->state = QuestionState::kLost;
  unknown_ = true;
}

void SharedGather::Replace(Group* group, Question* question) {
  actions_.silent.push_back(question->merger);
  actions_.cancels.push_back({question->id, question->merger, /*stop_work=*/true});
  GiveUpOn(group, question);
}

bool SharedGather::Ask(Timestamp now, size_t index) {
  Group& group = groups_[index];
  const bool works = WorkingOf(&group) != nullptr;
  const uint32_t most = std::max(1U, plan_.max_attempts);
  // One that works and is not heard of counts as having sent once.
  const uint32_t used = group.attempts_used + (works ? 1 : 0);
  const bool stand_by = used > 0;
  const bool may_ask = used < most && group.questions.size() < options_.most_mergers;
  const std::optional<std::string> merger =
      may_ask ? choose_(now, index, group.tried) : std::nullopt;
  if (!merger.has_value()) {
    return false;
  }
  const uint64_t id = next_id_();
  const uint32_t attempts = most - used;
  group.tried.insert(*merger);
  group.questions.push_back(
      {id, index, *merger, attempts, now, now, QuestionState::kAsked, stand_by});
  group_of_[id] = index;
  actions_.questions.push_back({id, index, *merger, attempts, /*again=*/stand_by, stand_by});
  return true;
}

void SharedGather::Accept(Timestamp now, Group* group, Question* question) {
  question->accepted = now;
  if (question->stand_by) {
    if (Question* slow = WorkingOf(group); slow != nullptr) {
      Replace(group, slow);
    }
    question->stand_by = false;
    actions_.confirmations.push_back({question->id, question->merger});
  } else {
    if (Question* ready = StandByOf(group); ready != nullptr) {
      actions_.cancels.push_back({ready->id, ready->merger, /*stop_work=*/true});
      ready->state = QuestionState::kUnused;
    }
    if (question->max_attempts > 1) {
      actions_.confirmations.push_back({question->id, question->merger});
    }
  }
  question->state = QuestionState::kAccepted;
}

void SharedGather::End(Group* group) {
  group->ended = true;
  for (size_t i = 0; i < group->shards.count; ++i) {
    Shard& shard = shards_[group->shards.first + i];
    Lose(&shard);
    const bool untold = !shard.covered && shard.reason == MissingReason::kNotSent;
    if (untold && !group->questions.empty()) {
      shard.reason = MissingReason::kUnreachable;
    }
  }
}

void SharedGather::Lose(Shard* shard) {
  lost_ += shard->covered || shard->lost ? 0 : 1;
  shard->lost = !shard->covered;
}

void SharedGather::Cover(Shard* shard) {
  covered_ += shard->covered ? 0 : 1;
  lost_ -= shard->lost ? 1 : 0;
  shard->covered = true;
  shard->lost = false;
}

SharedGather::Question* SharedGather::FindOpen(uint64_t id) {
  const auto found = group_of_.find(id);
  if (found == group_of_.end() || answered_) {
    return nullptr;
  }
  for (Question& question : groups_[found->second].questions) {
    if (question.id == id && question.open()) {
      return &question;
    }
  }
  return nullptr;
}

void SharedGather::OnWord(Timestamp now, const wire::PartialAnswer& word) {
  Question* question = FindOpen(word.id);
  if (question == nullptr) {
    return;
  }
  Group& group = groups_[question->group];
  question->heard = now;
  switch (word.stage) {
    case wire::PartialStage::kRefused:
      // One that had confirmed may have sent meanwhile.
      if (question->state == QuestionState::kAccepted) {
        GiveUpOn(&group, question);
      }
      question->state = QuestionState::kRefused;
      AdvanceGroup(now, question->group);
      break;
    case wire::PartialStage::kDone:
      if (question->state == QuestionState::kAsked) {
        Accept(now, &group, question);
      }
      question->state = QuestionState::kDone;
      TakeParts(now, group, word);
      ran_ |= word.run == static_cast<uint32_t>(RunState::kRan);
      unknown_ |= word.run == static_cast<uint32_t>(RunState::kUnknown);
      End(&group);
      break;
    default:
      if (question->state == QuestionState::kAsked) {
        Accept(now, &group, question);
      }
      TakeParts(now, group, word);
      break;
  }
  Evaluate(now);
}

void SharedGather::TakeParts(Timestamp now, const Group& group, const wire::PartialAnswer& word) {
  const size_t before = covered_;
  for (const wire::PartialPart& part : word.parts) {
    if (part.shard >= group.shards.count) {
      continue;
    }
    Cover(&shards_[group.shards.first + part.shard]);
    outcome_.signatures.push_back(part.signature);
    ran_ = true;
  }
  if (covered_ > before) {
    arrivals_.push_back({now - started_, covered_ - before});
  }
  for (const wire::PartialGap& gap : word.gaps) {
    if (gap.shard < group.shards.count) {
      Shard& shard = shards_[group.shards.first + gap.shard];
      shard.reason = static_cast<MissingReason>(gap.reason);
      Lose(&shard);
    }
  }
  if (!word.records.empty()) {
    outcome_.records.push_back(word.records);
  }
  outcome_.extra += word.extra;
}

void SharedGather::OnMergerLost(Timestamp now, const std::string& merger) {
  for (size_t i = 0; i < groups_.size() && !answered_; ++i) {
    Group& group = groups_[i];
    if (group.ended) {
      continue;
    }
    bool lost = false;
    for (Question& question : group.questions) {
      if (!question.open() || question.merger != merger) {
        continue;
      }
      lost = true;
      if (question.stand_by) {
        question.state = QuestionState::kUnused;
      } else {
        GiveUpOn(&group, &question);
      }
    }
    if (lost) {
      AdvanceGroup(now, i);
    }
  }
  Evaluate(now);
}

bool SharedGather::Enough() const {
  const double share = static_cast<double>(covered_) / static_cast<double>(shards_.size());
  return covered_ > 0 && share + kCoverageEpsilon >= plan_.min_coverage;
}

void SharedGather::Evaluate(Timestamp now) {
  if (answered_) {
    return;
  }
  const size_t possible = shards_.size() - lost_;
  const bool out_of_reach =
      static_cast<double>(possible) / static_cast<double>(shards_.size()) + kCoverageEpsilon <
      plan_.min_coverage;
  if (covered_ == shards_.size()) {
    Finish(ResultCode::kOk);
  } else if (possible == covered_ || out_of_reach) {
    Finish(ResultCode::kCoverageNotReached);
  } else if (now >= deadline_) {
    Finish(ResultCode::kDeadlineExceeded);
  } else if (Enough() && IsDue(now)) {
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
    for (const Question& question : group.questions) {
      unknown_ |= question.open() && !question.stand_by;
    }
  }
  const bool whole = outcome_.missing.empty();
  outcome_.code = whole ? ResultCode::kOk : Enough() ? ResultCode::kPartial : failure;
  outcome_.run = unknown_ && !whole ? RunState::kUnknown
                 : ran_             ? RunState::kRan
                                    : RunState::kNotRun;
  actions_.outcome = std::move(outcome_);
  for (const Group& group : groups_) {
    for (const Question& question : group.questions) {
      if (question.open()) {
        actions_.cancels.push_back({question.id, question.merger, question.stand_by});
      }
    }
  }
}

void SharedGather::AbandonAll() {
  answered_ = true;
  for (const Group& group : groups_) {
    for (const Question& question : group.questions) {
      if (question.open()) {
        actions_.cancels.push_back({question.id, question.merger, /*stop_work=*/true});
      }
    }
  }
}

Timestamp SharedGather::GroupWake(Timestamp now, const Group& group) const {
  const bool stands_by = std::any_of(group.questions.begin(), group.questions.end(),
                                     [](const Question& q) { return q.open() && q.stand_by; });
  Timestamp wake = deadline_;
  for (const Question& question : group.questions) {
    if (!question.open()) {
      continue;
    }
    const bool accepted = question.state == QuestionState::kAccepted;
    const Timestamp slow = question.heard + options_.accept_patience;
    const Timestamp silent = question.heard + options_.silence_limit;
    const bool known_slow = !accepted && !question.stand_by && slow <= now;
    // Of one that is known to be slow nothing is decided before another one has spoken or not.
    if (!known_slow || !stands_by) {
      wake = std::min(wake, accepted || known_slow ? silent : slow);
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

std::vector<QuestionRecord> SharedGather::Questions() const {
  const auto name_of = [](QuestionState state) {
    switch (state) {
      case QuestionState::kAsked:
        return "asked";
      case QuestionState::kAccepted:
        return "accepted";
      case QuestionState::kDone:
        return "done";
      case QuestionState::kRefused:
        return "refused";
      case QuestionState::kUnused:
        return "unused";
      default:
        return "lost";
    }
  };
  std::vector<QuestionRecord> records;
  for (const Group& group : groups_) {
    for (const Question& question : group.questions) {
      QuestionRecord& record = records.emplace_back();
      record.group = question.group;
      record.merger = question.merger;
      record.sent = question.sent - started_;
      if (question.accepted.has_value()) {
        record.accepted_after = *question.accepted - question.sent;
      }
      record.state = name_of(question.state);
    }
  }
  return records;
}

}  // namespace pumicedyke::query
