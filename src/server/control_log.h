// What a control machine writes to its log when what it believes changes.
#pragma once

#include <cstdint>

#include "control/control_server.h"
#include "control/discovery_server.h"

namespace pumicedyke::server {

class ControlLog {
 public:
  /// Compares what the machine believes with what it believed at the last call.
  void OnState(Timestamp now, const control::ControlServer& server,
               const control::DiscoveryServer& discovery);
  /// A request is to be stopped or released, and why.
  static void OnQuarantineProposal(const control::QuarantineProposal& proposal);

 private:
  void NoteQuarantine(const config::ConfigState& config);

  size_t stopped_requests_ = 0;
  consensus::Role role_ = consensus::Role::kFollower;
  uint64_t term_ = 0;
  MemberId leader_ = 0;
  bool current_ = false;
  size_t members_ = 0;
  size_t voters_ = 0;
  /// How many report is told this often at most: hundreds come one by one after a start.
  static constexpr Duration kReportersInterval = Seconds(1);
  Timestamp reporters_told_{};
  size_t leafs_ = 0;
  size_t gateways_ = 0;
};

}  // namespace pumicedyke::server
