// What every process does alike: flags, settings, logs, signals, exit codes.
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

/// @return `flag`, or else the path in the environment variable PUMICEDYKE_CONFIG, or nothing.
std::string SettingsPath(const std::string& flag);

/// Reads where the control machines listen for frames: `control` lists addresses; `seeds` lists any
/// addresses of control machines, whose frame port is `internal_port`.
std::vector<std::string> ReadControlAddresses(Settings* settings);

/// Reads `regions`: "zone=region" of every zone.
RegionMap ReadRegions(Settings* settings);

/// Prints a status to standard error. @return the exit code that fits.
int ReportFailure(const std::string& process, const absl::Status& status);

/// SIGTERM and SIGINT call `stop`, a second one ends the process.
void InstallSignals(net::EventLoop* loop, std::function<void()> stop);

/// Writes "name port" lines that test fleets read, replacing the file at once; no path, no file.
absl::Status WritePortFile(const std::string& path, const std::string& text);

/// An error as callers and operators see it.
http::HttpResponse ErrorResponse(ResultCode code, const std::string& message);

/// @return false, and answers, unless the request carries "Bearer <token>"; an empty token asks
/// for none.
bool Authorized(const std::string& token, const http::HttpRequest& request,
                http::Responder* responder);

/// Reads a token file; it is needed unless `address` is on loopback.
absl::StatusOr<std::string> ReadOperatorToken(const std::string& path, const std::string& address);

}  // namespace pumicedyke::server
