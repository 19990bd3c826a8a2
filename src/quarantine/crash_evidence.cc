#include "quarantine/crash_evidence.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <optional>
#include <utility>

namespace pumicedyke::quarantine {
namespace {

using Runs = std::map<RequestIdentity, std::set<uint64_t>>;

/// Whether the request was not there, and one of the accused, alone among them, was. Where several
/// were there, none of them need have done it: in a crash loop everybody is there.
bool EndedUnderOneOther(const Runs& runs, const RequestIdentity& identity,
                        const std::set<RequestIdentity>& accused) {
  const auto there = std::count_if(runs.begin(), runs.end(), [&accused](const auto& item) {
    return accused.contains(item.first);
  });
  return there == 1 && !runs.contains(identity);
}

}  // namespace

bool CrashEvidence::IsNew(Timestamp now, const wire::RunReport& report) {
  if (report.number == 0) {
    return true;
  }
  LastReport& last = reporters_[report.reporter];
  if (report.number <= last.number) {
    return false;
  }
  last = {report.number, now};
  if (reporters_.size() > options_.most_reporters) {
    reporters_.erase(
        std::min_element(reporters_.begin(), reporters_.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
  }
  return true;
}

void CrashEvidence::OnReport(Timestamp now, const wire::RunReport& report) {
  if (!IsNew(now, report)) {
    return;
  }
  const Timestamp seen = now - std::clamp(report.age, Duration(0), options_.memory);
  for (const wire::LostRun& run : report.lost) {
    NoteLost(seen, run);
  }
  for (const RequestIdentity& identity : report.succeeded) {
    Acquit(identity);
    succeeded_[identity] = now;
  }
  for (const std::string& leaf : report.answering) {
    ends_.erase(ends_.lower_bound({leaf, 0}), ends_.upper_bound({leaf, next_end_}));
  }
  ++version_;
}

void CrashEvidence::NoteLost(Timestamp seen, const wire::LostRun& run) {
  succeeded_.erase(run.identity);
  auto& runs = EndOf(seen, run).runs;
  if (runs.size() < options_.most_runs_per_leaf || runs.contains(run.identity)) {
    runs[run.identity].insert(run.attempt);
  }
  if (ends_.size() > options_.most_leafs) {
    ends_.erase(std::min_element(ends_.begin(), ends_.end(), [](const auto& a, const auto& b) {
      return a.second.at < b.second.at;
    }));
  }
}

CrashEvidence::LeafEnd& CrashEvidence::EndOf(Timestamp seen, const wire::LostRun& run) {
  const auto after = ends_.upper_bound({run.leaf, next_end_});
  if (after != ends_.begin()) {
    const auto last = std::prev(after);
    // Reports of several processes on one end may be of different age.
    const bool same = last->first.first == run.leaf &&
                      std::chrono::abs(seen - last->second.at) < options_.one_end;
    if (same) {
      return last->second;
    }
  }
  LeafEnd& end = ends_[{run.leaf, next_end_++}];
  end.service = run.service;
  end.at = seen;
  return end;
}

void CrashEvidence::Acquit(const RequestIdentity& identity) {
  for (auto& [leaf, end] : ends_) {
    end.runs.erase(identity);
  }
  ++version_;
}

void CrashEvidence::Tick(Timestamp now) {
  const auto is_old = [&](Timestamp at) { return now - at > options_.memory; };
  const size_t forgotten =
      std::erase_if(ends_, [&](const auto& item) { return is_old(item.second.at); }) +
      std::erase_if(succeeded_, [&](const auto& item) { return is_old(item.second); });
  std::erase_if(reporters_, [&](const auto& item) { return is_old(item.second.at); });
  version_ += forgotten > 0 ? 1 : 0;
}

Verdict CrashEvidence::Judge(const RequestIdentity& identity, const LeafEnds& unexplained,
                             const std::set<RequestIdentity>& accused) const {
  Verdict verdict{.identity = identity};
  std::set<uint64_t> attempts;
  std::set<std::string> services;
  std::vector<Timestamp> times;
  for (const auto& [leaf, end] : unexplained) {
    const auto runs = end->runs.find(identity);
    if (runs == end->runs.end()) {
      continue;
    }
    ++verdict.leafs;
    attempts.insert(runs->second.begin(), runs->second.end());
    services.insert(end->service);
    times.push_back(end->at);
  }
  if (times.empty()) {
    return verdict;
  }
  const Timestamp first = *std::min_element(times.begin(), times.end());
  const Timestamp last = *std::max_element(times.begin(), times.end());
  const auto meanwhile =
      std::count_if(unexplained.begin(), unexplained.end(), [&](const auto& item) {
        const LeafEnd& end = *item.second;
        const bool meanwhile = end.at >= first && end.at <= last;
        return services.contains(end.service) && meanwhile &&
               !EndedUnderOneOther(end.runs, identity, accused);
      });
  verdict.attempts = attempts.size();
  verdict.share = static_cast<double>(verdict.leafs) / static_cast<double>(meanwhile);
  verdict.moments = CountMoments(std::move(times));
  return verdict;
}

size_t CrashEvidence::CountMoments(std::vector<Timestamp> times) const {
  std::sort(times.begin(), times.end());
  size_t moments = 0;
  Timestamp begun{};
  for (const Timestamp time : times) {
    if (moments == 0 || time - begun >= options_.moment_gap) {
      begun = time;
      ++moments;
    }
  }
  return moments;
}

bool CrashEvidence::Suffices(const Verdict& verdict,
                             const std::set<RequestIdentity>& offenders) const {
  if (offenders.contains(verdict.identity)) {
    return verdict.leafs > 0;
  }
  return verdict.leafs >= options_.leafs && verdict.attempts >= options_.attempts &&
         verdict.moments >= options_.moments && verdict.share >= options_.share;
}

std::map<RequestIdentity, CrashEvidence::Presence> CrashEvidence::Presences() const {
  std::map<RequestIdentity, Presence> presences;
  for (const auto& [leaf, end] : ends_) {
    for (const auto& [identity, attempts] : end.runs) {
      Presence& presence = presences[identity];
      ++presence.leafs;
      presence.attempts.insert(attempts.begin(), attempts.end());
    }
  }
  return presences;
}

std::set<RequestIdentity> CrashEvidence::Suspects() const {
  std::set<RequestIdentity> suspects;
  for (const auto& [identity, presence] : Presences()) {
    if (presence.leafs >= options_.leafs) {
      suspects.insert(identity);
    }
  }
  return suspects;
}

std::set<RequestIdentity> CrashEvidence::Accused(const std::set<RequestIdentity>& offenders) const {
  std::set<RequestIdentity> accused;
  std::multimap<size_t, RequestIdentity, std::greater<>> by_leafs;
  for (const auto& [identity, presence] : Presences()) {
    if (offenders.contains(identity)) {
      accused.insert(identity);
    } else if (presence.leafs >= options_.leafs && presence.attempts.size() >= options_.attempts) {
      by_leafs.emplace(presence.leafs, identity);
    }
  }
  for (const auto& [leafs, identity] : by_leafs) {
    if (accused.size() >= options_.most_accused) {
      break;
    }
    accused.insert(identity);
  }
  return accused;
}

std::vector<Verdict> CrashEvidence::Guilty(const std::set<RequestIdentity>& offenders) const {
  std::set<RequestIdentity> accused = Accused(offenders);
  LeafEnds unexplained;
  for (const auto& [leaf, end] : ends_) {
    unexplained[leaf] = &end;
  }
  std::vector<Verdict> guilty;
  while (true) {
    std::optional<Verdict> worst;
    for (const RequestIdentity& identity : accused) {
      const Verdict verdict = Judge(identity, unexplained, accused);
      const bool worse = !worst.has_value() || verdict.leafs > worst->leafs;
      if (worse && Suffices(verdict, offenders)) {
        worst = verdict;
      }
    }
    if (!worst.has_value()) {
      return guilty;
    }
    guilty.push_back(*worst);
    accused.erase(worst->identity);
    std::erase_if(unexplained,
                  [&](const auto& item) { return item.second->runs.contains(worst->identity); });
  }
}

}  // namespace pumicedyke::quarantine
