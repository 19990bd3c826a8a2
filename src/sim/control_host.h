// A control machine in the simulator: the product's ControlServer on a simulated disk.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/control_server.h"
#include "server/stop_sequence.h"
#include "sim/mechanisms.h"
#include "sim/sim_file_system.h"
#include "sim/sim_process.h"
#include "storage/log_storage.h"

namespace pumicedyke::sim {

class ControlHost : public SimProcess {
 public:
  /// Sends a message to the control machine at `address`.
  using PeerCb = std::function<void(const std::string& address, const wire::Envelope&)>;
  using SessionCb = std::function<void(control::SessionId, const wire::Envelope&)>;
  using OperatorCb = std::function<void(control::TicketId, const std::string& body)>;
  struct Callbacks {
    PeerCb to_peer;
    SessionCb to_session;
    OperatorCb to_operator;
    std::function<void(control::SessionId)> close_session;
  };

  /// @param founders the machines of a new cluster, and the only seed addresses of every machine.
  /// @param voters target number of voters of the group.
  ControlHost(ClockQueue* clock, const std::string& name, std::vector<std::string> founders,
              size_t voters, const DisabledMechanisms& disabled, uint64_t seed,
              Callbacks callbacks);

  /// Formats the disk of a founding machine before its first start.
  void Format();
  bool IsFounder() const { return InitialMemberId(name()) != 0; }
  void Start();
  void Kill();
  /// Kills the process and replaces its disk by an empty one.
  void LoseDisk();
  /// Shuts down as the product does on SIGTERM; `done` runs once the process has stopped.
  void PlannedStop(std::function<void()> done);

  void Receive(control::SessionId session, const wire::Envelope& envelope);
  void Submit(control::TicketId ticket, const config::Change& change);
  void ReadConfig(control::TicketId ticket);
  void ReadStatus(control::TicketId ticket);

  bool Leads() const;
  /// Returns the configuration version that is synced to this machine's disk, or -1 if the disk
  /// cannot be recovered.
  int64_t DurableVersion();
  control::ControlServer* server() { return server_.get(); }
  size_t open_tickets() const { return open_tickets_; }

 private:
  static constexpr Duration kStopGrace = Milliseconds(300);

  void Tick();
  void DispatchOutput();
  MemberId InitialMemberId(const std::string& machine) const;
  void CheckPlannedStop();
  /// Whether the planned stop is complete.
  bool MayExit();
  /// Runs an operator's call, unless the machine has closed its connections.
  void RunForOperator(std::function<void()> call);

  std::vector<std::string> founders_;
  size_t voters_;
  DisabledMechanisms disabled_;
  uint64_t seed_;
  uint64_t starts_ = 0;
  Callbacks callbacks_;
  SimFileSystem disk_;
  std::unique_ptr<storage::LogStorage> storage_;
  std::unique_ptr<control::ControlServer> server_;
  std::function<void()> stopped_;
  server::StopSequence stop_{server::StopTimes{.grace = kStopGrace}};
  bool accepts_ = true;
  size_t open_tickets_ = 0;
};

}  // namespace pumicedyke::sim
