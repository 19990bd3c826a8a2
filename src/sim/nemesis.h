// Injects faults at seeded random times; faults may overlap if the scenario's interval is short.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "sim/world.h"

namespace pumicedyke::sim {

enum class Fault {
  kKillLeaf,
  kKillAllLeafs,
  kPauseLeaf,
  kLeaveLeaf,
  kKillNode,
  kPauseNode,
  kPlannedStopNode,
  kKillControl,
  kKillAllControls,
  kPauseLeader,
  kCutLeader,
  kCutControlFromNodes,
  kOneWayCut,
  kLoseDisk,
  kLoseDisksInTurn,
  kPlannedStopControl,
  kBadNetwork,
};

class Nemesis {
 public:
  /// @param interval mean time between faults.
  Nemesis(World* world, std::vector<Fault> faults, Duration interval)
      : world_(world), faults_(std::move(faults)), interval_(interval) {}
  void Start(Timestamp end);

 private:
  void Loop();
  void Inject(Fault fault);
  void KillLeaf();
  void KillAllLeafs();
  void PauseLeaf();
  void LeaveLeaf();
  void KillNode();
  void PauseNode();
  void PlannedStopNode();
  void KillControl(size_t index);
  void PauseLeader();
  void CutLeader();
  void CutControlFromNodes();
  void OneWayCut();
  void LoseDisk();
  void LoseDisksInTurn();
  void LoseTwoMoreDisks(size_t first);
  void LoseDiskBriefly(size_t index);
  void LoseDiskAfterRepair(uint64_t repairs_before);
  void PlannedStopControl();
  void BadNetwork();
  void AfterRandomDelay(int64_t low_ms, int64_t high_ms, std::function<void()> action);
  std::string RandomLeaf();
  size_t RandomNode() { return static_cast<size_t>(world_->Between(0, 1)); }
  size_t RandomControl() {
    return static_cast<size_t>(
        world_->Between(0, static_cast<int64_t>(world_->controls.size()) - 1));
  }

  World* world_;
  std::vector<Fault> faults_;
  Duration interval_;
  Timestamp end_{};
  /// LoseDisksInTurn() is in progress until this time.
  Timestamp disks_busy_until_{};
};

}  // namespace pumicedyke::sim
