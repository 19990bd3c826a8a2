// A simulated process that can start, die, pause and resume, and whose clock may run at another
// rate.
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
  bool paused() const { return paused_; }
  /// Returns the time by the process's own clock.
  Timestamp LocalNow() const {
    const auto since = static_cast<double>(clock_->now().time_since_epoch().count());
    return Timestamp(Duration(static_cast<int64_t>(since * clock_rate_)));
  }
  void SetClockRate(double rate) { clock_rate_ = rate; }

  /// Runs `work` now, after Resume() if the process is paused, or never if it is dead.
  void Run(std::function<void()> work) {
    if (!alive_) {
      return;
    }
    if (paused_) {
      backlog_.push_back(std::move(work));
      return;
    }
    work();
  }

  /// Runs `work` after a delay unless the process has died or restarted meanwhile.
  void RunAfter(Duration delay, std::function<void()> work) {
    clock_->After(delay, [this, epoch = epoch_, work = std::move(work)]() mutable {
      if (epoch != epoch_) {
        return;
      }
      if (paused_) {
        overdue_.push_back(std::move(work));
      } else {
        work();
      }
    });
  }

  void Pause() { paused_ = alive_; }
  /// Resumes the process. As in the event loop, expired timers run before anything is read.
  void Resume() {
    paused_ = false;
    const std::deque<std::function<void()>> overdue = std::exchange(overdue_, {});
    const uint64_t epoch = epoch_;
    for (const auto& work : overdue) {
      if (epoch == epoch_) {
        work();
      }
    }
    while (HasUnread() && !paused_) {
      const std::function<void()> work = std::move(backlog_.front());
      backlog_.pop_front();
      work();
    }
  }
  /// Whether something has arrived that the process has not read yet.
  bool HasUnread() const { return !backlog_.empty(); }

 protected:
  void MarkStarted() {
    ++epoch_;
    alive_ = true;
    paused_ = false;
    backlog_.clear();
    overdue_.clear();
  }
  void MarkDead() {
    ++epoch_;
    alive_ = false;
    paused_ = false;
    backlog_.clear();
    overdue_.clear();
  }

  ClockQueue* clock_;

 private:
  std::string name_;
  bool alive_ = false;
  bool paused_ = false;
  uint64_t epoch_ = 0;
  double clock_rate_ = 1.0;
  std::deque<std::function<void()>> backlog_;
  std::deque<std::function<void()>> overdue_;
};

}  // namespace pumicedyke::sim
