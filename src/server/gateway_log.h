// Log events of a gateway: outcomes of requests, and changes of its state.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/log.h"
#include "gateway/gateway_server.h"

namespace pumicedyke::server {

class GatewayLog {
 public:
  /// Logs an answered request: every failure and partial answer up to kLinesPerSecond, and one in
  /// kSampledOneIn successes. Successes are sampled by request id, so that every process logs the
  /// same ones.
  void OnAnswer(Timestamp now, const gateway::GatewayAnswer& answer, int status);
  /// Logs a partial query that was executed for another gateway.
  void OnPartial(Timestamp now, const gateway::PartialTrace& trace);
  /// @param trace of the request when its client left.
  void OnClientDisconnected(Timestamp now, const std::string& request_id,
                            const gateway::RequestTrace& trace);
  /// Logs a report of lost runs to control, by leaf and request.
  void OnRunReport(Timestamp now, const wire::RunReport& report);
  /// Logs the requests that a control machine warned of.
  void OnSuspectsNoticed(Timestamp now, const std::vector<RequestIdentity>& requests);
  /// Logs that a suspect request is tried, and how this gateway knew of the suspicion.
  void OnSuspectAttempt(Timestamp now, const gateway::SuspectAttempt& attempt);
  /// Logs the decision on a trial of a suspect request.
  void OnTrial(Timestamp now, const gateway::TrialRecord& trial);
  void OnControlLink(const std::string& address, bool up);
  void OnControlForgotten(const std::string& address);
  /// Marks leafs whose state has changed.
  void OnLeafChanges(const std::vector<std::string>& leafs) {
    changed_leafs_.insert(leafs.begin(), leafs.end());
  }
  /// Logs what has changed since the last call.
  void OnState(Timestamp now, const gateway::GatewayServer& server);

  static constexpr uint64_t kSampledOneIn = 64;

 private:
  static constexpr uint32_t kLinesPerSecond = 20;
  /// Minimum interval between log lines about leafs, and between those about accounts.
  static constexpr Duration kLeafsInterval = Milliseconds(500);
  static constexpr Duration kExtraLoadInterval = Seconds(1);
  bool Allow(Timestamp now);
  void LogZoneChanges(Timestamp now, const gateway::GatewayServer& server);
  void LogLeafChanges(const gateway::LeafView& view);
  /// Logs the tenant accounts for which this gateway is the lender.
  void LogAccountChanges(Timestamp now, const gateway::GatewayServer& server);
  void LogQuarantineChanges(Timestamp now, const gateway::GatewayServer& server);
  /// A limit on extra sub-requests that is mostly used, or that denied some since the last line.
  struct TightLimit {
    gateway::ServiceLoadUse service;
    uint64_t denied = 0;
  };
  std::vector<TightLimit> TakeTightLimits(Timestamp now, const gateway::GatewayServer& server);
  /// Logs the services whose limits on extra sub-requests were mostly used up, or denied some.
  void LogExtraLoad(Timestamp now, const gateway::GatewayServer& server);

  LogLimiter limiter_{kLinesPerSecond};
  bool ready_ = false;
  uint64_t document_version_ = 0;
  bool keys_proven_ = true;
  Timestamp leafs_logged_at_{};
  Timestamp accounts_logged_at_{};
  /// Number of account changes at the last log line.
  uint64_t logged_account_changes_ = 0;
  /// Leafs that have changed since the last log line.
  std::set<std::string> changed_leafs_;
  /// Whether each leaf was draining at the last log line.
  std::map<std::string, bool> leafs_;
  std::set<std::string> evacuated_;
  std::set<RequestIdentity> quarantined_;
  Timestamp extra_load_logged_at_{};
  /// Extra sub-requests denied until the last log line, by service.
  std::map<std::string, uint64_t> denied_;
};

}  // namespace pumicedyke::server
