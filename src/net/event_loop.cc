#include "net/event_loop.h"

#include <ace/ACE.h>
#include <ace/Dev_Poll_Reactor.h>
#include <ace/OS_NS_Thread.h>
#include <ace/Signal.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>

namespace pumicedyke::net {
namespace {

constexpr size_t kMaxHandles = 16384;
constexpr Duration kLongestSleep = Milliseconds(200);

}  // namespace

EventLoop::EventLoop() {
  ACE::set_handle_limit(static_cast<int>(kMaxHandles));
  auto* implementation = new ACE_Dev_Poll_Reactor(kMaxHandles, /*restart=*/false);
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

void EventLoop::Post(std::function<void()> task) {
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
  std::deque<std::function<void()>> tasks;
  {
    const std::lock_guard lock(mutex_);
    tasks.swap(posted_);
  }
  for (const auto& task : tasks) {
    task();
  }
}

int EventLoop::handle_exception(ACE_HANDLE /*handle*/) {
  RunPosted();
  return 0;
}

void EventLoop::OnSignal(int signal_number, std::function<void()> task) {
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
    const Timestamp wake = std::min(tick(before), before + kLongestSleep);
    const Duration sleep = std::max(Duration(0), wake - Now());
    ACE_Time_Value timeout(sleep);
    reactor_->handle_events(timeout);
    RunPosted();
    RunSignalTasks();
  }
}

}  // namespace pumicedyke::net
