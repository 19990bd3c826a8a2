// Pauses a process in its planned stop while a caller's request arrives on a connection that was
// open before.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/types.h"
#include "e2e/fleet.h"

namespace pumicedyke::e2e {

struct PausedStop {
  Process* process = nullptr;
  /// Address of the process that serves the request.
  std::string address;
  /// An HTTP request that is answered before the stop.
  std::string first;
  /// The one that is sent while the process is paused.
  std::string request;
  /// When the process is paused, after the signal to stop.
  Duration moment{};
  Duration pause = Milliseconds(200);
  /// Whether the second half of the request is sent only after the pause.
  bool in_pieces = false;
};

enum class PausedStopOutcome {
  kAnswered,
  /// The process had closed the connection before the request was sent.
  kClosedBefore,
  /// The connection ended without an answer.
  kLost,
};

/// Stops the processes, all at the same time, and waits for their ends. Fails the test if one is
/// not a clean exit. @return the number of each outcome.
std::map<PausedStopOutcome, int> StopWithPauses(const std::vector<PausedStop>& stops);

}  // namespace pumicedyke::e2e
