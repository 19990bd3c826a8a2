// Brings about failures at seeded random moments, several at once if the scenario says so.
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
  kFreezeLeaf,
  kLeaveLeaf,
  kKillNode,
  kFreezeNode,
  kPlannedStopNode,
  kKillControl,
  kKillAllControls,
  kFreezeLeader,
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
  void Bring(Fault fault);
  void KillLeaf();
  void KillAllLeafs();
  void FreezeLeaf();
  void LeaveLeaf();
  void KillNode();
  void FreezeNode();
  void PlannedStopNode();
  void KillControl(size_t index);
  void FreezeLeader();
  void CutLeader();
  void CutControlFromNodes();
  void OneWayCut();
  void LoseDisk();
  void LoseDisksInTurn();
  void LoseTwoMoreDisks(size_t first);
  void LoseDiskBriefly(size_t index);
  void WatchRepair(uint64_t repairs_before);
  void PlannedStopControl();
  void BadNetwork();
  void Later(int64_t low_ms, int64_t high_ms, std::function<void()> undo);
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
  /// Until then LoseDisksInTurn() is at work.
  Timestamp disks_busy_until_{};
};

}  // namespace pumicedyke::sim
