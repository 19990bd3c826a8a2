// The event loop of a process: sockets, timers, signals and tasks on the one thread that runs
// decision code.
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
#include "net/byte_budget.h"
#include "net/poller.h"
#include "net/request_room.h"

namespace pumicedyke::net {

class EventLoop : public ACE_Event_Handler {
 public:
  using Task = std::function<void()>;
  /// Identifies a timer; zero means none.
  using TimerId = uint64_t;

  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Monotonic time. Advances while the process is stopped by a signal and, unlike the steady
  /// clock, while the machine is suspended, because the leases and deadlines of other processes
  /// advance, too.
  static Timestamp Now();
  /// Wall clock in milliseconds since the epoch.
  static int64_t WallMilliseconds();

  /// The poller that watches the loop's sockets.
  Poller* poller() { return &poller_; }

  /// Bounds what all connections on this loop hold together.
  ByteBudget* byte_budget() { return &byte_budget_; }
  const ByteBudget& byte_budget() const { return byte_budget_; }
  /// Room for requests within that.
  RequestRoom* request_room() { return &request_room_; }
  const RequestRoom& request_room() const { return request_room_; }

  /// The earliest time at which the input that is being read may have arrived: the last poll, or
  /// the end of the wait if the loop has waited since.
  Timestamp earliest_arrival() const { return earliest_arrival_; }

  /// Runs `task` on the loop's thread as soon as possible. May be called from any thread.
  void Post(Task task);
  /// Like Post(), but only for the loop's own thread: does not wake the loop.
  void Defer(Task task) { deferred_.push_back(std::move(task)); }
  /// Runs `task` on the loop's thread at `when` or shortly after. Loop's thread only.
  TimerId RunAt(Timestamp when, Task task);
  /// Has no effect if the timer has run or was never set.
  void CancelTimer(TimerId id);
  /// Runs `task` on the loop's thread when the process receives the signal.
  void OnSignal(int signal_number, Task task);

  /// Runs until Stop(). @param tick called after every batch of events; returns the latest time of
  /// its next call.
  void Run(const std::function<Timestamp(Timestamp now)>& tick);
  /// Ends Run() without handling another event if called by tick(), otherwise at the end of the
  /// iteration.
  void Stop() { stopped_ = true; }
  /// Allows another Run() after Stop().
  void Resume() { stopped_ = false; }

  /// Called when a task was posted or a signal received.
  int handle_input(ACE_HANDLE handle) override;
  ACE_HANDLE get_handle() const override { return wake_handle_; }

 private:
  void RunPosted();
  void RunDeferred();
  void RunTimers(Timestamp now);
  void RunSignalTasks();
  /// Ends the current wait. May be called from any thread.
  void Wake() const;

  void RecordArrival();

  /// Destroyed last: tasks may own connections.
  ByteBudget byte_budget_{kDefaultHeldBytes};
  RequestRoom request_room_{&byte_budget_};
  Poller poller_;
  /// Start and end of the last wait for sockets.
  Timestamp wait_start_{};
  Timestamp wait_end_{};
  /// An eventfd.
  ACE_HANDLE wake_handle_;
  Timestamp earliest_arrival_{};
  std::mutex mutex_;
  std::deque<Task> posted_;
  std::vector<Task> deferred_;
  /// Ordered by due time, then by id.
  std::map<std::pair<Timestamp, TimerId>, Task> timers_;
  std::map<TimerId, Timestamp> timer_due_;
  TimerId next_timer_ = 1;
  std::map<int, Task> signal_tasks_;
  bool stopped_ = false;
};

}  // namespace pumicedyke::net
