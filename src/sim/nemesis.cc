#include "sim/nemesis.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"

namespace pumicedyke::sim {
namespace {

/// Time in which a machine with a new disk becomes a voter again; until then it counts as lost.
constexpr Duration kCatchUp = Seconds(4);

}  // namespace

void Nemesis::Start(Timestamp end) {
  end_ = end;
  Loop();
}

void Nemesis::AfterRandomDelay(int64_t low_ms, int64_t high_ms, std::function<void()> action) {
  world_->clock.After(Milliseconds(world_->Between(low_ms, high_ms)), std::move(action));
}

void Nemesis::Loop() {
  if (faults_.empty()) {
    return;
  }
  const int64_t mean_ms = interval_.count() / 1000;
  AfterRandomDelay(mean_ms / 2, mean_ms * 3 / 2, [this] {
    if (world_->clock.now() >= end_) {
      return;
    }
    const auto last = static_cast<int64_t>(faults_.size()) - 1;
    Inject(faults_[static_cast<size_t>(world_->Between(0, last))]);
    Loop();
  });
}

void Nemesis::Inject(Fault fault) {
  switch (fault) {
    case Fault::kKillLeaf:
      return KillLeaf();
    case Fault::kKillAllLeafs:
      return KillAllLeafs();
    case Fault::kPauseLeaf:
      return PauseLeaf();
    case Fault::kLeaveLeaf:
      return LeaveLeaf();
    case Fault::kKillNode:
      return KillNode();
    case Fault::kPauseNode:
      return PauseNode();
    case Fault::kPlannedStopNode:
      return PlannedStopNode();
    case Fault::kKillControl:
      return KillControl(world_->LeaderIndex().value_or(RandomControl()));
    case Fault::kKillAllControls:
      for (size_t i = 0; i < world_->controls.size(); ++i) {
        KillControl(i);
      }
      return;
    case Fault::kPauseLeader:
      return PauseLeader();
    case Fault::kCutLeader:
      return CutLeader();
    case Fault::kCutControlFromNodes:
      return CutControlFromNodes();
    case Fault::kOneWayCut:
      return OneWayCut();
    case Fault::kLoseDisk:
      return LoseDisk();
    case Fault::kLoseDisksInTurn:
      return LoseDisksInTurn();
    case Fault::kPlannedStopControl:
      return PlannedStopControl();
    case Fault::kBadNetwork:
      return BadNetwork();
  }
}

std::string Nemesis::RandomLeaf() {
  auto it = world_->leafs.begin();
  std::advance(it, world_->Between(0, static_cast<int64_t>(world_->leafs.size()) - 1));
  return it->first;
}

void Nemesis::KillLeaf() {
  const std::string leaf = RandomLeaf();
  world_->KillLeaf(leaf);
  AfterRandomDelay(300, 1500, [this, leaf] { world_->StartLeaf(leaf); });
}

void Nemesis::KillAllLeafs() {
  for (const auto& [name, leaf] : world_->leafs) {
    world_->KillLeaf(name);
    AfterRandomDelay(200, 900, [this, name = name] { world_->StartLeaf(name); });
  }
}

void Nemesis::PauseLeaf() {
  const std::string leaf = RandomLeaf();
  world_->history.Trace(world_->clock.now(), "freeze " + leaf);
  world_->leafs.at(leaf)->Pause();
  AfterRandomDelay(200, 1500, [this, leaf] { world_->leafs.at(leaf)->Resume(); });
}

void Nemesis::LeaveLeaf() {
  const std::string leaf = RandomLeaf();
  if (world_->leaving(leaf)) {
    return;
  }
  const auto how = static_cast<World::LeaveMethod>(world_->Between(0, 2));
  world_->MakeLeafLeave(leaf, how);
  AfterRandomDelay(6000, 9000, [this, leaf] { world_->CancelLeafLeaving(leaf); });
}

void Nemesis::KillNode() {
  const size_t node = RandomNode();
  world_->KillNode(node);
  AfterRandomDelay(50, 600, [this, node] { world_->StartNode(node); });
}

void Nemesis::PauseNode() {
  const size_t node = RandomNode();
  world_->history.Trace(world_->clock.now(), absl::StrCat("freeze node ", node));
  world_->nodes[node]->Pause();
  AfterRandomDelay(100, 900, [this, node] { world_->nodes[node]->Resume(); });
}

void Nemesis::PlannedStopNode() {
  const size_t node = RandomNode();
  world_->PlannedStopNode(node);
  AfterRandomDelay(1500, 2500, [this, node] { world_->StartNode(node); });
}

void Nemesis::KillControl(size_t index) {
  world_->KillControl(index);
  AfterRandomDelay(100, 1200, [this, index] { world_->StartControl(index); });
}

void Nemesis::PauseLeader() {
  const std::optional<size_t> leader = world_->LeaderIndex();
  if (!leader.has_value()) {
    return;
  }
  world_->history.Trace(world_->clock.now(), absl::StrCat("freeze leader ", *leader));
  world_->controls[*leader]->Pause();
  AfterRandomDelay(500, 2500, [this, index = *leader] { world_->controls[index]->Resume(); });
}

void Nemesis::CutLeader() {
  const std::optional<size_t> leader = world_->LeaderIndex();
  if (!leader.has_value()) {
    return;
  }
  // Cut only from the other machines: nodes and operators still reach the leader, which gets no
  // notice of the cut.
  const std::string name = world_->controls[*leader]->name();
  world_->history.Trace(world_->clock.now(), "cut " + name + " from its peers");
  for (const auto& other : world_->controls) {
    if (other->name() != name) {
      world_->network.CutBoth(name, other->name());
    }
  }
  AfterRandomDelay(1500, 3000, [this] { world_->network.HealAll(); });
}

void Nemesis::CutControlFromNodes() {
  world_->history.Trace(world_->clock.now(), "cut control from nodes");
  for (const auto& control : world_->controls) {
    for (const auto& node : world_->nodes) {
      if (world_->Uniform() < 0.7) {
        world_->network.CutBoth(control->name(), node->name());
      }
    }
  }
  AfterRandomDelay(1000, 3500, [this] { world_->network.HealAll(); });
}

void Nemesis::OneWayCut() {
  const size_t from = RandomControl();
  const size_t to = (from + static_cast<size_t>(world_->Between(1, 2))) % 3;
  world_->history.Trace(world_->clock.now(), absl::StrCat("one-way cut ", from, " to ", to));
  world_->network.Cut(world_->controls[from]->name(), world_->controls[to]->name());
  AfterRandomDelay(800, 2500, [this] { world_->network.HealAll(); });
}

void Nemesis::LoseDisk() {
  // The required fault is a second loss right after a repair, not during it.
  if (world_->repair_pending) {
    return;
  }
  const size_t index = world_->LeaderIndex().value_or(RandomControl());
  const size_t other = (index + 1) % 3;
  const size_t third = (index + 2) % 3;
  // Cuts off one replica first, so that only the leader and the disk to be lost hold the newest
  // entries.
  world_->network.CutBoth(world_->controls[third]->name(), world_->controls[index]->name());
  world_->network.CutBoth(world_->controls[third]->name(), world_->controls[other]->name());
  AfterRandomDelay(300, 900, [this, index, other, third] {
    if (world_->repair_pending) {
      return;
    }
    world_->LoseDisk(other);
    world_->StartControl(other);
    // At the same time, cuts off the only machine that still holds the newest entries.
    world_->network.HealAll();
    world_->network.CutBoth(world_->controls[index]->name(), world_->controls[other]->name());
    world_->network.CutBoth(world_->controls[index]->name(), world_->controls[third]->name());
    AfterRandomDelay(900, 1500, [this] { world_->network.HealAll(); });
    LoseDiskAfterRepair(world_->repairs);
  });
}

void Nemesis::LoseDisksInTurn() {
  if (world_->clock.now() < disks_busy_until_) {
    return;
  }
  disks_busy_until_ = world_->clock.now() + Seconds(20);
  // Forces a new leader, perhaps one whose address the machine that loses its disk does not know.
  KillControl(world_->LeaderIndex().value_or(RandomControl()));
  AfterRandomDelay(1500, 2000, [this] {
    const size_t first = RandomControl();
    LoseDiskBriefly(first);
    world_->clock.After(kCatchUp, [this, first] { LoseTwoMoreDisks(first); });
  });
}

void Nemesis::LoseDiskBriefly(size_t index) {
  world_->LoseDisk(index);
  AfterRandomDelay(20, 60, [this, index] { world_->StartControl(index); });
}

void Nemesis::LoseTwoMoreDisks(size_t first) {
  const size_t machines = world_->controls.size();
  const auto offset = static_cast<size_t>(world_->Between(1, static_cast<int64_t>(machines) - 2));
  const size_t second = (first + offset) % machines;
  const size_t third = (first + offset + 1) % machines;
  for (size_t i = 0; i < machines; ++i) {
    if (i == second || i == third) {
      LoseDiskBriefly(i);
    } else {
      KillControl(i);
    }
  }
}

void Nemesis::LoseDiskAfterRepair(uint64_t repairs_before) {
  AfterRandomDelay(20, 60, [this, repairs_before] {
    if (world_->repairs == repairs_before) {
      LoseDiskAfterRepair(repairs_before);
      return;
    }
    // Another fault may have lost a disk meanwhile; the second loss must not hit during a repair.
    if (world_->clock.now() < end_ && !world_->repair_pending) {
      const size_t second = RandomControl();
      world_->LoseDisk(second);
      AfterRandomDelay(100, 500, [this, second] { world_->StartControl(second); });
    }
  });
}

void Nemesis::PlannedStopControl() {
  const size_t index = world_->LeaderIndex().value_or(RandomControl());
  world_->PlannedStopControl(index);
  // A stop lasts until the last pending answer is sent; the machine is started again after that.
  AfterRandomDelay(4000, 4500, [this, index] { world_->StartControl(index); });
}

void Nemesis::BadNetwork() {
  NetworkOptions options;
  options.loss = 0.05;
  options.duplicate = 0.1;
  options.slow = 0.1;
  world_->history.Trace(world_->clock.now(), "bad network");
  world_->network.SetOptions(options);
  AfterRandomDelay(800, 2500, [this] { world_->network.SetOptions({}); });
}

}  // namespace pumicedyke::sim
