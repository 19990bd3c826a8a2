#include "soak/faults.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <optional>
#include <thread>
#include <utility>

#include "net/event_loop.h"

namespace pumicedyke::soak {
namespace {

/// A restarted control machine counts as failed for this long, since a wiped one has to rejoin.
constexpr Duration kControlRecovery = Seconds(6);
/// A restarted gateway gets no fault for this long.
constexpr Duration kGatewayRecovery = Seconds(1);
constexpr int kMaxHangups = 4;

bool IsControl(const std::string& process) { return process.front() == 'c'; }

Duration RecoveryOf(const std::string& process) {
  return IsControl(process) ? kControlRecovery : kGatewayRecovery;
}

}  // namespace

Faults::Faults(uint64_t seed, FaultOptions options, platform::PlatformFleet* fleet,
               Observations* observations)
    : options_(std::move(options)), fleet_(fleet), observations_(observations), random_(seed) {}

Duration Faults::RandomDuration(int64_t low_ms, int64_t high_ms) {
  return Milliseconds(std::uniform_int_distribution<int64_t>(low_ms, high_ms)(random_));
}

void Faults::ScheduleUndo(Timestamp when, std::function<void()> undo) {
  pending_undos_.emplace(when, std::move(undo));
}

void Faults::Step(Timestamp now) {
  while (!pending_undos_.empty() && pending_undos_.begin()->first <= now) {
    const std::function<void()> undo = std::move(pending_undos_.begin()->second);
    pending_undos_.erase(pending_undos_.begin());
    undo();
  }
  StepStops(now);
  std::erase_if(busy_, [now](const auto& item) { return item.second <= now; });
  CheckForCrashes();
  if (now >= next_) {
    Inject(now);
    // One in three faults follows its predecessor quickly.
    next_ = now + (random_() % 3 == 0 ? RandomDuration(20, 150) : RandomDuration(300, 1500));
  }
}

void Faults::EndAllFaults() {
  while (!pending_undos_.empty()) {
    const std::function<void()> undo = std::move(pending_undos_.begin()->second);
    pending_undos_.erase(pending_undos_.begin());
    undo();
  }
  // Processes that were told to stop have their time.
  while (!stops_.empty()) {
    StepStops(net::EventLoop::Now());
    std::this_thread::sleep_for(Milliseconds(5));
  }
}

void Faults::CheckForCrashes() {
  for (const auto& [name, process] : fleet_->processes) {
    // The exit of a process that was ended on purpose is collected before its restart.
    if (!busy_.contains(name) && process->HasEnded()) {
      observations_->Fail(name + " exited by itself");
    }
  }
}

void Faults::Inject(Timestamp now) {
  using Fault = void (Faults::*)(Timestamp);
  static constexpr Fault kFaults[] = {
      &Faults::PauseGateway, &Faults::KillGateway, &Faults::StopGateway,
      &Faults::StopGateway,  &Faults::StopGateway, &Faults::PauseControl,
      &Faults::KillControl,  &Faults::StopControl, &Faults::WipeControl};

  constexpr uint64_t kLastKillAllGateways = 3;
  const uint64_t drawn = random_() % 32;
  if (drawn == 0) {
    KillAllControls(now);
  } else if (drawn == 1) {
    HangupSeries();
  } else if (drawn <= kLastKillAllGateways) {
    KillAllGateways(now);
  } else {
    (this->*kFaults[random_() % std::size(kFaults)])(now);
  }
}

std::string Faults::PickGateway() {
  const std::string& name = options_.gateways[random_() % options_.gateways.size()];
  // At least half of the gateways always serve.
  const auto unavailable = std::count_if(
      busy_.begin(), busy_.end(), [](const auto& item) { return item.first.front() == 'g'; });
  const bool enough = 2 * static_cast<size_t>(unavailable) < options_.gateways.size();
  return enough && !busy_.contains(name) ? name : "";
}

std::string Faults::PickControl(Timestamp now) {
  const auto unavailable = std::count_if(busy_.begin(), busy_.end(), [now](const auto& item) {
    return item.first.front() == 'c' && item.second > now;
  });
  const std::string name =
      "c" + std::to_string(random_() % static_cast<uint64_t>(options_.controls));
  return unavailable < options_.tolerated && !busy_.contains(name) ? name : "";
}

void Faults::Pause(Timestamp now, const std::string& process) {
  const Timestamp end_time = now + RandomDuration(100, 2500);
  fleet_->processes.at(process)->Signal(SIGSTOP);
  ScheduleUndo(end_time, [this, process] { fleet_->processes.at(process)->Signal(SIGCONT); });
  observations_->OnDisruption(process, now, end_time);
  busy_[process] = end_time + RecoveryOf(process);
}

Timestamp Faults::PauseLater(Timestamp now, const std::string& process) {
  ++injected_["pause_stopping"];
  const Timestamp start_time = now + RandomDuration(100, 1000);
  const Timestamp end_time = start_time + RandomDuration(20, 240);
  observations_->OnDisruption(process, start_time, end_time);
  const auto signal_later = [this, process](Timestamp when, int signal) {
    ScheduleUndo(when, [this, process, signal] {
      // By then the process may have stopped.
      if (!stops_.at(process).ended) {
        fleet_->processes.at(process)->Signal(signal);
      }
    });
  };
  signal_later(start_time, SIGSTOP);
  signal_later(end_time, SIGCONT);
  return end_time;
}

Duration Faults::KillAfter(const std::string& process) const {
  return IsControl(process) ? options_.kill_control_after : options_.kill_gateway_after;
}

void Faults::KillAndRestart(Timestamp now, const std::string& process) {
  const Timestamp restart_time = now + RandomDuration(50, 2000);
  fleet_->processes.at(process)->Signal(SIGKILL);
  observations_->OnDisruption(process, now, restart_time);
  ScheduleUndo(restart_time, [this, process] {
    fleet_->processes.at(process)->Wait();
    RestartProcess(process);
  });
  busy_[process] = restart_time + RecoveryOf(process);
}

void Faults::StopAndRestart(Timestamp now, const std::string& process) {
  PlannedStop& stop = stops_[process];
  stop = {.kill_time = now + KillAfter(process), .restart_time = now + RandomDuration(50, 2000)};
  // It is free again some time after its restart.
  busy_[process] = Timestamp::max();
  observations_->OnStopping(process, now);
  fleet_->processes.at(process)->Signal(SIGTERM);
  if (random_() % 2 == 0) {
    // Some stand still late in their stop; clients go on sending on open connections.
    const Timestamp pause_end = PauseLater(now, process);
    stop.restart_time = std::max(stop.restart_time, pause_end + Milliseconds(1));
  }
}

void Faults::StepStops(Timestamp now) {
  for (auto it = stops_.begin(); it != stops_.end();) {
    const std::string process = it->first;
    if (!it->second.ended) {
      StepStop(now, process);
    }
    if (it->second.ended && now >= it->second.restart_time) {
      RestartProcess(process);
      busy_[process] = now + RecoveryOf(process);
      it = stops_.erase(it);
    } else {
      ++it;
    }
  }
}

void Faults::StepStop(Timestamp now, const std::string& process) {
  PlannedStop& stop = stops_.at(process);
  e2e::Process* stopping = fleet_->processes.at(process).get();
  if (const std::optional<int> code = stopping->PollEnd(); code.has_value()) {
    stop.ended = true;
    observations_->OnStopped(process, now, StopEnd::kByItself);
    if (*code != 0) {
      observations_->Fail(process + " did not stop cleanly: " + std::to_string(*code));
    }
  } else if (now >= stop.kill_time) {
    stopping->Kill();
    stop.ended = true;
    observations_->OnStopped(process, net::EventLoop::Now(), StopEnd::kKilled);
    observations_->Fail(process + " was killed because it had not stopped in time");
  }
}

void Faults::RestartProcess(const std::string& process) {
  if (process.front() == 'c') {
    fleet_->StartControl(platform::ControlIndex(process), /*bootstrap=*/false);
  } else {
    fleet_->RestartGateway(process);
  }
}

void Faults::PauseGateway(Timestamp now) {
  if (const std::string name = PickGateway(); !name.empty()) {
    ++injected_["pause_gateway"];
    observations_->OnGatewayFault();
    Pause(now, name);
  }
}

void Faults::KillGateway(Timestamp now) {
  if (const std::string name = PickGateway(); !name.empty()) {
    ++injected_["kill_gateway"];
    observations_->OnGatewayFault();
    KillAndRestart(now, name);
  }
}

void Faults::KillAllGateways(Timestamp now) {
  ++injected_["kill_all_gateways"];
  for (const std::string& name : options_.gateways) {
    if (!busy_.contains(name)) {
      observations_->OnGatewayFault();
      KillAndRestart(now, name);
    }
  }
}

void Faults::StopGateway(Timestamp now) {
  if (const std::string name = PickGateway(); !name.empty()) {
    ++injected_["stop_gateway"];
    observations_->OnGatewayFault();
    StopAndRestart(now, name);
  }
}

void Faults::HangupSeries() {
  ++injected_["hangups"];
  for (int i = 0; i < kMaxHangups; ++i) {
    const std::string name = PickGateway();
    if (!name.empty()) {
      fleet_->processes.at(name)->Signal(SIGHUP);
    }
  }
}

void Faults::PauseControl(Timestamp now) {
  if (const std::string name = PickControl(now); !name.empty()) {
    ++injected_["pause_control"];
    Pause(now, name);
  }
}

void Faults::KillControl(Timestamp now) {
  if (const std::string name = PickControl(now); !name.empty()) {
    ++injected_["kill_control"];
    KillAndRestart(now, name);
  }
}

void Faults::StopControl(Timestamp now) {
  if (const std::string name = PickControl(now); !name.empty()) {
    ++injected_["stop_control"];
    StopAndRestart(now, name);
  }
}

void Faults::WipeControl(Timestamp now) {
  const std::string name = PickControl(now);
  if (name.empty()) {
    return;
  }
  ++injected_["wipe_control"];
  e2e::Process* process = fleet_->processes.at(name).get();
  process->Kill();
  std::filesystem::remove_all(fleet_->DataFolder(platform::ControlIndex(name)));
  const Timestamp restart_time = now + RandomDuration(50, 1000);
  ScheduleUndo(restart_time, [this, name] { RestartProcess(name); });
  busy_[name] = restart_time + kControlRecovery;
}

void Faults::KillAllControls(Timestamp now) {
  // More than the tolerated machines may fail only if all disks are kept.
  const bool any_unavailable = std::any_of(
      busy_.begin(), busy_.end(), [](const auto& item) { return item.first.front() == 'c'; });
  if (any_unavailable) {
    return;
  }
  ++injected_["kill_all_controls"];
  for (int i = 0; i < options_.controls; ++i) {
    KillAndRestart(now, "c" + std::to_string(i));
  }
}

}  // namespace pumicedyke::soak
