// Structured logs: one JSON object a line. Ordinary events go to a ring in memory, which is
// written out to standard error when something goes wrong or on request; errors go out at once.
#pragma once

#include <string>

#include "common/json.h"

namespace pumicedyke {

/// Must be called once before the first event. @param process stands in every line.
void StartLog(const std::string& process);

/// Remembers an event in the ring only.
void LogEvent(const std::string& event, const Json& fields);
/// Writes the ring, then this event.
void LogError(const std::string& event, const Json& fields);
/// Writes the ring, for instance on a signal.
void DumpLog(const std::string& reason);

}  // namespace pumicedyke
