// Structured logs on standard output: one JSON object a line, one line for each decision that
// changes what the process believes or that ends a request. Never blocks: lines wait in a bounded
// buffer and are dropped, and counted, when the reader of standard output falls behind.
#pragma once

#include <cstdint>
#include <string>

#include "common/json.h"

namespace pumicedyke {

/// Must be called once before the first event. @param process stands in every line.
void StartLog(const std::string& process);

/// @param fields the inputs that decided, their age or version, and the outcome.
void LogEvent(const std::string& event, const Json& fields);
/// For faults of the process itself.
void LogError(const std::string& event, const Json& fields);

/// Writes what is buffered, as far as standard output takes it now. Called on every turn of the
/// event loop and before a process ends.
void FlushLog();

/// Lines dropped so far because standard output did not take them.
uint64_t DroppedLogLines();

/// Bounds how many lines of one kind are written in a second, and says how many were left out.
class LogLimiter {
 public:
  explicit LogLimiter(uint32_t lines_per_second) : limit_(lines_per_second) {}

  /// @param now_seconds whole seconds of any clock. @return whether one more line may be written.
  bool Allow(int64_t now_seconds);
  /// Lines left out since the last call.
  uint64_t TakeLeftOut();

 private:
  uint32_t limit_;
  int64_t second_ = -1;
  uint32_t written_ = 0;
  uint64_t left_out_ = 0;
};

}  // namespace pumicedyke
