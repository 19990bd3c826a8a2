#include "control/discovery_server.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::control {

void DiscoveryServer::Tick(Timestamp now, bool current) {
  current_ = current;
  if (!current) {
    registry_.ResetSilence(now);
  }
  registry_.DropSilent(now);
  directory_.DropSilent(now);
  FeedAll(now);
}

registry::ReportResult DiscoveryServer::OnLeafReport(Timestamp now,
                                                     const registry::LeafReport& report,
                                                     const std::string* elsewhere) {
  return registry_.OnReport(now, report, elsewhere);
}

void DiscoveryServer::OnLeafRetired(Timestamp now, const std::string& leaf, uint64_t born_ms) {
  registry_.OnDeparture(now, leaf, born_ms);
  FeedAll(now);
}

void DiscoveryServer::OnPresence(Timestamp now, SessionId id,
                                 const wire::GatewayPresence& presence) {
  directory_.OnPresence(now, presence);
  Session& session = sessions_[id];
  const bool known = !session.node.empty();
  session.node = presence.node;
  session.incarnation = presence.incarnation;
  // A gateway that has missed changes or lost its state reports version zero.
  if (!known || presence.leaf_version == 0) {
    session.sent_version = presence.leaf_version;
  }
  // Every presence message is answered, which also shows that this machine is reachable.
  Feed(now, id, &session);
  if (presence.wants_peers && presence.peers_version != directory_.version()) {
    messages_.push_back(
        {id, {options_.cluster, 0, directory_.ChangesSince(presence.peers_version)}});
  }
}

void DiscoveryServer::OnSessionClosed(SessionId id) {
  const auto it = sessions_.find(id);
  if (it != sessions_.end()) {
    directory_.OnLost(it->second.node, it->second.incarnation);
    sessions_.erase(it);
  }
}

void DiscoveryServer::SetControlAddresses(std::vector<std::string> addresses) {
  control_addresses_ = std::move(addresses);
}

void DiscoveryServer::Feed(Timestamp now, SessionId id, Session* session) {
  wire::LeafFeed feed = registry_.ChangesSince(now, session->sent_version);
  if (session->sent_control != control_addresses_) {
    session->sent_control = control_addresses_;
    feed.control = control_addresses_;
  }
  feed.zone = options_.zone;
  feed.current = current_;
  feed.gateways = static_cast<uint32_t>(directory_.size());
  feed.gateways_used = directory_.used();
  session->sent_version = feed.version;
  messages_.push_back({id, {options_.cluster, 0, std::move(feed)}});
}

bool DiscoveryServer::MayFeed(Timestamp now) {
  if (options_.feed_interval == Duration(0)) {
    return true;
  }
  const double earned = static_cast<double>((now - credit_updated_at_).count()) /
                        static_cast<double>(options_.feed_interval.count());
  feed_credit_ = std::min(options_.feed_burst, feed_credit_ + earned);
  credit_updated_at_ = now;
  if (feed_credit_ < 1) {
    return false;
  }
  feed_credit_ -= 1;
  return true;
}

void DiscoveryServer::FeedAll(Timestamp now) {
  const bool has_changes = std::any_of(
      sessions_.begin(), sessions_.end(),
      [this](const auto& item) { return item.second.sent_version < registry_.version(); });
  if (!has_changes || !MayFeed(now)) {
    return;
  }
  // Gateways with the same version receive the same message.
  std::map<uint64_t, size_t> message_of;
  for (auto& [id, session] : sessions_) {
    if (session.sent_version >= registry_.version()) {
      continue;
    }
    const bool same_control = session.sent_control == control_addresses_;
    const auto found = message_of.find(session.sent_version);
    if (same_control && found != message_of.end()) {
      messages_[found->second].others.push_back(id);
      session.sent_version = registry_.version();
      continue;
    }
    if (same_control) {
      message_of[session.sent_version] = messages_.size();
    }
    Feed(now, id, &session);
  }
}

std::vector<SessionMessage> DiscoveryServer::TakeMessages() { return std::exchange(messages_, {}); }

}  // namespace pumicedyke::control
