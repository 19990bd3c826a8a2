// Injects seeded faults into the processes of a soak, in series and overlapping, within what the
// cluster tolerates. At most two control machines are down or recovering at once, except that all
// may be killed at the same time if they keep their disks.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "common/types.h"
#include "platform/platform_fleet.h"
#include "soak/observations.h"

namespace pumicedyke::soak {

struct FaultOptions {
  int controls = 5;
  /// Number of control machines that may be down or recovering at once.
  int tolerated = 2;
  std::vector<std::string> gateways;
  /// Time from SIGTERM until a gateway, or a control machine, is killed if it still runs.
  Duration kill_gateway_after{};
  Duration kill_control_after{};
};

/// Must be used on one thread, which also owns the fleet's processes.
class Faults {
 public:
  Faults(uint64_t seed, FaultOptions options, platform::PlatformFleet* fleet,
         Observations* observations);

  /// Injects faults that are due and ends those that are over. Must be called often.
  void Step(Timestamp now);
  /// Ends all faults; all processes run afterwards.
  void EndAllFaults();
  /// Fails the soak if a process exited by itself.
  void CheckForCrashes();
  /// Number of injected faults of each kind.
  const std::map<std::string, int>& injected() const { return injected_; }

 private:
  /// A process that was told to stop.
  struct PlannedStop {
    Timestamp kill_time;
    Timestamp restart_time;
    bool ended = false;
  };

  void Inject(Timestamp now);
  Duration KillAfter(const std::string& process) const;
  // Gateways.
  void PauseGateway(Timestamp now);
  void KillGateway(Timestamp now);
  void KillAllGateways(Timestamp now);
  void StopGateway(Timestamp now);
  void HangupSeries();
  // Control machines.
  void PauseControl(Timestamp now);
  void KillControl(Timestamp now);
  void StopControl(Timestamp now);
  void WipeControl(Timestamp now);
  void KillAllControls(Timestamp now);

  void Pause(Timestamp now, const std::string& process);
  /// Pauses a process that was told to stop, some time later. @return when it goes on.
  Timestamp PauseLater(Timestamp now, const std::string& process);
  /// Kills the process and restarts it later.
  void KillAndRestart(Timestamp now, const std::string& process);
  /// Sends SIGTERM. StepStops() does the rest.
  void StopAndRestart(Timestamp now, const std::string& process);
  /// Ends and restarts the processes that were told to stop, as they come due.
  void StepStops(Timestamp now);
  /// Notices the end of a stopping process; kills it when its time is over.
  void StepStop(Timestamp now, const std::string& process);
  void RestartProcess(const std::string& process);
  std::string PickGateway();
  /// Picks a control machine that may fail now; empty: none.
  std::string PickControl(Timestamp now);
  void ScheduleUndo(Timestamp when, std::function<void()> undo);
  Duration RandomDuration(int64_t low_ms, int64_t high_ms);

  FaultOptions options_;
  platform::PlatformFleet* fleet_;
  Observations* observations_;
  std::mt19937_64 random_;
  Timestamp next_{};
  std::multimap<Timestamp, std::function<void()>> pending_undos_;
  std::map<std::string, PlannedStop> stops_;
  /// Processes under a fault or recovering from one, with the time when they are free again.
  std::map<std::string, Timestamp> busy_;
  std::map<std::string, int> injected_;
};

}  // namespace pumicedyke::soak
