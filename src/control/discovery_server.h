// Discovery on a control machine: leafs report to it, gateways receive changes of leafs from it,
// and clients receive addresses of gateways. Separate from ControlServer, which holds the durable
// state; nothing here is durable. No socket, clock or thread.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "control/control_server.h"
#include "directory/gateway_directory.h"
#include "registry/leaf_registry.h"

namespace pumicedyke::control {

struct DiscoveryOptions {
  std::string cluster;
  /// Zone of this machine.
  std::string zone;
  registry::RegistryOptions registry;
  directory::DirectoryOptions directory;
  /// Minimum interval between messages to gateways about changed leafs. After a pause a burst of
  /// `feed_burst` messages is allowed; changes in between are combined into one message. Zero: each
  /// change is sent separately.
  Duration feed_interval{};
  double feed_burst = 5;
};

class DiscoveryServer {
 public:
  explicit DiscoveryServer(const DiscoveryOptions& options)
      : options_(options), registry_(options.registry), directory_(options.directory) {}

  /// @param current whether this machine has a quorum. Without one, leafs are directed to
  /// another machine, and their silence is ignored.
  void Tick(Timestamp now, bool current);

  /// Handles a heartbeat of a leaf. Draining must have been committed before, so that every
  /// receiver of the change may rely on it.
  /// @param elsewhere as for LeafRegistry::OnReport().
  registry::ReportResult OnLeafReport(Timestamp now, const registry::LeafReport& report,
                                      const std::string* elsewhere = nullptr);
  /// Handles the committed retirement of a leaf.
  void OnLeafRetired(Timestamp now, const std::string& leaf, uint64_t born_ms = 0);

  void OnPresence(Timestamp now, SessionId session, const wire::GatewayPresence& presence);
  void OnSessionClosed(SessionId session);

  /// Sets the frame addresses of all control machines, for gateways that know only some of them.
  void SetControlAddresses(std::vector<std::string> addresses);

  /// Returns gateway addresses for a client, best first. Empty: no gateway is known.
  std::vector<std::string> GatewaysFor(Timestamp now,
                                       const directory::ClientLocation& client) const {
    return directory_.AddressesFor(now, client);
  }

  std::vector<SessionMessage> TakeMessages();
  const registry::LeafRegistry& registry() const { return registry_; }
  registry::LeafRegistry& registry() { return registry_; }
  const directory::GatewayDirectory& directory() const { return directory_; }

 private:
  struct Session {
    std::string node;
    uint64_t incarnation = 0;
    uint64_t sent_version = 0;
    /// Addresses of control machines last sent to the gateway.
    std::vector<std::string> sent_control;
  };

  void Feed(Timestamp now, SessionId id, Session* session);
  void FeedAll(Timestamp now);
  /// Returns whether the rate limit allows another message to all gateways; charges it if so.
  bool MayFeed(Timestamp now);

  DiscoveryOptions options_;
  registry::LeafRegistry registry_;
  directory::GatewayDirectory directory_;
  std::map<SessionId, Session> sessions_;
  /// Whether there was a quorum at the last Tick().
  bool current_ = false;
  /// Messages allowed by the rate limit, as of `credit_updated_at_`.
  double feed_credit_ = 0;
  Timestamp credit_updated_at_{};
  std::vector<std::string> control_addresses_;
  std::vector<SessionMessage> messages_;
};

}  // namespace pumicedyke::control
