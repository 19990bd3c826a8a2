// The one thread of a process that runs decision code, over an ACE reactor.
#pragma once

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "common/types.h"

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

  /// Monotonic time; goes on while the process is stopped by a signal.
  static Timestamp Now();
  /// Milliseconds since the epoch.
  static int64_t WallMilliseconds();

  ACE_Reactor* ace() { return reactor_.get(); }

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
  void Stop() { stopped_ = true; }
  /// Lets Run() be called again after Stop().
  void Resume() { stopped_ = false; }

  int handle_signal(int signal_number, siginfo_t* info, ucontext_t* context) override;
  int handle_exception(ACE_HANDLE handle) override;

 private:
  void RunPosted();
  void RunDeferred();
  void RunTimers(Timestamp now);
  void RunSignalTasks();

  std::unique_ptr<ACE_Reactor> reactor_;
  std::mutex mutex_;
  std::deque<Task> posted_;
  std::vector<Task> deferred_;
  /// By due time, then by number.
  std::map<std::pair<Timestamp, TimerId>, Task> timers_;
  std::map<TimerId, Timestamp> timer_due_;
  TimerId next_timer_ = 1;
  std::map<int, Task> signal_tasks_;
  /// Bit n: signal n came. The only thing the signal handler touches.
  std::atomic<uint64_t> pending_signals_{0};
  bool stopped_ = false;
};

}  // namespace pumicedyke::net
