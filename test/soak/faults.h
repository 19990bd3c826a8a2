// Brings faults upon the processes of a soak, seeded: in series, and overlapping. What may not be
// lost at once is not: two control machines at most are down or recovering, except that all may be
// killed at the same moment while they keep their disks.
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
  /// Control machines that may be down or recovering at once.
  int tolerated = 2;
  std::vector<std::string> gateways;
};

/// Lives on one thread, which also owns the fleet's processes.
class Faults {
 public:
  Faults(uint64_t seed, FaultOptions options, platform::PlatformFleet* fleet, Observations* seen);

  /// Brings what is due, undoes what is over. Call often.
  void Step(Timestamp now);
  /// Ends every fault; all processes run afterwards.
  void HealAll();
  /// Fails the soak if a process ended by itself.
  void LookForDeaths();
  /// How often each kind was brought.
  const std::map<std::string, int>& brought() const { return brought_; }

 private:
  void Bring(Timestamp now);
  // Gateways.
  void PauseGateway(Timestamp now);
  void KillGateway(Timestamp now);
  void StopGateway(Timestamp now);
  void SeriesOfHangups();
  // Control machines.
  void PauseControl(Timestamp now);
  void KillControl(Timestamp now);
  void StopControl(Timestamp now);
  void WipeControl(Timestamp now);
  void KillAllControls(Timestamp now);

  void Pause(Timestamp now, const std::string& process);
  /// Sends the signal and starts the process again later.
  void End(Timestamp now, const std::string& process, int signal);
  void StartAgain(const std::string& process);
  std::string FreeGateway();
  /// A control machine that may be lost now; empty: none.
  std::string SpareControl(Timestamp now);
  void Later(Timestamp when, std::function<void()> undo);
  Duration Between(int64_t low_ms, int64_t high_ms);

  FaultOptions options_;
  platform::PlatformFleet* fleet_;
  Observations* seen_;
  std::mt19937_64 random_;
  Timestamp next_{};
  std::multimap<Timestamp, std::function<void()>> undo_;
  /// Processes under a fault, and until when they count so.
  std::map<std::string, Timestamp> busy_;
  std::map<std::string, int> brought_;
};

}  // namespace pumicedyke::soak
