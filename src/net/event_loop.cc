#include "net/event_loop.h"

#include <ace/ACE.h>
#include <ace/Dev_Poll_Reactor.h>
#include <ace/OS_NS_Thread.h>
#include <ace/Signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>

#include "common/log.h"

namespace pumicedyke::net {
namespace {

/// Handles that the reactor has room for, unless the process may open fewer.
constexpr rlim_t kMaxHandles = 16384;
constexpr Duration kLongestSleep = Milliseconds(200);

/// The reactor refuses to open with room for more handles than the process may have.
int HandleLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return static_cast<int>(kMaxHandles);
  }
  return static_cast<int>(std::min(limit.rlim_cur, kMaxHandles));
}

}  // namespace

EventLoop::EventLoop() {
  rlimit limit{};
  const bool may_raise = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < kMaxHandles &&
                         limit.rlim_max > limit.rlim_cur;
  if (may_raise) {
    ACE::set_handle_limit(static_cast<int>(std::min(limit.rlim_max, kMaxHandles)));
  }
  auto* implementation =
      new ACE_Dev_Poll_Reactor(static_cast<size_t>(HandleLimit()), /*restart=*/false);
  reactor_ = std::make_unique<ACE_Reactor>(implementation, /*delete_implementation=*/true);
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
  for (const auto& [number, task] : signal_tasks_) {
    reactor_->remove_handler(number, static_cast<ACE_Sig_Action*>(nullptr));
  }
  reactor_->purge_pending_notifications(this);
}

Timestamp EventLoop::Now() {
  const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
  return Timestamp(std::chrono::duration_cast<Duration>(since_boot));
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
    reactor_->notify(this, ACE_Event_Handler::EXCEPT_MASK);
  }
}

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

int EventLoop::handle_exception(ACE_HANDLE /*handle*/) {
  RunPosted();
  return 0;
}

void EventLoop::OnSignal(int signal_number, Task task) {
  signal_tasks_[signal_number] = std::move(task);
  reactor_->register_handler(signal_number, this);
}

int EventLoop::handle_signal(int signal_number, siginfo_t* /*info*/, ucontext_t* /*context*/) {
  // Runs in the signal handler itself: no locks, no memory.
  pending_signals_.fetch_or(uint64_t{1} << static_cast<unsigned>(signal_number));
  return 0;
}

void EventLoop::RunSignalTasks() {
  const uint64_t pending = pending_signals_.exchange(0);
  for (const auto& [number, task] : signal_tasks_) {
    if ((pending & (uint64_t{1} << static_cast<unsigned>(number))) != 0) {
      task();
    }
  }
}

void EventLoop::Run(const std::function<Timestamp(Timestamp now)>& tick) {
  reactor_->owner(ACE_OS::thr_self());
  while (!stopped_) {
    const Timestamp before = Now();
    RunTimers(before);
    Timestamp wake = std::min(tick(before), before + kLongestSleep);
    if (!timers_.empty()) {
      wake = std::min(wake, timers_.begin()->first.first);
    }
    const Duration sleep = deferred_.empty() ? std::max(Duration(0), wake - Now()) : Duration(0);
    FlushLog();
    ACE_Time_Value timeout(sleep);
    reactor_->handle_events(timeout);
    RunPosted();
    RunDeferred();
    RunSignalTasks();
  }
}

}  // namespace pumicedyke::net
