#include "net/suspended_clock.h"

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <atomic>

namespace pumicedyke::net {
namespace {

std::atomic<int64_t> suspended_nanoseconds{0};

}  // namespace

SuspendedFor::SuspendedFor(Duration time) {
  suspended_nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(time).count();
}

SuspendedFor::~SuspendedFor() { suspended_nanoseconds = 0; }

}  // namespace pumicedyke::net

/// Replaces the C library's function in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const int result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
  const bool counts = clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME;
  if (result == 0 && counts) {
    constexpr int64_t kNanosecondsPerSecond = 1000000000;
    const int64_t nanoseconds = time->tv_nsec + pumicedyke::net::suspended_nanoseconds;
    time->tv_sec += nanoseconds / kNanosecondsPerSecond;
    time->tv_nsec = nanoseconds % kNanosecondsPerSecond;
  }
  return result;
}
