#include "sim/nemesis.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"

namespace pumicedyke::sim {
namespace {

/// A machine with a new disk is a voter again within this, and counts as lost until then.
constexpr Duration kCatchUp = Seconds(4);

}  // namespace

void Nemesis::Start(Timestamp end) {
  end_ = end;
  Loop();
}

void Nemesis::Later(int64_t low_ms, int64_t high_ms, std::function<void()> undo) {
  world_->clock.After(Milliseconds(world_->Between(low_ms, high_ms)), std::move(undo));
}

void Nemesis::Loop() {
  if (faults_.empty()) {
    return;
  }
  const int64_t mean_ms = interval_.count() / 1000;
  Later(mean_ms / 2, mean_ms * 3 / 2, [this] {
    if (world_->clock.now() >= end_) {
      return;
    }
    const auto last = static_cast<int64_t>(faults_.size()) - 1;
    Bring(faults_[static_cast<size_t>(world_->Between(0, last))]);
    Loop();
  });
}

void Nemesis::Bring(Fault fault) {
  switch (fault) {
    case Fault::kKillLeaf:
      return KillLeaf();
    case Fault::kKillAllLeafs:
      return KillAllLeafs();
    case Fault::kFreezeLeaf:
      return FreezeLeaf();
    case Fault::kLeaveLeaf:
      return LeaveLeaf();
    case Fault::kKillNode:
      return KillNode();
    case Fault::kFreezeNode:
      return FreezeNode();
    case Fault::kPlannedStopNode:
      return PlannedStopNode();
    case Fault::kKillControl:
      return KillControl(world_->LeaderIndex().value_or(RandomControl()));
    case Fault::kKillAllControls:
      for (size_t i = 0; i < world_->controls.size(); ++i) {
        KillControl(i);
      }
      return;
    case Fault::kFreezeLeader:
      return FreezeLeader();
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
  Later(300, 1500, [this, leaf] { world_->StartLeaf(leaf); });
}

void Nemesis::KillAllLeafs() {
  for (const auto& [name, leaf] : world_->leafs) {
    world_->KillLeaf(name);
    Later(200, 900, [this, name = name] { world_->StartLeaf(name); });
  }
}

void Nemesis::FreezeLeaf() {
  const std::string leaf = RandomLeaf();
  world_->history.Trace(world_->clock.now(), "freeze " + leaf);
  world_->leafs.at(leaf)->Freeze();
  Later(200, 1500, [this, leaf] { world_->leafs.at(leaf)->Thaw(); });
}

void Nemesis::LeaveLeaf() {
  const std::string leaf = RandomLeaf();
  if (world_->leaving(leaf)) {
    return;
  }
  const auto how = static_cast<World::LeaveBy>(world_->Between(0, 2));
  world_->MakeLeafLeave(leaf, how);
  Later(6000, 9000, [this, leaf] { world_->LeafStays(leaf); });
}

void Nemesis::KillNode() {
  const size_t node = RandomNode();
  world_->KillNode(node);
  Later(50, 600, [this, node] { world_->StartNode(node); });
}

void Nemesis::FreezeNode() {
  const size_t node = RandomNode();
  world_->history.Trace(world_->clock.now(), absl::StrCat("freeze node ", node));
  world_->nodes[node]->Freeze();
  Later(100, 900, [this, node] { world_->nodes[node]->Thaw(); });
}

void Nemesis::PlannedStopNode() {
  const size_t node = RandomNode();
  world_->PlannedStopNode(node);
  Later(1500, 2500, [this, node] { world_->StartNode(node); });
}

void Nemesis::KillControl(size_t index) {
  world_->KillControl(index);
  Later(100, 1200, [this, index] { world_->StartControl(index); });
}

void Nemesis::FreezeLeader() {
  const std::optional<size_t> leader = world_->LeaderIndex();
  if (!leader.has_value()) {
    return;
  }
  world_->history.Trace(world_->clock.now(), absl::StrCat("freeze leader ", *leader));
  world_->controls[*leader]->Freeze();
  Later(500, 2500, [this, index = *leader] { world_->controls[index]->Thaw(); });
}

void Nemesis::CutLeader() {
  const std::optional<size_t> leader = world_->LeaderIndex();
  if (!leader.has_value()) {
    return;
  }
  // From the other machines only: nodes and operators still reach it, and it knows nothing.
  const std::string name = world_->controls[*leader]->name();
  world_->history.Trace(world_->clock.now(), "cut " + name + " from its peers");
  for (const auto& other : world_->controls) {
    if (other->name() != name) {
      world_->network.CutBoth(name, other->name());
    }
  }
  Later(1500, 3000, [this] { world_->network.HealAll(); });
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
  Later(1000, 3500, [this] { world_->network.HealAll(); });
}

void Nemesis::OneWayCut() {
  const size_t from = RandomControl();
  const size_t to = (from + static_cast<size_t>(world_->Between(1, 2))) % 3;
  world_->history.Trace(world_->clock.now(), absl::StrCat("one-way cut ", from, " to ", to));
  world_->network.Cut(world_->controls[from]->name(), world_->controls[to]->name());
  Later(800, 2500, [this] { world_->network.HealAll(); });
}

void Nemesis::LoseDisk() {
  // The brief's failure is a second loss right after a repair, not during it.
  if (world_->repair_pending) {
    return;
  }
  const size_t index = world_->LeaderIndex().value_or(RandomControl());
  const size_t other = (index + 1) % 3;
  const size_t third = (index + 2) % 3;
  // First one replica is left behind, so that the lost disk and the leader hold the newest alone.
  world_->network.CutBoth(world_->controls[third]->name(), world_->controls[index]->name());
  world_->network.CutBoth(world_->controls[third]->name(), world_->controls[other]->name());
  Later(300, 900, [this, index, other, third] {
    if (world_->repair_pending) {
      return;
    }
    world_->LoseDisk(other);
    world_->StartControl(other);
    // At the same time the one machine that holds the newest alone is cut off.
    world_->network.HealAll();
    world_->network.CutBoth(world_->controls[index]->name(), world_->controls[other]->name());
    world_->network.CutBoth(world_->controls[index]->name(), world_->controls[third]->name());
    Later(900, 1500, [this] { world_->network.HealAll(); });
    WatchRepair(world_->repairs);
  });
}

void Nemesis::LoseDisksInTurn() {
  if (world_->clock.now() < disks_busy_until_) {
    return;
  }
  disks_busy_until_ = world_->clock.now() + Seconds(20);
  // Another machine leads from now on, perhaps one that the lost machine was not told of.
  KillControl(world_->LeaderIndex().value_or(RandomControl()));
  Later(1500, 2000, [this] {
    const size_t first = RandomControl();
    LoseDiskBriefly(first);
    world_->clock.After(kCatchUp, [this, first] { LoseTwoMoreDisks(first); });
  });
}

void Nemesis::LoseDiskBriefly(size_t index) {
  world_->LoseDisk(index);
  Later(20, 60, [this, index] { world_->StartControl(index); });
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

void Nemesis::WatchRepair(uint64_t repairs_before) {
  Later(20, 60, [this, repairs_before] {
    if (world_->repairs == repairs_before) {
      WatchRepair(repairs_before);
      return;
    }
    // Right after a repair, not during the next one: another fault may have taken a disk meanwhile.
    if (world_->clock.now() < end_ && !world_->repair_pending) {
      const size_t second = RandomControl();
      world_->LoseDisk(second);
      Later(100, 500, [this, second] { world_->StartControl(second); });
    }
  });
}

void Nemesis::PlannedStopControl() {
  const size_t index = world_->LeaderIndex().value_or(RandomControl());
  world_->PlannedStopControl(index);
  // A stop takes as long as its longest pending answer; only then is the machine started again.
  Later(4000, 4500, [this, index] { world_->StartControl(index); });
}

void Nemesis::BadNetwork() {
  NetworkOptions options;
  options.loss = 0.05;
  options.duplicate = 0.1;
  options.slow = 0.1;
  world_->history.Trace(world_->clock.now(), "bad network");
  world_->network.SetOptions(options);
  Later(800, 2500, [this] { world_->network.SetOptions({}); });
}

}  // namespace pumicedyke::sim
