// The part of ControlServer that handles requests that crash the leafs that run them: collects
// reports, warns of suspects, grants trials, and proposes to stop or release requests.
#include <iterator>
#include <utility>

#include "common/json.h"
#include "control/control_server.h"

namespace pumicedyke::control {

void ControlServer::OnRunReport(Timestamp now, SessionId session, const wire::RunReport& report) {
  quarantine_.OnReport(now, report);
  if (!report.relayed) {
    RelayRunReport(report);
  }
  // Acknowledges only with a quorum: a machine without one may be the only one that knows the
  // report, so the sender must report to others, too.
  const bool awaited = report.number != 0 && !report.from_control;
  if (awaited && !shutting_down_ && IsCurrent(now)) {
    output_.sessions.push_back({session, Wrap(wire::RunReportAck{report.number})});
  }
}

void ControlServer::RelayRunReport(wire::RunReport report) {
  report.relayed = true;
  report.from_control = true;
  for (const wire::Member& member : raft_.members()) {
    if (member.id != identity_.member) {
      SendToMember(member.id, report);
    }
  }
}

void ControlServer::UpdateQuarantine(Timestamp now) {
  if (shutting_down_ || !options_.stop_fatal_requests || !IsCurrent(now)) {
    return;
  }
  const bool leads = raft_.role() == consensus::Role::kLeader;
  std::optional<QuarantineProposal> proposal = quarantine_.Propose(now, state_.config(), leads);
  output_.insufficient = quarantine_.TakeInsufficient();
  NotifySuspects();
  if (leads) {
    ProposeSuspects(now);
  }
  if (!proposal.has_value()) {
    return;
  }
  Origin origin;
  origin.kind = Origin::Kind::kQuarantine;
  Route(now, EncodeCommand(proposal->change), origin);
  output_.quarantine.push_back(*std::move(proposal));
}

void ControlServer::ProposeSuspects(Timestamp now) {
  const bool awaiting = suspects_pending_ && now - suspects_proposed_ < options_.submission_timeout;
  const std::optional<quarantine::SuspectOperation> operation =
      awaiting ? std::nullopt : quarantine_.NextSuspectOperation(state_.suspects(), wall_ms_);
  if (!operation.has_value()) {
    return;
  }
  quarantine::SuspectOperation proposed = *operation;
  proposed.time_ms = wall_ms_;
  suspects_pending_ = true;
  suspects_proposed_ = now;
  Origin origin;
  origin.kind = Origin::Kind::kSuspects;
  Route(now, EncodeCommand(proposed), origin);
}

void ControlServer::NotifySuspects() {
  wire::SuspectNotice notice{quarantine_.TakeNewSuspects()};
  if (notice.requests.empty()) {
    return;
  }
  output_.suspects = notice.requests;
  if (sessions_.empty()) {
    return;
  }
  SessionMessage message{sessions_.begin()->first, Wrap(std::move(notice))};
  for (auto it = std::next(sessions_.begin()); it != sessions_.end(); ++it) {
    message.others.push_back(it->first);
  }
  output_.sessions.push_back(std::move(message));
}

void ControlServer::NotifySession(SessionId id) {
  wire::SuspectNotice notice{state_.suspects().Identities()};
  for (const auto& [identity, leafs] : quarantine_.suspects()) {
    if (!state_.suspects().Contains(identity)) {
      notice.requests.push_back(identity);
    }
  }
  if (!notice.requests.empty()) {
    output_.sessions.push_back({id, Wrap(std::move(notice))});
  }
}

void ControlServer::OnTrialRequest(Timestamp now, SessionId session,
                                   const wire::TrialRequest& request) {
  if (shutting_down_ || !IsCurrent(now)) {
    return;
  }
  Origin origin;
  origin.kind = Origin::Kind::kTrial;
  origin.session = session;
  origin.identity = request.identity;
  origin.request = request.attempt;
  const bool returns = request.returned > 0;
  const bool needed =
      options_.stop_fatal_requests && !quarantine_.evidence().HasSucceeded(request.identity);
  if (!returns && !needed) {
    wire::TrialReply reply;
    reply.verdict = wire::TrialVerdict::kNotNeeded;
    ReplyToTrial(origin, reply);
    return;
  }
  using Kind = quarantine::SuspectOperation::Kind;
  const quarantine::SuspectOperation operation{.kind = returns ? Kind::kReturn : Kind::kTry,
                                               .requests = {request.identity},
                                               .attempt = request.attempt,
                                               .number = request.returned,
                                               .time_ms = wall_ms_};
  if (returns) {
    origin.kind = Origin::Kind::kNobody;
  }
  Route(now, EncodeCommand(operation), origin);
  DrainRaft(now);
}

void ControlServer::AnswerTrial(const Origin& origin, const std::string& result) {
  const Json json = ParseJson(result);
  if (!json.is_object() || !json.contains("granted")) {
    // Not decided: the gateway or node asks again or refuses the request.
    return;
  }
  const auto decision = json.get<quarantine::TrialDecision>();
  wire::TrialReply reply;
  reply.verdict = decision.granted ? wire::TrialVerdict::kGranted : wire::TrialVerdict::kDenied;
  reply.number = decision.number;
  reply.retry_after = Milliseconds(decision.retry_after_ms);
  ReplyToTrial(origin, reply);
}

void ControlServer::ReplyToTrial(const Origin& origin, wire::TrialReply reply) {
  reply.identity = origin.identity;
  reply.attempt = origin.request;
  output_.trials.push_back(reply);
  output_.sessions.push_back({origin.session, Wrap(reply)});
}

}  // namespace pumicedyke::control
