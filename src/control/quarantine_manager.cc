#include "control/quarantine_manager.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pumicedyke::control {
namespace {

/// Maximum number of suspects whose evidence is logged at a time.
constexpr size_t kMaxAssessed = 4;

}  // namespace

std::optional<QuarantineProposal> QuarantineManager::Propose(Timestamp now,
                                                             const config::ConfigState& committed,
                                                             bool leads) {
  const bool awaiting_answer = pending_ && now - proposed_ < options_.answer_timeout;
  const Duration interval = std::max(
      options_.interval, options_.interval_per_leaf * static_cast<int64_t>(evidence_.leafs()));
  if (awaiting_answer || now - evaluated_at_ < interval) {
    return std::nullopt;
  }
  evaluated_at_ = now;
  evidence_.Tick(now);
  UpdateStopped(now, committed);
  UpdateSuspects(committed);
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

void QuarantineManager::UpdateStopped(Timestamp now, const config::ConfigState& committed) {
  std::erase_if(stopped_since_, [&](const auto& item) {
    const bool released = !committed.IsQuarantined(item.first);
    if (released) {
      evidence_.Clear(item.first);
    }
    return released;
  });
  for (const auto& [identity, record] : committed.quarantine()) {
    if (record.stopped) {
      stopped_since_.try_emplace(identity, now);
    }
  }
}

void QuarantineManager::UpdateSuspects(const config::ConfigState& committed) {
  const bool all_announced = announced_.size() == suspects_.size();
  if (suspects_version_ == evidence_.version() && all_announced) {
    return;
  }
  suspects_version_ = evidence_.version();
  const std::map<RequestIdentity, size_t> before = std::exchange(suspects_, evidence_.Suspects());
  std::erase_if(announced_, [this](const auto& item) { return !suspects_.contains(item); });
  for (const auto& [identity, leafs] : suspects_) {
    if (new_suspects_.size() < options_.max_new_suspects && announced_.insert(identity).second) {
      new_suspects_.push_back(identity);
    }
    const auto known = before.find(identity);
    const bool changed = known == before.end() || known->second != leafs;
    if (changed && insufficient_.size() < kMaxAssessed && !committed.IsQuarantined(identity)) {
      insufficient_.push_back(evidence_.Assess(identity, {}));
    }
  }
}

std::optional<quarantine::SuspectOperation> QuarantineManager::NextSuspectOperation(
    const quarantine::SuspectTable& table, int64_t wall_ms) const {
  const int64_t retention_ms = options_.evidence.retention / Milliseconds(1);
  quarantine::SuspectOperation clear{.kind = quarantine::SuspectOperation::Kind::kClear};
  for (const auto& [identity, record] : table.suspects()) {
    const bool old = wall_ms - std::max(record.added_ms, record.granted_ms) > retention_ms;
    if (evidence_.HasSucceeded(identity) || old) {
      clear.requests.push_back(identity);
    }
  }
  if (!clear.requests.empty()) {
    return clear;
  }
  const size_t room =
      quarantine::kMaxSuspects - std::min(quarantine::kMaxSuspects, table.suspects().size());
  quarantine::SuspectOperation accuse{.kind = quarantine::SuspectOperation::Kind::kAccuse};
  for (const auto& [identity, leafs] : suspects_) {
    if (!table.Contains(identity) &&
        accuse.requests.size() < std::min(room, options_.max_new_suspects)) {
      accuse.requests.push_back(identity);
    }
  }
  return accuse.requests.empty() ? std::nullopt : std::optional(accuse);
}

Duration QuarantineManager::HoldDuration(const config::QuarantineRecord& record) const {
  const int before = static_cast<int>(record.times) - 1;
  return options_.hold * (1 << std::clamp(before, 0, options_.max_doublings));
}

std::optional<QuarantineProposal> QuarantineManager::ProposeRelease(
    Timestamp now, const config::ConfigState& committed, bool leads) {
  for (const auto& [identity, since] : stopped_since_) {
    const bool succeeded = evidence_.HasSucceeded(identity);
    const bool hold_expired =
        leads && now - since >= HoldDuration(committed.quarantine().at(identity));
    if (succeeded || hold_expired) {
      QuarantineProposal proposal;
      proposal.change.kind = config::ChangeKind::kReleaseRequest;
      proposal.change.request = identity;
      proposal.change.conditional = !succeeded;
      proposal.finding.identity = identity;
      proposal.reason = succeeded ? "succeeded" : "held_long_enough";
      return proposal;
    }
  }
  return std::nullopt;
}

std::optional<QuarantineProposal> QuarantineManager::ProposeStop(
    Timestamp now, const config::ConfigState& committed, bool leads) {
  if (confirmed_since_.empty() && evaluated_version_ == evidence_.version()) {
    return std::nullopt;
  }
  evaluated_version_ = evidence_.version();
  std::set<RequestIdentity> quarantined_before;
  for (const auto& [identity, record] : committed.quarantine()) {
    quarantined_before.insert(identity);
  }
  const Duration settle = leads ? options_.settle : options_.follower_settle;
  std::map<RequestIdentity, Timestamp> confirmed_since;
  std::optional<QuarantineProposal> proposal;
  for (const quarantine::CrashFinding& finding : evidence_.FatalRequests(quarantined_before)) {
    if (committed.IsQuarantined(finding.identity)) {
      continue;
    }
    const auto before = confirmed_since_.find(finding.identity);
    const Timestamp since = before == confirmed_since_.end() ? now : before->second;
    confirmed_since[finding.identity] = since;
    if (!proposal.has_value() && now - since >= settle) {
      proposal.emplace();
      proposal->change.kind = config::ChangeKind::kQuarantineRequest;
      proposal->change.request = finding.identity;
      proposal->finding = finding;
      proposal->reason = "ends_leafs";
    }
  }
  confirmed_since_ = std::move(confirmed_since);
  return proposal;
}

}  // namespace pumicedyke::control
