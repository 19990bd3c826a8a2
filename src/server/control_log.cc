#include "server/control_log.h"

#include <algorithm>

#include "common/log.h"
#include "common/result_code.h"

namespace pumicedyke::server {
namespace {

const char* RoleName(consensus::Role role) {
  switch (role) {
    case consensus::Role::kLeader:
      return "leader";
    case consensus::Role::kCandidate:
      return "candidate";
    case consensus::Role::kPreCandidate:
      return "pre_candidate";
    default:
      return "follower";
  }
}

}  // namespace

void ControlLog::OnQuarantineProposal(const control::QuarantineProposal& proposal) {
  const bool stops = proposal.change.kind == config::ChangeKind::kQuarantineRequest;
  LogEvent(stops ? "quarantine_proposed" : "release_proposed",
           {{"identity", ToText(proposal.change.request)},
            {"reason", proposal.reason},
            {"leafs", proposal.finding.leafs},
            {"attempts", proposal.finding.attempts},
            {"moments", proposal.finding.time_points},
            {"share", proposal.finding.share}});
}

bool ControlLog::Allow(Timestamp now) {
  constexpr Duration kSecond = Seconds(1);
  if (!limiter_.Allow(now.time_since_epoch() / kSecond)) {
    return false;
  }
  if (const uint64_t left_out = limiter_.TakeSuppressed(); left_out > 0) {
    LogEvent("lines_left_out", {{"lines", left_out}, {"dropped", DroppedLogLines()}});
  }
  return true;
}

void ControlLog::OnInsufficientEvidence(Timestamp now, const quarantine::CrashFinding& finding) {
  if (!Allow(now)) {
    return;
  }
  LogEvent("evidence_insufficient", {{"identity", ToText(finding.identity)},
                                     {"leafs", finding.leafs},
                                     {"attempts", finding.attempts},
                                     {"moments", finding.time_points},
                                     {"share", finding.share}});
}

void ControlLog::OnTrial(Timestamp now, const wire::TrialReply& decision) {
  if (!Allow(now)) {
    return;
  }
  LogEvent("trial_decided", {{"identity", ToText(decision.identity)},
                             {"verdict", wire::TrialVerdictName(decision.verdict)},
                             {"number", decision.number},
                             {"retry_after_ms", ToMilliseconds(decision.retry_after)}});
}

void ControlLog::OnSuspects(Timestamp now, const std::vector<RequestIdentity>& requests) {
  constexpr size_t kMaxNames = 4;
  if (requests.empty() || !Allow(now)) {
    return;
  }
  std::vector<std::string> first;
  for (size_t i = 0; i < std::min(kMaxNames, requests.size()); ++i) {
    first.push_back(ToText(requests[i]));
  }
  LogEvent("suspects_announced", {{"count", requests.size()}, {"first", first}});
}

void ControlLog::LogQuarantineChanges(const config::ConfigState& config) {
  const size_t stopped = config.StoppedRequests().size();
  if (stopped != stopped_requests_) {
    stopped_requests_ = stopped;
    LogEvent("quarantine_changed",
             {{"stopped", stopped}, {"config_version", config.version().value}});
  }
}

void ControlLog::LogMembership(const control::ControlServer& server) {
  std::vector<std::string> voters;
  std::vector<std::string> others;
  for (const wire::Member& member : server.raft().members()) {
    (member.voter ? voters : others).push_back(member.machine);
  }
  if (voters != voters_ || others != others_) {
    voters_ = voters;
    others_ = others;
    LogEvent("members_changed", {{"members", voters_.size() + others_.size()},
                                 {"voters", voters_.size()},
                                 {"voting", voters_},
                                 {"others", others_},
                                 {"commit_index", server.raft().commit_index()}});
  }
  if (server.asks_to_join() != asks_to_join_) {
    asks_to_join_ = server.asks_to_join();
    LogEvent(asks_to_join_ ? "join_requested" : "join_ended",
             {{"listed", server.raft().IsMember(server.raft().self())},
              {"leader", server.raft().leader()},
              {"commit_index", server.raft().commit_index()}});
  }
}

void ControlLog::OnState(Timestamp now, const control::ControlServer& server,
                         const control::DiscoveryServer& discovery) {
  const consensus::Raft& raft = server.raft();
  if (raft.role() != role_ || raft.term() != term_ || raft.leader() != leader_) {
    role_ = raft.role();
    term_ = raft.term();
    leader_ = raft.leader();
    LogEvent("role_changed", {{"role", RoleName(role_)},
                              {"term", term_},
                              {"leader", leader_},
                              {"commit_index", raft.commit_index()}});
  }
  LogQuarantineChanges(server.state().config());
  const bool current = server.IsCurrent(now);
  if (current != current_) {
    current_ = current;
    LogEvent(current ? "quorum_regained" : "quorum_lost",
             {{"term", term_}, {"commit_index", raft.commit_index()}});
  }
  LogMembership(server);
  const bool reporters_changed =
      discovery.registry().size() != leafs_ || discovery.directory().size() != gateways_;
  if (reporters_changed && now - reporters_logged_at_ >= kReportersInterval) {
    reporters_logged_at_ = now;
    leafs_ = discovery.registry().size();
    gateways_ = discovery.directory().size();
    LogEvent("reporters_changed", {{"leafs", leafs_}, {"gateways", gateways_}});
  }
}

}  // namespace pumicedyke::server
