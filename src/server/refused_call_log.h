// Logs calls that a listen address refuses: nothing there answers their path, or they cannot be
// read.
#pragma once

#include <cstdint>

#include "absl/status/status.h"
#include "common/log.h"
#include "common/types.h"
#include "http/http_server.h"

namespace pumicedyke::server {

/// Used on the event loop's thread only.
class RefusedCallLog {
 public:
  /// @param listener the setting that names the address at which the call arrived.
  void OnRefusedCall(Timestamp now, const char* listener, const http::HttpRequest& request,
                     const absl::Status& why);

 private:
  static constexpr uint32_t kLinesPerSecond = 20;

  LogLimiter limiter_{kLinesPerSecond};
};

}  // namespace pumicedyke::server
