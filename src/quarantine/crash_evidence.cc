#include "quarantine/crash_evidence.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <optional>
#include <utility>

namespace pumicedyke::quarantine {
namespace {

using Runs = std::map<RequestIdentity, std::set<uint64_t>>;

/// Returns true if exactly one candidate was running at the leaf and it was not `identity`. With
/// several candidates the crash cannot be attributed: in a crash loop every request is present.
bool CrashedWithOneOtherCandidate(const Runs& runs, const RequestIdentity& identity,
                                  const std::set<RequestIdentity>& candidates) {
  const auto candidate_count =
      std::count_if(runs.begin(), runs.end(),
                    [&candidates](const auto& item) { return candidates.contains(item.first); });
  return candidate_count == 1 && !runs.contains(identity);
}

}  // namespace

bool CrashEvidence::IsNew(Timestamp now, const wire::RunReport& report) {
  if (report.number == 0) {
    return true;
  }
  Reporter& reporter = reporters_[report.reporter];
  reporter.last_contact = now;
  if (report.number > reporter.highest) {
    reporter.received <<= std::min<uint64_t>(report.number - reporter.highest, kReorderWindow);
    reporter.highest = report.number;
  }
  const uint64_t behind = reporter.highest - report.number;
  const bool is_new = behind < kReorderWindow && !reporter.received.test(behind);
  if (is_new) {
    reporter.received.set(behind);
  }
  if (reporters_.size() > options_.max_reporters) {
    reporters_.erase(
        std::min_element(reporters_.begin(), reporters_.end(), [](const auto& a, const auto& b) {
          return a.second.last_contact < b.second.last_contact;
        }));
  }
  return is_new;
}

bool CrashEvidence::HasSucceededSince(const wire::RunReport& report,
                                      const RequestIdentity& identity) const {
  const auto success = succeeded_.find(identity);
  return success != succeeded_.end() && report.number != 0 &&
         success->second.reporter == report.reporter && success->second.number > report.number;
}

void CrashEvidence::OnReport(Timestamp now, const wire::RunReport& report) {
  if (!IsNew(now, report)) {
    return;
  }
  const Timestamp seen = now - std::clamp(report.age, Duration(0), options_.retention);
  for (const wire::LostRun& run : report.lost) {
    if (!HasSucceededSince(report, run.identity)) {
      RecordLost(seen, run);
    }
  }
  for (const RequestIdentity& identity : report.succeeded) {
    Clear(identity);
    succeeded_[identity] = {now, report.reporter, report.number};
  }
  for (const std::string& leaf : report.alive_leafs) {
    crashes_.erase(crashes_.lower_bound({leaf, 0}), crashes_.upper_bound({leaf, next_crash_}));
  }
  ++version_;
}

void CrashEvidence::RecordLost(Timestamp seen, const wire::LostRun& run) {
  succeeded_.erase(run.identity);
  LeafCrash& crash = FindOrAddCrash(seen, run);
  auto& runs = crash.runs;
  if (runs.size() < options_.max_runs_per_leaf || runs.contains(run.identity)) {
    runs[run.identity].insert(run.attempt);
    RecordTrial(&crash, run);
  }
  if (crashes_.size() > options_.max_leafs) {
    crashes_.erase(
        std::min_element(crashes_.begin(), crashes_.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
  }
}

void CrashEvidence::RecordTrial(LeafCrash* crash, const wire::LostRun& run) {
  if (run.trial > 0) {
    uint32_t& trial = crash->trials[run.identity];
    trial = std::max(trial, run.trial);
  }
}

CrashEvidence::LeafCrash& CrashEvidence::FindOrAddCrash(Timestamp seen, const wire::LostRun& run) {
  const auto after = crashes_.upper_bound({run.leaf, next_crash_});
  if (after != crashes_.begin()) {
    const auto last = std::prev(after);
    // Several processes may report the same crash at different times.
    const bool same = last->first.first == run.leaf &&
                      std::chrono::abs(seen - last->second.at) < options_.same_crash_window;
    if (same) {
      return last->second;
    }
  }
  LeafCrash& crash = crashes_[{run.leaf, next_crash_++}];
  crash.service = run.service;
  crash.at = seen;
  return crash;
}

void CrashEvidence::Clear(const RequestIdentity& identity) {
  for (auto& [leaf, crash] : crashes_) {
    crash.runs.erase(identity);
    crash.trials.erase(identity);
  }
  ++version_;
}

void CrashEvidence::Tick(Timestamp now) {
  const auto is_old = [&](Timestamp at) { return now - at > options_.retention; };
  const size_t forgotten =
      std::erase_if(crashes_, [&](const auto& item) { return is_old(item.second.at); }) +
      std::erase_if(succeeded_, [&](const auto& item) { return is_old(item.second.at); });
  std::erase_if(reporters_, [&](const auto& item) { return is_old(item.second.last_contact); });
  version_ += forgotten > 0 ? 1 : 0;
}

CrashFinding CrashEvidence::Evaluate(const RequestIdentity& identity,
                                     const LeafCrashes& unexplained,
                                     const std::set<RequestIdentity>& candidates) const {
  CrashFinding finding{.identity = identity};
  std::set<uint64_t> attempts;
  std::set<std::string> services;
  std::vector<Timestamp> times;
  for (const auto& [leaf, crash] : unexplained) {
    const auto runs = crash->runs.find(identity);
    if (runs == crash->runs.end()) {
      continue;
    }
    ++finding.leafs;
    attempts.insert(runs->second.begin(), runs->second.end());
    services.insert(crash->service);
    const auto trial = crash->trials.find(identity);
    finding.failed_trial =
        std::max(finding.failed_trial, trial == crash->trials.end() ? 0 : trial->second);
    times.push_back(crash->at);
  }
  if (times.empty()) {
    return finding;
  }
  const Timestamp first = *std::min_element(times.begin(), times.end());
  const Timestamp last = *std::max_element(times.begin(), times.end());
  const auto meanwhile =
      std::count_if(unexplained.begin(), unexplained.end(), [&](const auto& item) {
        const LeafCrash& crash = *item.second;
        const bool meanwhile = crash.at >= first && crash.at <= last;
        return services.contains(crash.service) && meanwhile &&
               !CrashedWithOneOtherCandidate(crash.runs, identity, candidates);
      });
  finding.attempts = attempts.size();
  finding.share = static_cast<double>(finding.leafs) / static_cast<double>(meanwhile);
  finding.time_points = CountTimePoints(std::move(times));
  return finding;
}

size_t CrashEvidence::CountTimePoints(std::vector<Timestamp> times) const {
  std::sort(times.begin(), times.end());
  size_t time_points = 0;
  Timestamp begun{};
  for (const Timestamp time : times) {
    if (time_points == 0 || time - begun >= options_.time_point_gap) {
      begun = time;
      ++time_points;
    }
  }
  return time_points;
}

bool CrashEvidence::IsSufficient(const CrashFinding& finding,
                                 const std::set<RequestIdentity>& known_fatal) const {
  if (known_fatal.contains(finding.identity)) {
    return finding.leafs > 0;
  }
  return finding.leafs >= options_.leafs && finding.attempts >= options_.attempts &&
         finding.time_points >= options_.time_points && finding.share >= options_.share;
}

std::map<RequestIdentity, CrashEvidence::Occurrence> CrashEvidence::Occurrences() const {
  std::map<RequestIdentity, Occurrence> occurrences;
  for (const auto& [leaf, crash] : crashes_) {
    for (const auto& [identity, attempts] : crash.runs) {
      Occurrence& occurrence = occurrences[identity];
      ++occurrence.leafs;
      occurrence.attempts.insert(attempts.begin(), attempts.end());
    }
  }
  return occurrences;
}

std::map<RequestIdentity, size_t> CrashEvidence::Suspects() const {
  std::map<RequestIdentity, size_t> suspects;
  for (const auto& [identity, occurrence] : Occurrences()) {
    if (occurrence.leafs >= options_.leafs) {
      suspects[identity] = occurrence.leafs;
    }
  }
  return suspects;
}

std::set<RequestIdentity> CrashEvidence::Candidates(
    const std::set<RequestIdentity>& known_fatal) const {
  std::set<RequestIdentity> candidates;
  std::multimap<size_t, RequestIdentity, std::greater<>> by_leafs;
  for (const auto& [identity, occurrence] : Occurrences()) {
    if (known_fatal.contains(identity)) {
      candidates.insert(identity);
    } else if (occurrence.leafs >= options_.leafs &&
               occurrence.attempts.size() >= options_.attempts) {
      by_leafs.emplace(occurrence.leafs, identity);
    }
  }
  for (const auto& [leafs, identity] : by_leafs) {
    if (candidates.size() >= options_.max_candidates) {
      break;
    }
    candidates.insert(identity);
  }
  return candidates;
}

CrashEvidence::LeafCrashes CrashEvidence::AllCrashes() const {
  LeafCrashes crashes;
  for (const auto& [leaf, crash] : crashes_) {
    crashes[leaf] = &crash;
  }
  return crashes;
}

CrashFinding CrashEvidence::Assess(const RequestIdentity& identity,
                                   const std::set<RequestIdentity>& known_fatal) const {
  return Evaluate(identity, AllCrashes(), Candidates(known_fatal));
}

std::set<RequestIdentity> CrashEvidence::FailedInTrials() const {
  std::set<RequestIdentity> failed;
  for (const auto& [leaf, crash] : crashes_) {
    for (const auto& [identity, trial] : crash.trials) {
      if (trial >= options_.failed_trials) {
        failed.insert(identity);
      }
    }
  }
  return failed;
}

std::vector<CrashFinding> CrashEvidence::FatalRequests(
    const std::set<RequestIdentity>& known_fatal) const {
  std::set<RequestIdentity> candidates = Candidates(known_fatal);
  LeafCrashes unexplained = AllCrashes();
  std::vector<CrashFinding> confirmed;
  for (const RequestIdentity& identity : FailedInTrials()) {
    // Those known to be fatal are evaluated as candidates.
    if (!known_fatal.contains(identity) && confirmed.size() < options_.max_candidates) {
      confirmed.push_back(Evaluate(identity, unexplained, candidates));
    }
  }
  for (const CrashFinding& finding : confirmed) {
    candidates.erase(finding.identity);
    std::erase_if(unexplained,
                  [&](const auto& item) { return item.second->runs.contains(finding.identity); });
  }
  while (true) {
    std::optional<CrashFinding> worst;
    for (const RequestIdentity& identity : candidates) {
      const CrashFinding finding = Evaluate(identity, unexplained, candidates);
      const bool worse = !worst.has_value() || finding.leafs > worst->leafs;
      if (worse && IsSufficient(finding, known_fatal)) {
        worst = finding;
      }
    }
    if (!worst.has_value()) {
      return confirmed;
    }
    confirmed.push_back(*worst);
    candidates.erase(worst->identity);
    std::erase_if(unexplained,
                  [&](const auto& item) { return item.second->runs.contains(worst->identity); });
  }
}

}  // namespace pumicedyke::quarantine
