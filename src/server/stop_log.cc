#include "server/stop_log.h"

#include "common/log.h"

namespace pumicedyke::server {
namespace {

const char* PhaseName(StopPhase phase) {
  switch (phase) {
    case StopPhase::kServing:
      return "serving";
    case StopPhase::kNotListening:
      return "not_listening";
    case StopPhase::kClosingIdle:
      return "closing_idle";
    case StopPhase::kRefusing:
      return "refusing";
  }
  return "unknown";
}

}  // namespace

bool StopLog::TakeTurn(Timestamp now) {
  if (now - logged_at_ < kInterval) {
    return false;
  }
  logged_at_ = now;
  return true;
}

void StopLog::OnProgress(Timestamp now, const GracefulStop& stop,
                         const node::WorkInProgress& work) {
  if (TakeTurn(now)) {
    LogEvent("stop_progress", {{"phase", PhaseName(stop.phase())},
                               {"connections", stop.connections()},
                               {"requests", work.requests},
                               {"held_answers", work.held_answers},
                               {"ledger_requests", work.ledger_requests}});
  }
}

void StopLog::OnProgress(Timestamp now, const GracefulStop& stop,
                         const gateway::WorkInProgress& work) {
  if (!TakeTurn(now)) {
    return;
  }
  LogEvent("stop_progress", {{"phase", PhaseName(stop.phase())},
                             {"connections", stop.connections()},
                             {"running", work.running},
                             {"waiting", work.waiting},
                             {"shared", work.shared},
                             {"partials", work.partials},
                             {"not_started", work.not_started},
                             {"oldest", work.oldest},
                             {"oldest_ms", ToMilliseconds(work.oldest_age)}});
}

}  // namespace pumicedyke::server
