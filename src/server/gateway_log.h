// What a gateway writes to its log: the fate of requests, and changes of what it believes.
#pragma once

#include <map>
#include <set>
#include <string>

#include "common/log.h"
#include "gateway/gateway_server.h"

namespace pumicedyke::server {

class GatewayLog {
 public:
  /// A request that was answered: always a line for a failure or a partial answer, within a rate;
  /// for successes one in kSampledOneIn by the request's id, the same ones in every process.
  void OnAnswer(Timestamp now, const gateway::GatewayAnswer& answer, int status);
  /// What was done for another gateway.
  void OnPartial(Timestamp now, const gateway::PartialTrace& trace);
  void OnClientGone(Timestamp now, const std::string& request_id);
  /// What is told to control of lost runs, by leaf and request.
  void OnRunReport(Timestamp now, const wire::RunReport& report);
  void OnControlLink(const std::string& address, bool up);
  /// Something else is known of these leafs.
  void OnLeafChanges(const std::vector<std::string>& leafs) {
    changed_leafs_.insert(leafs.begin(), leafs.end());
  }
  /// Compares what the gateway believes with what it believed at the last call.
  void OnState(Timestamp now, const gateway::GatewayServer& server);

  static constexpr uint64_t kSampledOneIn = 64;

 private:
  static constexpr uint32_t kLinesPerSecond = 20;
  /// Changes of leafs are looked for this often at most.
  static constexpr Duration kLeafsInterval = Milliseconds(500);
  bool Allow(Timestamp now);
  void NoteZones(Timestamp now, const gateway::GatewayServer& server);
  void NoteLeafs(const gateway::LeafView& view);
  /// The accounts of tenants that this gateway keeps.
  void NoteAccounts(Timestamp now, const gateway::GatewayServer& server);
  void NoteQuarantine(Timestamp now, const gateway::GatewayServer& server);

  LogLimiter limiter_{kLinesPerSecond};
  bool ready_ = false;
  uint64_t document_version_ = 0;
  bool keys_proven_ = true;
  Timestamp leafs_looked_at_{};
  Timestamp accounts_looked_at_{};
  /// Changes of accounts that were looked at.
  uint64_t account_changes_ = 0;
  /// Leafs of which something has changed since they were looked at.
  std::set<std::string> changed_leafs_;
  /// What was believed of each leaf then: whether it leaves.
  std::map<std::string, bool> leafs_;
  std::set<std::string> evacuated_;
  std::set<RequestIdentity> quarantined_;
};

}  // namespace pumicedyke::server
