// Log events of a control machine about changes of its state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/log.h"
#include "control/control_server.h"
#include "control/discovery_server.h"

namespace pumicedyke::server {

class ControlLog {
 public:
  /// Logs what has changed since the last call.
  void OnState(Timestamp now, const control::ControlServer& server,
               const control::DiscoveryServer& discovery);
  /// Logs a proposal to stop or release a request, with its reason.
  static void OnQuarantineProposal(const control::QuarantineProposal& proposal);
  /// Logs evidence against a suspect that is not sufficient to stop it.
  void OnInsufficientEvidence(Timestamp now, const quarantine::CrashFinding& finding);
  /// Logs the decision on a trial of a suspect.
  void OnTrial(Timestamp now, const wire::TrialReply& decision);
  /// Logs the suspects that gateways and nodes were warned of.
  void OnSuspects(Timestamp now, const std::vector<RequestIdentity>& requests);

 private:
  /// Maximum number of lines about suspects in a second.
  static constexpr uint32_t kLinesPerSecond = 20;
  /// Whether one more line about a suspect may be logged.
  bool Allow(Timestamp now);
  void LogMembership(const control::ControlServer& server);
  void LogQuarantineChanges(const config::ConfigState& config);

  LogLimiter limiter_{kLinesPerSecond};
  size_t stopped_requests_ = 0;
  consensus::Role role_ = consensus::Role::kFollower;
  uint64_t term_ = 0;
  MemberId leader_ = 0;
  bool current_ = false;
  /// Names of the machines in the group.
  std::vector<std::string> voters_;
  std::vector<std::string> others_;
  bool asks_to_join_ = false;
  /// Minimum interval between "reporters_changed" lines, since hundreds of leafs and gateways
  /// connect one by one after a start.
  static constexpr Duration kReportersInterval = Seconds(1);
  Timestamp reporters_logged_at_{};
  size_t leafs_ = 0;
  size_t gateways_ = 0;
};

}  // namespace pumicedyke::server
