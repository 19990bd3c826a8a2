// Structured logs on standard output: one JSON object per line, one line for each decision that
// changes the state of the process or ends a request. Never blocks: lines are kept in a bounded
// buffer, and are dropped and counted when the reader of standard output falls behind.
#pragma once

#include <cstdint>
#include <string>

#include "common/json.h"

namespace pumicedyke {

/// Must be called once before the first event. @param process name of the process, part of every
/// line.
void StartLog(const std::string& process);

/// Logs a decision. @param fields the inputs of the decision, their age or version, and the
/// outcome.
void LogEvent(const std::string& event, const Json& fields);
/// Logs a fault of the process itself.
void LogError(const std::string& event, const Json& fields);

/// Writes the buffered lines as far as standard output accepts them without blocking. Called in
/// every iteration of the event loop and before a process exits.
void FlushLog();

/// Number of lines dropped so far because the buffer was full.
uint64_t DroppedLogLines();

/// Limits the lines of one kind that are written in a second, and counts the suppressed ones.
class LogLimiter {
 public:
  explicit LogLimiter(uint32_t lines_per_second) : limit_(lines_per_second) {}

  /// @param now_seconds whole seconds of any clock. @return whether one more line may be written.
  bool Allow(int64_t now_seconds);
  /// Returns the number of lines suppressed since the last call, and resets it.
  uint64_t TakeSuppressed();

 private:
  uint32_t limit_;
  int64_t second_ = -1;
  uint32_t written_ = 0;
  uint64_t suppressed_ = 0;
};

}  // namespace pumicedyke
