#include "quarantine/run_tracker.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::quarantine {

void RunTracker::OnSent(SubRequestId id, Run run) {
  if (run.identity.known()) {
    runs_.insert_or_assign(id, std::move(run));
  }
}

void RunTracker::OnEnded(Timestamp now, const query::LeafReply& reply) {
  const auto found = runs_.find(reply.id);
  if (found == runs_.end()) {
    return;
  }
  const Run run = std::move(found->second);
  runs_.erase(found);
  const bool succeeded = reply.status == query::LeafStatus::kOk;
  // Another leaf at the same address would also refuse, but with another status.
  const bool answered =
      succeeded || reply.status == query::LeafStatus::kShed || reply.payload != nullptr;
  if (reply.connection_lost) {
    RecordLost(now, run);
  } else if (answered) {
    RecordAnswer(run, succeeded);
  }
}

void RunTracker::RecordLost(Timestamp now, const Run& run) {
  Suspect& suspect = suspects_[run.identity];
  suspect.cleared = false;
  suspect.leafs.insert(run.leaf);
  suspect.last_lost = now;
  lost_at_[run.leaf] = now;
  Report().lost.push_back({run.identity, run.attempt, run.leaf, run.service, run.trial});
  DiscardOld(now);
}

void RunTracker::RecordAnswer(const Run& run, bool succeeded) {
  const auto lost = lost_at_.find(run.leaf);
  const bool alive = !run.leaf_name_reused && lost != lost_at_.end() && run.sent > lost->second;
  if (alive) {
    Report().alive_leafs.push_back(run.leaf);
    lost_at_.erase(lost);
  }
  if (succeeded) {
    RecordSuccess(run.identity);
  }
}

void RunTracker::RecordSuccess(const RequestIdentity& identity) {
  const bool warned = warnings_.erase(identity) > 0;
  const auto suspect = suspects_.find(identity);
  const bool suspected = suspect != suspects_.end() && !suspect->second.cleared;
  if (suspected) {
    suspect->second.cleared = true;
    suspect->second.leafs.clear();
  }
  if (suspected || warned) {
    Report().succeeded.push_back(identity);
  }
}

void RunTracker::OnSuspectNotice(Timestamp now, const std::vector<RequestIdentity>& requests) {
  std::erase_if(warnings_, [&](const auto& item) { return now - item.second >= options_.warning; });
  for (const RequestIdentity& request : requests) {
    const auto suspect = suspects_.find(request);
    if (suspect != suspects_.end() && suspect->second.cleared) {
      Report().succeeded.push_back(request);
    } else {
      warnings_[request] = now;
    }
  }
  while (warnings_.size() > options_.max_warnings) {
    warnings_.erase(
        std::min_element(warnings_.begin(), warnings_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

void RunTracker::OnCleared(const RequestIdentity& identity) {
  warnings_.erase(identity);
  suspects_.erase(identity);
}

void RunTracker::OnQuarantined(const std::set<RequestIdentity>& requests) {
  for (const RequestIdentity& request : requests) {
    const auto suspect = suspects_.find(request);
    if (suspect != suspects_.end() && suspect->second.cleared) {
      Report().succeeded.push_back(request);
    }
  }
}

Suspicion RunTracker::SuspicionOf(Timestamp now, const RequestIdentity& identity) const {
  if (HasOwnLosses(identity)) {
    return Suspicion::kOwnLosses;
  }
  return IsWarned(now, identity) ? Suspicion::kNotice : Suspicion::kNone;
}

bool RunTracker::HasOwnLosses(const RequestIdentity& identity) const {
  const auto suspect = suspects_.find(identity);
  return suspect != suspects_.end() &&
         suspect->second.leafs.size() >= options_.suspect_leaf_threshold;
}

bool RunTracker::IsWarned(Timestamp now, const RequestIdentity& identity) const {
  const auto warning = warnings_.find(identity);
  return warning != warnings_.end() && now - warning->second < options_.warning;
}

size_t RunTracker::CountSuspects(Timestamp now) const {
  const auto lost_here =
      std::count_if(suspects_.begin(), suspects_.end(),
                    [this](const auto& item) { return HasOwnLosses(item.first); });
  const auto warned_only = std::count_if(warnings_.begin(), warnings_.end(), [&](const auto& item) {
    return IsWarned(now, item.first) && !HasOwnLosses(item.first);
  });
  return static_cast<size_t>(lost_here + warned_only);
}

bool RunTracker::HasUnclearedLosses(const RequestIdentity& identity) const {
  const auto suspect = suspects_.find(identity);
  return suspect != suspects_.end() && !suspect->second.cleared;
}

std::optional<wire::RunReport> RunTracker::TakeReport() {
  return std::exchange(report_, std::nullopt);
}

wire::RunReport& RunTracker::Report() {
  if (!report_.has_value()) {
    report_.emplace();
  }
  return *report_;
}

void RunTracker::DiscardOld(Timestamp now) {
  const auto is_old = [&](Timestamp last) { return now - last > options_.retention; };
  std::erase_if(suspects_, [&](const auto& item) { return is_old(item.second.last_lost); });
  std::erase_if(lost_at_, [&](const auto& item) { return is_old(item.second); });
  while (suspects_.size() > options_.max_suspects) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(),
        [](const auto& a, const auto& b) { return a.second.last_lost < b.second.last_lost; }));
  }
  while (lost_at_.size() > options_.max_leafs) {
    lost_at_.erase(
        std::min_element(lost_at_.begin(), lost_at_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

}  // namespace pumicedyke::quarantine
