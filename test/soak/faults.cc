#include "soak/faults.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <utility>

namespace pumicedyke::soak {
namespace {

/// A control machine that returns counts as lost for so long: a wiped one has to be taken in again.
constexpr Duration kCatchUp = Seconds(6);
/// A gateway that returns is left alone for so long.
constexpr Duration kGatewayRest = Seconds(1);
constexpr int kMostHangups = 4;

int ControlIndex(const std::string& process) { return process.back() - '0'; }

}  // namespace

Faults::Faults(uint64_t seed, FaultOptions options, platform::PlatformFleet* fleet,
               Observations* seen)
    : options_(std::move(options)), fleet_(fleet), seen_(seen), random_(seed) {}

Duration Faults::Between(int64_t low_ms, int64_t high_ms) {
  return Milliseconds(std::uniform_int_distribution<int64_t>(low_ms, high_ms)(random_));
}

void Faults::Later(Timestamp when, std::function<void()> undo) {
  undo_.emplace(when, std::move(undo));
}

void Faults::Step(Timestamp now) {
  while (!undo_.empty() && undo_.begin()->first <= now) {
    const std::function<void()> undo = std::move(undo_.begin()->second);
    undo_.erase(undo_.begin());
    undo();
  }
  std::erase_if(busy_, [now](const auto& item) { return item.second <= now; });
  LookForDeaths();
  if (now >= next_) {
    Bring(now);
    // Now and then faults come in quick succession.
    next_ = now + (random_() % 3 == 0 ? Between(20, 150) : Between(300, 1500));
  }
}

void Faults::HealAll() {
  while (!undo_.empty()) {
    const std::function<void()> undo = std::move(undo_.begin()->second);
    undo_.erase(undo_.begin());
    undo();
  }
}

void Faults::LookForDeaths() {
  for (const auto& [name, process] : fleet_->processes) {
    // What was ended on purpose is waited for by whoever starts it again.
    if (!busy_.contains(name) && process->HasEnded()) {
      seen_->Fail(name + " ended by itself");
    }
  }
}

void Faults::Bring(Timestamp now) {
  using Fault = void (Faults::*)(Timestamp);
  static constexpr Fault kFaults[] = {
      &Faults::PauseGateway, &Faults::KillGateway, &Faults::StopGateway, &Faults::PauseControl,
      &Faults::KillControl,  &Faults::StopControl, &Faults::WipeControl};
  const uint64_t drawn = random_() % 32;
  if (drawn == 0) {
    KillAllControls(now);
  } else if (drawn == 1) {
    SeriesOfHangups();
  } else {
    (this->*kFaults[random_() % std::size(kFaults)])(now);
  }
}

std::string Faults::FreeGateway() {
  const std::string& name = options_.gateways[random_() % options_.gateways.size()];
  // Half of the gateways always serve.
  const auto gone = std::count_if(busy_.begin(), busy_.end(),
                                  [](const auto& item) { return item.first.front() == 'g'; });
  const bool enough = 2 * static_cast<size_t>(gone) < options_.gateways.size();
  return enough && !busy_.contains(name) ? name : "";
}

std::string Faults::SpareControl(Timestamp now) {
  const auto gone = std::count_if(busy_.begin(), busy_.end(), [now](const auto& item) {
    return item.first.front() == 'c' && item.second > now;
  });
  const std::string name =
      "c" + std::to_string(random_() % static_cast<uint64_t>(options_.controls));
  return gone < options_.tolerated && !busy_.contains(name) ? name : "";
}

void Faults::Pause(Timestamp now, const std::string& process) {
  const Timestamp over = now + Between(100, 2500);
  fleet_->processes.at(process)->Signal(SIGSTOP);
  Later(over, [this, process] { fleet_->processes.at(process)->Signal(SIGCONT); });
  busy_[process] = over + (process.front() == 'c' ? kCatchUp : kGatewayRest);
}

void Faults::End(Timestamp now, const std::string& process, int signal) {
  const Timestamp back = now + Between(50, 2000);
  fleet_->processes.at(process)->Signal(signal);
  Later(back, [this, process, signal] {
    // A planned stop answers what it has admitted first.
    const int ended = fleet_->processes.at(process)->Wait();
    if (signal == SIGTERM && ended != 0) {
      seen_->Fail(process + " did not stop cleanly: " + std::to_string(ended));
    }
    StartAgain(process);
  });
  busy_[process] = back + (process.front() == 'c' ? kCatchUp : kGatewayRest);
}

void Faults::StartAgain(const std::string& process) {
  if (process.front() == 'c') {
    fleet_->StartControl(ControlIndex(process), /*bootstrap=*/false);
  } else {
    fleet_->RestartGateway(process);
  }
}

void Faults::PauseGateway(Timestamp now) {
  if (const std::string name = FreeGateway(); !name.empty()) {
    ++brought_["pause_gateway"];
    seen_->OnGatewayFault();
    Pause(now, name);
  }
}

void Faults::KillGateway(Timestamp now) {
  if (const std::string name = FreeGateway(); !name.empty()) {
    ++brought_["kill_gateway"];
    seen_->OnGatewayFault();
    End(now, name, SIGKILL);
  }
}

void Faults::StopGateway(Timestamp now) {
  if (const std::string name = FreeGateway(); !name.empty()) {
    ++brought_["stop_gateway"];
    seen_->OnGatewayFault();
    End(now, name, SIGTERM);
  }
}

void Faults::SeriesOfHangups() {
  ++brought_["hangups"];
  for (int i = 0; i < kMostHangups; ++i) {
    const std::string name = FreeGateway();
    if (!name.empty()) {
      fleet_->processes.at(name)->Signal(SIGHUP);
    }
  }
}

void Faults::PauseControl(Timestamp now) {
  if (const std::string name = SpareControl(now); !name.empty()) {
    ++brought_["pause_control"];
    Pause(now, name);
  }
}

void Faults::KillControl(Timestamp now) {
  if (const std::string name = SpareControl(now); !name.empty()) {
    ++brought_["kill_control"];
    End(now, name, SIGKILL);
  }
}

void Faults::StopControl(Timestamp now) {
  if (const std::string name = SpareControl(now); !name.empty()) {
    ++brought_["stop_control"];
    End(now, name, SIGTERM);
  }
}

void Faults::WipeControl(Timestamp now) {
  const std::string name = SpareControl(now);
  if (name.empty()) {
    return;
  }
  ++brought_["wipe_control"];
  e2e::Process* process = fleet_->processes.at(name).get();
  process->Kill();
  std::filesystem::remove_all(fleet_->DataFolder(ControlIndex(name)));
  const Timestamp back = now + Between(50, 1000);
  Later(back, [this, name] { StartAgain(name); });
  busy_[name] = back + kCatchUp;
}

void Faults::KillAllControls(Timestamp now) {
  // Others may be lost beside the tolerated ones only if their disks come back.
  const bool any_gone = std::any_of(busy_.begin(), busy_.end(),
                                    [](const auto& item) { return item.first.front() == 'c'; });
  if (any_gone) {
    return;
  }
  ++brought_["kill_all_controls"];
  for (int i = 0; i < options_.controls; ++i) {
    End(now, "c" + std::to_string(i), SIGKILL);
  }
}

}  // namespace pumicedyke::soak
