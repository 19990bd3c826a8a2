// Waits for sockets to become ready and calls their handlers, many a turn: libevent's core over
// epoll. Stands in for ACE's reactors, of which the one without a limit on handles takes two system
// calls for every event (docs/HOUSE_STYLE.md). All calls and callbacks happen on one thread.
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
  /// @param on_ready called after each wait that found something ready, before its handlers.
  explicit Poller(std::function<void()> on_ready);
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  /// Watches `handler->get_handle()` until Remove(). @param mask READ_MASK or ACCEPT_MASK calls
  /// handle_input, WRITE_MASK handle_output; what the handler returns is ignored. Replaces the mask
  /// of a handler that is watched already. @return false if the system refuses.
  bool Watch(ACE_Event_Handler* handler, ACE_Reactor_Mask mask);
  /// Must be called before the handle is closed or the handler goes away; also from a callback.
  void Remove(ACE_Event_Handler* handler);

  /// Waits for at most `longest_wait`, then calls the handlers of everything that is ready.
  void Poll(Duration longest_wait);

 private:
  struct Watched;

  std::function<void()> on_ready_;
  /// Nothing was called since the last wait began.
  bool waiting_ = false;
  event_base* base_;
  /// Ends a wait.
  std::unique_ptr<Watched> timer_;
  std::unordered_map<ACE_Event_Handler*, std::unique_ptr<Watched>> watched_;
};

}  // namespace pumicedyke::net
