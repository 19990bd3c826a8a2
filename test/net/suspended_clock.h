// Simulates a suspended machine in tests: the test program's own clock_gettime() replaces the
// system's and adds the time of the suspension to the clocks that count it.
#pragma once

#include "common/types.h"

namespace pumicedyke::net {

/// While an instance exists, the machine appears to have been suspended for `time`: the time of day
/// and CLOCK_BOOTTIME are ahead by it, the steady clock is not. Only one instance may exist.
class SuspendedFor {
 public:
  explicit SuspendedFor(Duration time);
  ~SuspendedFor();
  SuspendedFor(const SuspendedFor&) = delete;
  SuspendedFor& operator=(const SuspendedFor&) = delete;
};

}  // namespace pumicedyke::net
