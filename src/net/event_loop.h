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
#include <vector>

#include "common/types.h"

namespace pumicedyke::net {

class EventLoop : public ACE_Event_Handler {
 public:
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
  void Post(std::function<void()> task);
  /// Runs `task` on the loop's thread when the process gets the signal.
  void OnSignal(int signal_number, std::function<void()> task);

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
  void RunSignalTasks();

  std::unique_ptr<ACE_Reactor> reactor_;
  std::mutex mutex_;
  std::deque<std::function<void()>> posted_;
  std::map<int, std::function<void()>> signal_tasks_;
  /// Bit n: signal n came. The only thing the signal handler touches.
  std::atomic<uint64_t> pending_signals_{0};
  bool stopped_ = false;
};

}  // namespace pumicedyke::net
