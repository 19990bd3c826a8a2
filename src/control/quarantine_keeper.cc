#include "control/quarantine_keeper.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pumicedyke::control {

std::optional<QuarantineProposal> QuarantineKeeper::Propose(Timestamp now,
                                                            const config::ConfigState& committed,
                                                            bool leads) {
  const bool waits = pending_ && now - proposed_ < options_.answer_patience;
  const Duration interval = std::max(
      options_.interval, options_.interval_per_leaf * static_cast<int64_t>(evidence_.leafs()));
  if (waits || now - judged_ < interval) {
    return std::nullopt;
  }
  judged_ = now;
  evidence_.Tick(now);
  NoteStopped(now, committed);
  NoteSuspects();
  std::optional<QuarantineProposal> proposal = ProposeRelease(now, committed, leads);
  if (!proposal.has_value()) {
    proposal = ProposeStop(now, committed, leads);
  }
  if (proposal.has_value()) {
    pending_ = true;
    proposed_ = now;
  }
  return proposal;
}

void QuarantineKeeper::NoteStopped(Timestamp now, const config::ConfigState& committed) {
  std::erase_if(stopped_since_, [&](const auto& item) {
    const bool released = !committed.IsQuarantined(item.first);
    if (released) {
      evidence_.Acquit(item.first);
    }
    return released;
  });
  for (const auto& [identity, record] : committed.quarantine()) {
    if (record.stopped) {
      stopped_since_.try_emplace(identity, now);
    }
  }
}

void QuarantineKeeper::NoteSuspects() {
  if (suspected_version_ == evidence_.version()) {
    return;
  }
  suspected_version_ = evidence_.version();
  std::set<RequestIdentity> suspects = evidence_.Suspects();
  for (const RequestIdentity& identity : suspects) {
    if (!suspects_.contains(identity) && new_suspects_.size() < options_.most_new_suspects) {
      new_suspects_.push_back(identity);
    }
  }
  suspects_ = std::move(suspects);
}

Duration QuarantineKeeper::HoldOf(const config::QuarantineRecord& record) const {
  const int before = static_cast<int>(record.times) - 1;
  return options_.hold * (1 << std::clamp(before, 0, options_.most_doublings));
}

std::optional<QuarantineProposal> QuarantineKeeper::ProposeRelease(
    Timestamp now, const config::ConfigState& committed, bool leads) {
  for (const auto& [identity, since] : stopped_since_) {
    const bool succeeded = evidence_.HasSucceeded(identity);
    const bool held_out = leads && now - since >= HoldOf(committed.quarantine().at(identity));
    if (succeeded || held_out) {
      QuarantineProposal proposal;
      proposal.change.kind = config::ChangeKind::kReleaseRequest;
      proposal.change.request = identity;
      proposal.change.on_parole = !succeeded;
      proposal.verdict.identity = identity;
      proposal.reason = succeeded ? "succeeded" : "held_long_enough";
      return proposal;
    }
  }
  return std::nullopt;
}

std::optional<QuarantineProposal> QuarantineKeeper::ProposeStop(
    Timestamp now, const config::ConfigState& committed, bool leads) {
  if (guilty_since_.empty() && judged_version_ == evidence_.version()) {
    return std::nullopt;
  }
  judged_version_ = evidence_.version();
  std::set<RequestIdentity> offenders;
  for (const auto& [identity, record] : committed.quarantine()) {
    offenders.insert(identity);
  }
  const Duration settle = leads ? options_.settle : options_.follower_settle;
  std::map<RequestIdentity, Timestamp> guilty_since;
  std::optional<QuarantineProposal> proposal;
  for (const quarantine::Verdict& verdict : evidence_.Guilty(offenders)) {
    if (committed.IsQuarantined(verdict.identity)) {
      continue;
    }
    const auto before = guilty_since_.find(verdict.identity);
    const Timestamp since = before == guilty_since_.end() ? now : before->second;
    guilty_since[verdict.identity] = since;
    if (!proposal.has_value() && now - since >= settle) {
      proposal.emplace();
      proposal->change.kind = config::ChangeKind::kQuarantineRequest;
      proposal->change.request = verdict.identity;
      proposal->verdict = verdict;
      proposal->reason = "ends_leafs";
    }
  }
  guilty_since_ = std::move(guilty_since);
  return proposal;
}

}  // namespace pumicedyke::control
