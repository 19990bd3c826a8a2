// Waits for sockets to become ready and calls their handlers, many per wait, using libevent over
// epoll. Replaces ACE's reactors: the only one without a limit on handles makes two system calls
// per event (docs/HOUSE_STYLE.md). All calls and callbacks are made on one thread.
#pragma once

#include <ace/Event_Handler.h>

#include <functional>
#include <memory>
#include <unordered_map>

#include "common/types.h"

struct event_base;

namespace pumicedyke::net {

constexpr ACE_Reactor_Mask kReadOnly = ACE_Event_Handler::READ_MASK;
constexpr ACE_Reactor_Mask kReadAndWrite =
    ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK;

class Poller {
 public:
  /// @param on_ready called after each wait that found a ready handler, before calling handlers.
  explicit Poller(std::function<void()> on_ready);
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  /// Watches `handler->get_handle()` until Remove(). Replaces the mask of a handler that is already
  /// watched. @param mask READ_MASK or ACCEPT_MASK to call handle_input, WRITE_MASK to call
  /// handle_output; their return values are ignored. @return false if the system call fails.
  bool Watch(ACE_Event_Handler* handler, ACE_Reactor_Mask mask);
  /// Must be called before the handle is closed or the handler is destroyed. May be called from a
  /// callback.
  void Remove(ACE_Event_Handler* handler);

  /// Waits for at most `max_wait`, then calls the handlers of all ready sockets.
  void Poll(Duration max_wait);

 private:
  struct Watched;

  std::function<void()> on_ready_;
  /// No handler was called since the last wait began.
  bool waiting_ = false;
  event_base* base_;
  /// Timer event that ends a wait.
  std::unique_ptr<Watched> timer_;
  std::unordered_map<ACE_Event_Handler*, std::unique_ptr<Watched>> watched_;
};

}  // namespace pumicedyke::net
