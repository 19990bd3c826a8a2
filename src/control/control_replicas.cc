// The part of ControlServer that manages the group: the replacement of lost replicas and the status
// of redundancy.
#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "common/json.h"
#include "control/control_server.h"

namespace pumicedyke::control {
namespace {

/// Maximum time to wait for the replicas; a machine that does not answer within it is not counted.
constexpr Duration kStatusTimeout = Milliseconds(500);

}  // namespace

void ControlServer::UpdateJoining(Timestamp now) {
  const bool leads = raft_.role() == consensus::Role::kLeader;
  last_led_ = leads ? now : std::max(last_led_, raft_.last_leader_contact().value_or(last_led_));
  // A leader sends nothing to a machine that is not listed in its log. That machine's own log may
  // still list it: it was replaced while it was away, or the entry that added it was truncated.
  const bool possibly_unlisted = now - last_led_ >= options_.rejoin_after;
  const bool member = raft_.IsMember(identity_.member);
  asks_to_join_ = !shutting_down_ && (!member || possibly_unlisted);
}

void ControlServer::SendJoin(Timestamp now) {
  if (!asks_to_join_ || now < next_join_) {
    return;
  }
  next_join_ = now + options_.join_interval;
  std::set<std::string> receivers(options_.seeds.begin(), options_.seeds.end());
  for (const wire::Member& member : raft_.members()) {
    receivers.insert(member.address);
  }
  receivers.erase(options_.address);
  const wire::JoinRequest join{identity_.member, identity_.machine, options_.address};
  for (const std::string& receiver : receivers) {
    output_.peers.push_back({receiver, Wrap(join)});
  }
}

void ControlServer::AddSeeds(const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    const auto known = std::find(options_.seeds.begin(), options_.seeds.end(), address);
    if (known == options_.seeds.end()) {
      options_.seeds.push_back(address);
    }
  }
}

void ControlServer::RelayJoin(const wire::JoinRequest& join) {
  // Relayed only once, since two machines may briefly regard each other as leader.
  const bool may_relay = options_.relay_joins && !join.relayed && raft_.leader() != 0;
  if (may_relay) {
    wire::JoinRequest relayed = join;
    relayed.relayed = true;
    SendToMember(raft_.leader(), std::move(relayed));
  }
}

void ControlServer::ReplyToJoin(const wire::JoinRequest& join) {
  output_.peers.push_back(
      {join.address, Wrap(wire::JoinReply{identity_.member, options_.address})});
}

void ControlServer::OnJoin(Timestamp now, const wire::JoinRequest& join) {
  join_addresses_[join.member] = join.address;
  if (raft_.role() != consensus::Role::kLeader) {
    RelayJoin(join);
    return;
  }
  if (options_.relay_joins) {
    ReplyToJoin(join);
  }
  if (raft_.IsMember(join.member)) {
    return;
  }
  std::vector<wire::Member> members = raft_.members();
  // An earlier new replica on the same machine that never became a voter is lost as well.
  std::erase_if(members, [&](const wire::Member& member) {
    return member.machine == join.machine && !member.voter;
  });
  const bool removed_first = members.size() < raft_.members().size();
  if (!removed_first) {
    members.push_back({join.member, join.machine, join.address, /*voter=*/false});
  }
  raft_.ProposeMembers(now, members).status().IgnoreError();
}

bool ControlServer::CaughtUp(MemberId id, Timestamp now) const {
  return raft_.RecentlyContacted(id, now) && raft_.MatchIndex(id) >= raft_.commit_index();
}

size_t ControlServer::WantedVoters() const {
  return options_.voters == 0 ? options_.seeds.size() : options_.voters;
}

void ControlServer::UpdateLastContact(Timestamp now) {
  const bool fresh_term = member_last_contact_term_ != raft_.term();
  if (fresh_term) {
    member_last_contact_.clear();
    member_last_contact_term_ = raft_.term();
  }
  if (raft_.role() != consensus::Role::kLeader) {
    return;
  }
  for (const wire::Member& member : raft_.members()) {
    const bool in_contact = member.id == raft_.self() || raft_.RecentlyContacted(member.id, now);
    if (in_contact || !member_last_contact_.contains(member.id)) {
      member_last_contact_[member.id] = now;
    }
  }
}

bool ControlServer::IsSilentTooLong(const wire::Member& member, Timestamp now) const {
  const auto contact = member_last_contact_.find(member.id);
  return options_.replace_silent_after.count() > 0 && contact != member_last_contact_.end() &&
         now - contact->second >= options_.replace_silent_after;
}

void ControlServer::ReplaceLostReplicas(Timestamp now) {
  UpdateLastContact(now);
  const bool may_change = raft_.role() == consensus::Role::kLeader && raft_.MembersCommitted();
  if (!may_change) {
    return;
  }
  const auto is_voter = [](const wire::Member& member) { return member.voter; };
  const auto voters =
      static_cast<size_t>(std::count_if(raft_.members().begin(), raft_.members().end(), is_voter));
  for (const wire::Member& new_replica : raft_.members()) {
    const bool ready = CaughtUp(new_replica.id, now) || !options_.catch_up_before_vote;
    if (new_replica.voter || !ready) {
      continue;
    }
    std::vector<wire::Member> members = raft_.members();
    const auto lost = std::find_if(members.begin(), members.end(), [&](const auto& member) {
      return member.machine == new_replica.machine && member.voter;
    });
    // The lost incarnation is removed before the new one becomes a voter. Until then a further loss
    // could stop the group, but two quorums that count the same machine can never form.
    if (lost != members.end()) {
      members.erase(lost);
    } else if (voters >= WantedVoters()) {
      const auto silent = std::find_if(members.begin(), members.end(), [&](const auto& member) {
        return member.voter && IsSilentTooLong(member, now);
      });
      if (silent == members.end()) {
        continue;  // Remains a non-voting relay.
      }
      // As above: briefly one voter less, but never two majorities.
      members.erase(silent);
    } else {
      const auto self = std::find_if(members.begin(), members.end(), [&](const auto& member) {
        return member.id == new_replica.id;
      });
      self->voter = true;
    }
    raft_.ProposeMembers(now, members).status().IgnoreError();
    return;
  }
}

void ControlServer::ReadStatus(Timestamp now, TicketId ticket) {
  status_reads_.push_back({ticket, now});
  AnswerStatusReads(now);
}

void ControlServer::AnswerStatusReads(Timestamp now) {
  const bool leads = raft_.role() == consensus::Role::kLeader && raft_.HasLease(now);
  std::erase_if(status_reads_, [&](const StatusRead& read) {
    const bool redundant = FullyRedundantSince(read.asked, now);
    const bool done = redundant || !leads || shutting_down_ || now - read.asked >= kStatusTimeout;
    if (done) {
      output_.operators.push_back({read.ticket, StatusJson(now, redundant)});
    }
    return done;
  });
}

bool ControlServer::FullyRedundantSince(Timestamp asked, Timestamp now) const {
  if (raft_.role() != consensus::Role::kLeader || !raft_.HasLease(now) ||
      !raft_.MembersCommitted()) {
    return false;
  }
  size_t voters = 0;
  for (const wire::Member& member : raft_.members()) {
    // Contact before the status call proves nothing about a machine lost since.
    const bool holds_all = raft_.AcknowledgedSince(member.id, asked) &&
                           raft_.MatchIndex(member.id) >= raft_.commit_index();
    if (!member.voter || (!holds_all && options_.catch_up_before_vote)) {
      return false;
    }
    ++voters;
  }
  return voters >= std::max<size_t>(WantedVoters(), 1);
}

std::vector<ReplicaStatus> ControlServer::Replicas(Timestamp now) const {
  std::vector<ReplicaStatus> replicas;
  for (const wire::Member& member : raft_.members()) {
    replicas.push_back(
        {member, raft_.MatchIndex(member.id), raft_.RecentlyContacted(member.id, now)});
  }
  return replicas;
}

std::string ControlServer::StatusJson(Timestamp now, bool fully_redundant) const {
  const bool leads = raft_.role() == consensus::Role::kLeader && raft_.HasLease(now);
  Json replicas = Json::array();
  for (const ReplicaStatus& replica : Replicas(now)) {
    Json item{{"member", replica.member.id},
              {"machine", replica.member.machine},
              {"address", replica.member.address},
              {"voter", replica.member.voter}};
    if (leads) {
      item["match_index"] = replica.match_index;
      item["alive"] = replica.alive;
    }
    replicas.push_back(std::move(item));
  }
  Json nodes = Json::array();
  for (const auto& [id, session] : sessions_) {
    nodes.push_back({{"node", session.node}, {"version", session.reported_version}});
  }
  const wire::Member* leader = FindMember(raft_.leader());
  return Json{{"code", 0},
              {"machine", identity_.machine},
              {"member", identity_.member},
              {"leads", leads},
              {"storage_works", raft_.failure().ok()},
              {"leader", leader == nullptr ? "" : leader->machine},
              {"term", raft_.term()},
              {"commit_index", raft_.commit_index()},
              {"snapshot_index", raft_.snapshot_index()},
              {"version", state_.config().version().value},
              {"evacuated_zones", state_.config().EvacuatedZones()},
              {"ledger_entries", state_.ledger().size()},
              {"fully_redundant", fully_redundant},
              {"replicas", std::move(replicas)},
              {"nodes", std::move(nodes)}}
      .dump();
}

}  // namespace pumicedyke::control
