// The one thread of a process that runs decision code: sockets, timers, signals and tasks.
#pragma once

#include <ace/Event_Handler.h>

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "common/types.h"
#include "net/poller.h"

namespace pumicedyke::net {

class EventLoop : public ACE_Event_Handler {
 public:
  using Task = std::function<void()>;
  /// Names a timer; zero is none.
  using TimerId = uint64_t;

  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Monotonic time. Goes on while the process is stopped by a signal, and, unlike the steady
  /// clock, while the machine is suspended: leases and deadlines of others don't wait for it.
  static Timestamp Now();
  /// Milliseconds since the epoch.
  static int64_t WallMilliseconds();

  /// Where sockets are watched.
  Poller* poller() { return &poller_; }

  /// The earliest time at which what is being read now may have arrived: when the loop last looked,
  /// unless it slept since.
  Timestamp earliest_arrival() const { return earliest_arrival_; }

  /// Runs `task` on the loop's thread, soon. May be called from any thread.
  void Post(Task task);
  /// Like Post(), for the loop's own thread only: wakes nobody.
  void Defer(Task task) { deferred_.push_back(std::move(task)); }
  /// Runs `task` on the loop's thread at `when` or a little later. Loop's thread only.
  TimerId RunAt(Timestamp when, Task task);
  /// Does nothing if the timer has run or was never set.
  void CancelTimer(TimerId id);
  /// Runs `task` on the loop's thread when the process gets the signal.
  void OnSignal(int signal_number, Task task);

  /// Runs until Stop(). @param tick called after every batch of events; returns when it wants to
  /// be called again at the latest.
  void Run(const std::function<Timestamp(Timestamp now)>& tick);
  /// Ends Run() without another event if called by tick(), else at the end of the turn.
  void Stop() { stopped_ = true; }
  /// Lets Run() be called again after Stop().
  void Resume() { stopped_ = false; }

  /// Something was posted or a signal came.
  int handle_input(ACE_HANDLE handle) override;
  ACE_HANDLE get_handle() const override { return wake_handle_; }

 private:
  void RunPosted();
  void RunDeferred();
  void RunTimers(Timestamp now);
  void RunSignalTasks();
  /// Ends a wait; may be called from any thread.
  void Wake() const;

  void NoteArrival();

  Poller poller_;
  /// When the loop last began and ended to wait for sockets.
  Timestamp wait_began_{};
  Timestamp wait_ended_{};
  /// An eventfd.
  ACE_HANDLE wake_handle_;
  Timestamp earliest_arrival_{};
  std::mutex mutex_;
  std::deque<Task> posted_;
  std::vector<Task> deferred_;
  /// By due time, then by number.
  std::map<std::pair<Timestamp, TimerId>, Task> timers_;
  std::map<TimerId, Timestamp> timer_due_;
  TimerId next_timer_ = 1;
  std::map<int, Task> signal_tasks_;
  bool stopped_ = false;
};

}  // namespace pumicedyke::net
