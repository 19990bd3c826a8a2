#include "net/event_loop.h"

#include <sys/eventfd.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <utility>

#include "common/log.h"

namespace pumicedyke::net {
namespace {

/// Requested limit on open file descriptors.
constexpr rlim_t kMaxHandles = 16384;
constexpr Duration kMaxSleep = Milliseconds(200);
/// A shorter wait counts as no wait: something was ready at once.
constexpr Duration kMinSleep = Microseconds(100);

/// Bit n: signal n was received.
std::atomic<uint64_t> pending_signals{0};
/// Event descriptor that the signal handler writes to; -1 while no loop handles signals.
std::atomic<int> signal_wake_handle{-1};

/// The signal handler. Must not lock or allocate.
void RecordSignal(int signal_number) {
  pending_signals.fetch_or(uint64_t{1} << static_cast<unsigned>(signal_number));
  const int handle = signal_wake_handle.load();
  if (handle >= 0) {
    const int saved = errno;
    eventfd_write(handle, 1);
    errno = saved;
  }
}

void RaiseHandleLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < kMaxHandles) {
    limit.rlim_cur = std::min(limit.rlim_max, kMaxHandles);
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
}

}  // namespace

EventLoop::EventLoop()
    : poller_([this] { RecordArrival(); }), wake_handle_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  wait_end_ = Now();
  RaiseHandleLimit();
  poller_.Watch(this, ACE_Event_Handler::READ_MASK);
  std::signal(SIGPIPE, SIG_IGN);
  // Exceeding the file size limit then makes the write fail instead of killing the process.
  std::signal(SIGXFSZ, SIG_IGN);
}

EventLoop::~EventLoop() {
  // Destroying tasks that never ran may cancel timers and remove handlers, so it is done first.
  while (!deferred_.empty()) {
    const std::vector<Task> dropped = std::exchange(deferred_, {});
  }
  for (const auto& [number, task] : signal_tasks_) {
    std::signal(number, SIG_DFL);
  }
  int own = wake_handle_;
  signal_wake_handle.compare_exchange_strong(own, -1);
  poller_.Remove(this);
  ::close(wake_handle_);
}

Timestamp EventLoop::Now() {
  timespec since_boot{};
  ::clock_gettime(CLOCK_BOOTTIME, &since_boot);
  return Timestamp(Seconds(since_boot.tv_sec) + std::chrono::duration_cast<Duration>(
                                                    std::chrono::nanoseconds(since_boot.tv_nsec)));
}

int64_t EventLoop::WallMilliseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

void EventLoop::Post(Task task) {
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    wake = posted_.empty();
    posted_.push_back(std::move(task));
  }
  if (wake) {
    Wake();
  }
}

void EventLoop::Wake() const { eventfd_write(wake_handle_, 1); }

void EventLoop::RunPosted() {
  std::deque<Task> tasks;
  {
    const std::lock_guard lock(mutex_);
    tasks.swap(posted_);
  }
  for (const auto& task : tasks) {
    task();
  }
}

void EventLoop::RunDeferred() {
  std::vector<Task> tasks;
  tasks.swap(deferred_);
  for (const Task& task : tasks) {
    task();
  }
}

EventLoop::TimerId EventLoop::RunAt(Timestamp when, Task task) {
  const TimerId id = next_timer_++;
  timers_.emplace(std::pair(when, id), std::move(task));
  timer_due_.emplace(id, when);
  return id;
}

void EventLoop::CancelTimer(TimerId id) {
  const auto due = timer_due_.find(id);
  if (due != timer_due_.end()) {
    timers_.erase(std::pair(due->second, id));
    timer_due_.erase(due);
  }
}

void EventLoop::RunTimers(Timestamp now) {
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    const auto first = timers_.begin();
    const Task task = std::move(first->second);
    timer_due_.erase(first->first.second);
    timers_.erase(first);
    task();
  }
}

int EventLoop::handle_input(ACE_HANDLE handle) {
  eventfd_t count = 0;
  eventfd_read(handle, &count);
  return 0;
}

void EventLoop::OnSignal(int signal_number, Task task) {
  signal_tasks_[signal_number] = std::move(task);
  signal_wake_handle = wake_handle_;
  struct sigaction action {};
  action.sa_handler = RecordSignal;
  action.sa_flags = SA_RESTART;
  ::sigaction(signal_number, &action, nullptr);
}

void EventLoop::RunSignalTasks() {
  if (signal_tasks_.empty()) {
    return;
  }
  const uint64_t pending = pending_signals.exchange(0);
  for (const auto& [number, task] : signal_tasks_) {
    if ((pending & (uint64_t{1} << static_cast<unsigned>(number))) != 0) {
      task();
    }
  }
}

void EventLoop::RecordArrival() {
  const Timestamp now = Now();
  const bool slept = now - wait_start_ >= kMinSleep;
  earliest_arrival_ = slept ? now : wait_end_;
  wait_end_ = now;
}

void EventLoop::Run(const std::function<Timestamp(Timestamp now)>& tick) {
  while (!stopped_) {
    const Timestamp before = Now();
    RunTimers(before);
    Timestamp wake = std::min(tick(before), before + kMaxSleep);
    if (!timers_.empty()) {
      wake = std::min(wake, timers_.begin()->first.first);
    }
    FlushLog();
    if (stopped_) {
      // The owner stops when no request is in progress. A request read after that would be lost.
      break;
    }
    wait_start_ = Now();
    const Duration sleep =
        deferred_.empty() ? std::max(Duration(0), wake - wait_start_) : Duration(0);
    poller_.Poll(sleep);
    RunPosted();
    RunDeferred();
    RunSignalTasks();
  }
}

}  // namespace pumicedyke::net
