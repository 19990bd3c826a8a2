// Logs messages of other processes that are not meant for this one: their sender has a wrong
// address, or is of a version that sends them elsewhere.
#pragma once

#include <cstdint>

#include "common/log.h"
#include "common/types.h"
#include "wire/messages.h"

namespace pumicedyke::server {

/// Used on the event loop's thread only.
class MisdirectedLog {
 public:
  void OnMessage(Timestamp now, const wire::Envelope& envelope);

 private:
  static constexpr uint32_t kLinesPerSecond = 5;

  LogLimiter limiter_{kLinesPerSecond};
};

}  // namespace pumicedyke::server
