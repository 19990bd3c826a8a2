// A control machine's part in finding things: leafs report to it, gateways greet it and are told of
// leafs, clients are told of gateways. Beside ControlServer, which holds what must survive; nothing
// here does. No socket, clock or thread.
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
  /// Where this machine is.
  std::string zone;
  registry::RegistryOptions registry;
  directory::DirectoryOptions directory;
  /// Gateways hear of changes of leafs this often at most, but for a few at once after a pause;
  /// what comes between goes out in one message. Zero: of each change by itself.
  Duration feed_interval{};
  double feed_burst = 5;
};

class DiscoveryServer {
 public:
  explicit DiscoveryServer(const DiscoveryOptions& options)
      : options_(options), registry_(options.registry), directory_(options.directory) {}

  /// @param current whether this machine is in touch with a quorum. While it is not, leafs are told
  /// to report elsewhere, and their silence means nothing.
  void Tick(Timestamp now, bool current);

  /// A heartbeat of a leaf. Draining must have been committed before this is called with it, so
  /// that whoever hears of it here may rely on it.
  /// @param elsewhere as for LeafRegistry::OnReport().
  registry::ReportVerdict OnLeafReport(Timestamp now, const registry::LeafReport& report,
                                       const std::string* elsewhere = nullptr);
  /// A leaf's departure was committed.
  void OnLeafRetired(Timestamp now, const std::string& leaf, uint64_t born_ms = 0);

  void OnPresence(Timestamp now, SessionId session, const wire::GatewayPresence& presence);
  void OnSessionClosed(SessionId session);

  /// Frame addresses of all control machines, for gateways that know only some.
  void SetControlAddresses(std::vector<std::string> addresses);

  /// Where a client may go, best first. Empty: no gateway is known.
  std::vector<std::string> GatewaysFor(Timestamp now, const directory::ClientPlace& client) const {
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
    /// The control machines that the gateway was told of.
    std::vector<std::string> sent_control;
  };

  void Feed(Timestamp now, SessionId id, Session* session);
  void FeedAll(Timestamp now);
  /// Whether the interval lets one more message to all go out; counts it if so.
  bool MayFeed(Timestamp now);

  DiscoveryOptions options_;
  registry::LeafRegistry registry_;
  directory::GatewayDirectory directory_;
  std::map<SessionId, Session> sessions_;
  /// In touch with a quorum at the last Tick().
  bool current_ = false;
  /// Messages that may go out now, as of `fed_`.
  double feed_credit_ = 0;
  Timestamp fed_{};
  std::vector<std::string> control_addresses_;
  std::vector<SessionMessage> messages_;
};

}  // namespace pumicedyke::control
