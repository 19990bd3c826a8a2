// Logs that connections had to give up the bytes they held, because all connections of the process
// held too many together.
#pragma once

#include <cstdint>

#include "common/types.h"
#include "net/byte_budget.h"

namespace pumicedyke::server {

/// Used on the event loop's thread only.
class HeldBytesLog {
 public:
  /// Writes at most one line a second.
  void OnState(Timestamp now, const net::ByteBudget& budget);

 private:
  uint64_t logged_revocations_ = 0;
  Timestamp next_line_{};
};

}  // namespace pumicedyke::server
