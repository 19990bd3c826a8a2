// A simulated process: can die, start, stand still for a while, and have a clock of another rate.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <utility>

#include "sim/clock_queue.h"

namespace pumicedyke::sim {

class SimProcess {
 public:
  SimProcess(ClockQueue* clock, std::string name) : clock_(clock), name_(std::move(name)) {}
  virtual ~SimProcess() = default;
  SimProcess(const SimProcess&) = delete;
  SimProcess& operator=(const SimProcess&) = delete;

  const std::string& name() const { return name_; }
  bool alive() const { return alive_; }
  bool frozen() const { return frozen_; }
  /// The process's own clock.
  Timestamp LocalNow() const {
    const auto since = static_cast<double>(clock_->now().time_since_epoch().count());
    return Timestamp(Duration(static_cast<int64_t>(since * clock_rate_)));
  }
  void SetClockRate(double rate) { clock_rate_ = rate; }

  /// Runs `work` now, after the thaw if the process stands still, or never if it is dead.
  void Run(std::function<void()> work) {
    if (!alive_) {
      return;
    }
    if (frozen_) {
      backlog_.push_back(std::move(work));
      return;
    }
    work();
  }

  /// Runs `work` after a delay in this life of the process.
  void RunAfter(Duration delay, std::function<void()> work) {
    clock_->After(delay, [this, life = life_, work = std::move(work)]() mutable {
      if (life != life_) {
        return;
      }
      if (frozen_) {
        overdue_.push_back(std::move(work));
      } else {
        work();
      }
    });
  }

  void Freeze() { frozen_ = alive_; }
  /// As in the event loop, what arrived comes before timers that ran out.
  void Thaw() {
    frozen_ = false;
    std::deque<std::function<void()>> due = std::exchange(backlog_, {});
    const std::deque<std::function<void()>> overdue = std::exchange(overdue_, {});
    due.insert(due.end(), overdue.begin(), overdue.end());
    const uint64_t life = life_;
    for (const auto& work : due) {
      if (life == life_) {
        work();
      }
    }
  }

 protected:
  void MarkStarted() {
    ++life_;
    alive_ = true;
    frozen_ = false;
    backlog_.clear();
    overdue_.clear();
  }
  void MarkDead() {
    ++life_;
    alive_ = false;
    frozen_ = false;
    backlog_.clear();
    overdue_.clear();
  }

  ClockQueue* clock_;

 private:
  std::string name_;
  bool alive_ = false;
  bool frozen_ = false;
  uint64_t life_ = 0;
  double clock_rate_ = 1.0;
  std::deque<std::function<void()>> backlog_;
  std::deque<std::function<void()>> overdue_;
};

}  // namespace pumicedyke::sim
