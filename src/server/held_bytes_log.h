// Logs that connections had to give up the bytes they held, because all connections of the process
// held too many together, and that requests wait for room or are refused for lack of it.
#pragma once

#include <cstdint>

#include "common/types.h"
#include "net/request_room.h"

namespace pumicedyke::server {

/// Used on the event loop's thread only.
class HeldBytesLog {
 public:
  /// Writes at most one line of each kind a second.
  void OnState(Timestamp now, const net::RequestRoom& room);

 private:
  void OnBudget(Timestamp now, const net::ByteBudget& budget);
  void OnRoom(Timestamp now, const net::RequestRoom& room);

  uint64_t logged_revocations_ = 0;
  Timestamp next_line_{};
  uint64_t logged_refused_ = 0;
  bool logged_waiting_ = false;
  Timestamp next_room_line_{};
};

}  // namespace pumicedyke::server
