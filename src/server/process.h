// Functions shared by all processes: flags, settings, signals, exit codes.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "common/region_map.h"
#include "common/result_code.h"
#include "common/settings.h"
#include "http/http_server.h"
#include "net/event_loop.h"
#include "server/stop_sequence.h"

namespace pumicedyke::server {

/// Exit codes of every program; docs/OPERATIONS.md lists them.
enum class ExitCode : int {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kBadSettings = 3,
  kUnavailable = 4,
  kRefused = 5,
};

/// @return `flag`, or the path in the environment variable PUMICEDYKE_CONFIG, or an empty path.
std::string SettingsPath(const std::string& flag);

/// Reads the frame addresses of the control machines. `control` lists them; `seeds` lists control
/// machines by addresses with any port, and their frame port is `internal_port`.
std::vector<std::string> ReadControlAddresses(Settings* settings);

/// Reads `regions`: "zone=region" of every zone.
RegionMap ReadRegions(Settings* settings);

/// Reads `drain_grace_ms` and `kill_after_ms`.
/// @param grace the default of the former.
StopTimes ReadStopTimes(Settings* settings, Duration grace);

/// Prints a status to standard error. @return the matching exit code.
int ReportFailure(const std::string& process, const absl::Status& status);

/// Calls `stop` on the first SIGTERM or SIGINT; the second one ends the process.
void InstallSignals(net::EventLoop* loop, std::function<void()> stop);

/// Writes the "name port" lines that test fleets read, replacing the file atomically. Does nothing
/// if `path` is empty.
absl::Status WritePortFile(const std::string& path, const std::string& text);

/// Builds the error response sent to callers and operators.
http::HttpResponse ErrorResponse(ResultCode code, const std::string& message);

/// Responds with an error and returns false unless the request carries "Bearer <token>". Any
/// request is authorized if `token` is empty.
bool Authorized(const std::string& token, const http::HttpRequest& request,
                http::Responder* responder);

/// Reads a token file, which is required unless `address` is on loopback.
absl::StatusOr<std::string> ReadOperatorToken(const std::string& path, const std::string& address);

}  // namespace pumicedyke::server
