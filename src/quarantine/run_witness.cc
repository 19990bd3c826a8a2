#include "quarantine/run_witness.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::quarantine {

void RunWitness::OnSent(SubRequestId id, Run run) {
  if (run.identity.known()) {
    runs_.insert_or_assign(id, std::move(run));
  }
}

void RunWitness::OnEnded(Timestamp now, const query::LeafReply& reply) {
  const auto found = runs_.find(reply.id);
  if (found == runs_.end()) {
    return;
  }
  const Run run = std::move(found->second);
  runs_.erase(found);
  const bool succeeded = reply.status == query::LeafStatus::kOk;
  // Another leaf at the same address refuses, too, but with other words.
  const bool answered =
      succeeded || reply.status == query::LeafStatus::kShed || reply.payload != nullptr;
  if (reply.connection_lost) {
    NoteLost(now, run);
  } else if (answered) {
    NoteAnswer(run, succeeded);
  }
}

void RunWitness::NoteLost(Timestamp now, const Run& run) {
  Suspect& suspect = suspects_[run.identity];
  suspect.harmless = false;
  suspect.leafs.insert(run.leaf);
  suspect.last_lost = now;
  lost_at_[run.leaf] = now;
  Report().lost.push_back({run.identity, run.attempt, run.leaf, run.service});
  Forget(now);
}

void RunWitness::NoteAnswer(const Run& run, bool succeeded) {
  const auto lost = lost_at_.find(run.leaf);
  const bool lives = options_.names_are_lives && lost != lost_at_.end() && run.sent > lost->second;
  if (lives) {
    Report().answering.push_back(run.leaf);
    lost_at_.erase(lost);
  }
  if (succeeded) {
    NoteSuccess(run.identity);
  }
}

void RunWitness::NoteSuccess(const RequestIdentity& identity) {
  const bool warned_of = warned_of_.erase(identity) > 0;
  const auto suspect = suspects_.find(identity);
  const bool suspected = suspect != suspects_.end() && !suspect->second.harmless;
  if (suspected) {
    suspect->second.harmless = true;
    suspect->second.leafs.clear();
  }
  if (suspected || warned_of) {
    Report().succeeded.push_back(identity);
  }
}

void RunWitness::OnWarned(Timestamp now, const std::vector<RequestIdentity>& requests) {
  std::erase_if(warned_of_,
                [&](const auto& item) { return now - item.second >= options_.warning; });
  for (const RequestIdentity& request : requests) {
    const auto suspect = suspects_.find(request);
    if (suspect != suspects_.end() && suspect->second.harmless) {
      Report().succeeded.push_back(request);
    } else if (warned_of_.size() < options_.most_suspects) {
      warned_of_[request] = now;
    }
  }
}

void RunWitness::OnQuarantined(const std::set<RequestIdentity>& requests) {
  for (const RequestIdentity& request : requests) {
    const auto suspect = suspects_.find(request);
    if (suspect != suspects_.end() && suspect->second.harmless) {
      Report().succeeded.push_back(request);
    }
  }
}

bool RunWitness::IsSuspect(Timestamp now, const RequestIdentity& identity) const {
  const auto warning = warned_of_.find(identity);
  if (warning != warned_of_.end() && now - warning->second < options_.warning) {
    return true;
  }
  const auto suspect = suspects_.find(identity);
  return suspect != suspects_.end() && suspect->second.leafs.size() >= options_.suspicious_leafs;
}

bool RunWitness::IsAccused(const RequestIdentity& identity) const {
  const auto suspect = suspects_.find(identity);
  return suspect != suspects_.end() && !suspect->second.harmless;
}

std::optional<wire::RunReport> RunWitness::TakeReport() {
  return std::exchange(report_, std::nullopt);
}

wire::RunReport& RunWitness::Report() {
  if (!report_.has_value()) {
    report_.emplace();
  }
  return *report_;
}

void RunWitness::Forget(Timestamp now) {
  const auto is_old = [&](Timestamp last) { return now - last > options_.memory; };
  std::erase_if(suspects_, [&](const auto& item) { return is_old(item.second.last_lost); });
  std::erase_if(lost_at_, [&](const auto& item) { return is_old(item.second); });
  while (suspects_.size() > options_.most_suspects) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(),
        [](const auto& a, const auto& b) { return a.second.last_lost < b.second.last_lost; }));
  }
  while (lost_at_.size() > options_.most_leafs) {
    lost_at_.erase(
        std::min_element(lost_at_.begin(), lost_at_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

}  // namespace pumicedyke::quarantine
