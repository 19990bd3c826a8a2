// The part of ControlServer that handles commands of operators and nodes: proposes them here or
// forwards them to the leader, and answers the sender.
#include <algorithm>
#include <iterator>
#include <utility>

#include "common/json.h"
#include "common/result_code.h"
#include "control/control_server.h"

namespace pumicedyke::control {
namespace {

std::string ResultJson(ResultCode code, const std::string& message, uint64_t version) {
  return Json(config::ChangeResult{static_cast<int>(code), message, version, 0}).dump();
}

}  // namespace

std::string ControlServer::ShuttingDownJson() const {
  return ResultJson(ResultCode::kShuttingDown, "this control machine is stopping",
                    state_.config().version().value);
}

void ControlServer::Submit(Timestamp now, TicketId ticket, const config::Change& change) {
  Origin origin;
  origin.kind = Origin::Kind::kOperator;
  origin.ticket = ticket;
  if (shutting_down_) {
    Answer(origin, ShuttingDownJson());
    return;
  }
  Route(now, EncodeCommand(change), origin);
  DrainRaft(now);
}

void ControlServer::Route(Timestamp now, const absl::StatusOr<std::string>& command,
                          Origin origin) {
  if (!command.ok()) {
    Answer(origin, ResultJson(CodeOf(command.status()), std::string(command.status().message()),
                              state_.config().version().value));
    return;
  }
  origin.deadline = now + options_.submission_timeout;
  if (raft_.role() == consensus::Role::kLeader) {
    ProposeHere(now, *command, origin);
    return;
  }
  const uint64_t ticket = next_ticket_++;
  ForwardedCommand& forwarded = forwarded_[ticket];
  forwarded.origin = origin;
  forwarded.command = *command;
  SendForwarded(now, ticket, &forwarded);
}

void ControlServer::SendForwarded(Timestamp now, uint64_t ticket, ForwardedCommand* forwarded) {
  // If this machine has become the leader, RetryForwarded() proposes the command at the next tick.
  const bool leads = raft_.role() == consensus::Role::kLeader;
  forwarded->leader = leads ? 0 : raft_.leader();
  forwarded->sent = now;
  if (forwarded->leader != 0) {
    SendToMember(forwarded->leader, wire::Forwarded{identity_.member, ticket, forwarded->command});
  }
}

void ControlServer::RetryForwarded(Timestamp now) {
  std::vector<std::pair<std::string, Origin>> to_propose;
  for (auto it = forwarded_.begin(); it != forwarded_.end();) {
    ForwardedCommand& forwarded = it->second;
    // Only changes of operators may be repeated: a submission ID or their content makes them
    // idempotent.
    const bool repeatable = forwarded.origin.kind == Origin::Kind::kOperator;
    const bool pending_hello = now - forwarded.sent >= options_.forward_timeout;
    const bool other_leader = raft_.leader() != 0 && raft_.leader() != forwarded.leader;
    if (!repeatable || (!pending_hello && !other_leader)) {
      ++it;
    } else if (raft_.role() == consensus::Role::kLeader) {
      to_propose.emplace_back(forwarded.command, forwarded.origin);
      it = forwarded_.erase(it);
    } else {
      SendForwarded(now, it->first, &forwarded);
      ++it;
    }
  }
  for (const auto& [command, origin] : to_propose) {
    ProposeHere(now, command, origin);
  }
}

void ControlServer::RetryReads(Timestamp now) {
  for (auto& [read, pending] : config_reads_) {
    if (now - pending.asked >= options_.forward_timeout) {
      pending.asked = now;
      raft_.RequestRead(now, read);
    }
  }
}

void ControlServer::ProposeHere(Timestamp now, const std::string& command, Origin origin) {
  absl::StatusOr<uint64_t> index = raft_.Propose(now, command);
  if (!index.ok()) {
    AnswerNoQuorum(origin);
    return;
  }
  const bool repeats = origin.kind == Origin::Kind::kOperator;
  Proposal truncated =
      std::exchange(proposals_[*index], {raft_.term(), origin, repeats ? command : std::string()});
  if (truncated.term != 0) {
    AbandonProposal(now, std::move(truncated));
  }
}

void ControlServer::AbandonProposal(Timestamp now, Proposal proposal) {
  switch (proposal.origin.kind) {
    case Origin::Kind::kOperator: {
      const uint64_t ticket = next_ticket_++;
      ForwardedCommand& forwarded = forwarded_[ticket];
      forwarded.origin = proposal.origin;
      forwarded.command = std::move(proposal.command);
      SendForwarded(now, ticket, &forwarded);
      break;
    }
    case Origin::Kind::kPeer:
      // The peer forwards the command again by itself.
      break;
    default:
      AnswerNoQuorum(proposal.origin);
      break;
  }
}

void ControlServer::AbandonDeposed(Timestamp now) {
  const bool leads = raft_.role() == consensus::Role::kLeader;
  std::vector<Proposal> deposed;
  std::erase_if(proposals_, [&](auto& item) {
    const bool current = leads && item.second.term == raft_.term();
    if (!current) {
      deposed.push_back(std::move(item.second));
    }
    return !current;
  });
  for (Proposal& proposal : deposed) {
    AbandonProposal(now, std::move(proposal));
  }
}

void ControlServer::AnswerNoQuorum(const Origin& origin) {
  Answer(origin, ResultJson(ResultCode::kNoQuorum,
                            "no quorum answered in time; resend with the same submission id",
                            state_.config().version().value));
}

void ControlServer::Answer(const Origin& origin, const std::string& result) {
  switch (origin.kind) {
    case Origin::Kind::kOperator:
      output_.operators.push_back({origin.ticket, result});
      break;
    case Origin::Kind::kQuarantine:
      quarantine_.OnAnswer();
      break;
    case Origin::Kind::kTrial:
      AnswerTrial(origin, result);
      break;
    case Origin::Kind::kSuspects:
      suspects_pending_ = false;
      break;
    case Origin::Kind::kNobody:
      break;
    case Origin::Kind::kPeer:
      SendToMember(origin.peer, wire::ForwardedReply{origin.ticket, result});
      break;
    case Origin::Kind::kLedger: {
      const Json json = ParseJson(result);
      if (!json.is_object() || !json.contains("verdict")) {
        break;
      }
      wire::LedgerReply reply{origin.request, json["verdict"].get<wire::LedgerVerdict>(),
                              json.value("outcome", "")};
      output_.sessions.push_back({origin.session, Wrap(std::move(reply))});
      break;
    }
  }
}

void ControlServer::OnForwarded(Timestamp now, const wire::Forwarded& forwarded) {
  if (raft_.role() != consensus::Role::kLeader) {
    return;
  }
  Origin origin;
  origin.kind = Origin::Kind::kPeer;
  origin.peer = forwarded.origin;
  origin.ticket = forwarded.ticket;
  origin.deadline = now + options_.submission_timeout;
  ProposeHere(now, forwarded.command, origin);
}

void ControlServer::OnForwardedReply(const wire::ForwardedReply& reply) {
  const auto it = forwarded_.find(reply.ticket);
  if (it == forwarded_.end()) {
    return;
  }
  const Origin origin = it->second.origin;
  forwarded_.erase(it);
  Answer(origin, reply.result);
}

void ControlServer::ExpirePending(Timestamp now) {
  std::erase_if(forwarded_, [&](const auto& item) {
    const bool expired = now >= item.second.origin.deadline;
    if (expired) {
      AnswerNoQuorum(item.second.origin);
    }
    return expired;
  });
  std::erase_if(proposals_, [&](const auto& item) {
    const bool expired = now >= item.second.origin.deadline;
    if (expired) {
      AnswerNoQuorum(item.second.origin);
    }
    return expired;
  });
  std::erase_if(config_reads_, [&](const auto& item) {
    const bool expired = now >= item.second.deadline;
    if (expired) {
      Origin reader;
      reader.ticket = item.second.ticket;
      AnswerNoQuorum(reader);
    }
    return expired;
  });
}

void ControlServer::AbandonPending() {
  ExpirePending(Timestamp::max());
  AnswerStatusReads(Timestamp::max());
}

}  // namespace pumicedyke::control
