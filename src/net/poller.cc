#include "net/poller.h"

#include <event2/event.h>
#include <event2/event_struct.h>

#include <utility>

namespace pumicedyke::net {
namespace {

constexpr ACE_Reactor_Mask kInputMask =
    ACE_Event_Handler::READ_MASK | ACE_Event_Handler::ACCEPT_MASK;

short EventsOf(ACE_Reactor_Mask mask) {
  const int input = (mask & kInputMask) != 0 ? EV_READ : 0;
  const int output = (mask & ACE_Event_Handler::WRITE_MASK) != 0 ? EV_WRITE : 0;
  return static_cast<short>(EV_PERSIST | input | output);
}

event_base* MakeBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

}  // namespace

struct Poller::Watched {
  ::event event{};
  ACE_Event_Handler* handler = nullptr;
  Poller* poller = nullptr;

  /// Called by libevent. Handles output first, as it may complete a connect.
  static void OnReady(evutil_socket_t handle, short events, void* argument) {
    auto* self = static_cast<Watched*>(argument);
    Poller* poller = self->poller;
    ACE_Event_Handler* handler = self->handler;
    if (std::exchange(poller->waiting_, false)) {
      poller->on_ready_();
    }
    if ((events & EV_WRITE) != 0) {
      handler->handle_output(handle);
    }
    // The first call may have removed the handler, and this object with it.
    const bool still_watched = (events & EV_WRITE) == 0 || poller->watched_.contains(handler);
    if ((events & EV_READ) != 0 && still_watched) {
      handler->handle_input(handle);
    }
  }
};

Poller::Poller(std::function<void()> on_ready)
    : on_ready_(std::move(on_ready)), base_(MakeBase()), timer_(std::make_unique<Watched>()) {
  evtimer_assign(
      &timer_->event, base_, [](evutil_socket_t, short, void*) {}, nullptr);
}

Poller::~Poller() {
  event_del(&timer_->event);
  for (const auto& [handler, watched] : watched_) {
    event_del(&watched->event);
  }
  event_base_free(base_);
}

bool Poller::Watch(ACE_Event_Handler* handler, ACE_Reactor_Mask mask) {
  std::unique_ptr<Watched>& watched = watched_[handler];
  if (watched == nullptr) {
    watched = std::make_unique<Watched>();
    watched->handler = handler;
    watched->poller = this;
  } else {
    event_del(&watched->event);
  }
  event_assign(&watched->event, base_, handler->get_handle(), EventsOf(mask), &Watched::OnReady,
               watched.get());
  if (event_add(&watched->event, nullptr) != 0) {
    watched_.erase(handler);
    return false;
  }
  return true;
}

void Poller::Remove(ACE_Event_Handler* handler) {
  const auto it = watched_.find(handler);
  if (it != watched_.end()) {
    event_del(&it->second->event);
    watched_.erase(it);
  }
}

void Poller::Poll(Duration max_wait) {
  waiting_ = true;
  if (max_wait.count() <= 0) {
    // Without EVLOOP_ONCE the call would not return while events keep arriving, which would delay
    // everything that runs at the end of the loop iteration.
    event_base_loop(base_, EVLOOP_NONBLOCK | EVLOOP_ONCE);
    return;
  }
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(max_wait);
  const timeval timeout{seconds.count(), (max_wait - seconds).count()};
  evtimer_add(&timer_->event, &timeout);
  event_base_loop(base_, EVLOOP_ONCE);
}

}  // namespace pumicedyke::net
