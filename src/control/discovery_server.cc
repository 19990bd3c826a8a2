#include "control/discovery_server.h"

#include <utility>

namespace pumicedyke::control {

void DiscoveryServer::Tick(Timestamp now, bool current) {
  if (!current) {
    registry_.ForgiveSilence(now);
  }
  registry_.DropSilent(now);
  directory_.DropSilent(now);
  FeedAll();
}

registry::ReportVerdict DiscoveryServer::OnLeafReport(Timestamp now,
                                                      const registry::LeafReport& report) {
  return registry_.OnReport(now, report);
}

void DiscoveryServer::OnLeafRetired(Timestamp now, const std::string& leaf) {
  registry_.OnDeparture(now, leaf);
  FeedAll();
}

void DiscoveryServer::OnPresence(Timestamp now, SessionId id,
                                 const wire::GatewayPresence& presence) {
  directory_.OnPresence(now, presence);
  Session& session = sessions_[id];
  const bool greeted = !session.node.empty();
  session.node = presence.node;
  session.incarnation = presence.incarnation;
  // A gateway that missed something, or has lost what it had, says that it has nothing.
  if (!greeted || presence.leaf_version == 0) {
    session.sent_version = presence.leaf_version;
  }
  // Every greeting is answered, if only to show that this machine is there.
  Feed(id, &session);
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

void DiscoveryServer::Feed(SessionId id, Session* session) {
  wire::LeafFeed feed = registry_.ChangesSince(session->sent_version);
  feed.control = control_addresses_;
  feed.gateways = static_cast<uint32_t>(directory_.size());
  session->sent_version = feed.version;
  messages_.push_back({id, {options_.cluster, 0, std::move(feed)}});
}

void DiscoveryServer::FeedAll() {
  for (auto& [id, session] : sessions_) {
    if (session.sent_version < registry_.version()) {
      Feed(id, &session);
    }
  }
}

std::vector<SessionMessage> DiscoveryServer::TakeMessages() { return std::exchange(messages_, {}); }

}  // namespace pumicedyke::control
