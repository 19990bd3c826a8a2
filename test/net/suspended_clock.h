// A machine that was suspended, for tests: the program's own clock_gettime() stands in for the
// system's, and adds what passed meanwhile to the clocks that count it.
#pragma once

#include "common/types.h"

namespace pumicedyke::net {

/// While one lives, the machine has been suspended for `time`: the time of day and CLOCK_BOOTTIME
/// are ahead by it, the steady clock is not. One at a time.
class SuspendedFor {
 public:
  explicit SuspendedFor(Duration time);
  ~SuspendedFor();
  SuspendedFor(const SuspendedFor&) = delete;
  SuspendedFor& operator=(const SuspendedFor&) = delete;
};

}  // namespace pumicedyke::net
