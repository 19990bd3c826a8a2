#include "server/process.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "common/json.h"
#include "common/log.h"
#include "common/result_code.h"
#include "common/text_file.h"

namespace pumicedyke::server {

std::string SettingsPath(const std::string& flag) {
  const char* path = std::getenv("PUMICEDYKE_CONFIG");
  return !flag.empty() || path == nullptr ? flag : std::string(path);
}

std::vector<std::string> ReadControlAddresses(Settings* settings) {
  constexpr int64_t kDefaultPort = 7100;
  constexpr int64_t kMaxPort = 65535;
  std::vector<std::string> addresses = settings->AddressList("control");
  const std::vector<std::string> seeds = settings->AddressList("seeds");
  const int64_t port = settings->Integer("internal_port", kDefaultPort, 1, kMaxPort);
  for (const std::string& seed : seeds) {
    addresses.push_back(seed.substr(0, seed.rfind(':')) + ":" + std::to_string(port));
  }
  return addresses;
}

StopTimes ReadStopTimes(Settings* settings, Duration grace) {
  constexpr int64_t kMaxMilliseconds = 3600 * 1000;
  const auto default_grace = static_cast<int64_t>(ToMilliseconds(grace));
  StopTimes times;
  times.grace =
      Milliseconds(settings->Integer("drain_grace_ms", default_grace, 0, kMaxMilliseconds));
  times.kill_after = Milliseconds(settings->Integer("kill_after_ms", 0, 0, kMaxMilliseconds));
  return times;
}

RegionMap ReadRegions(Settings* settings) {
  std::map<std::string, std::string> region_of;
  for (const std::string& entry : settings->List("regions")) {
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(entry, absl::MaxSplits('=', 1));
    if (parts.first.empty() || parts.second.empty()) {
      settings->AddError("regions", "must list entries like \"zone=region\"");
    }
    region_of[parts.first] = parts.second;
  }
  return RegionMap(std::move(region_of));
}

int ReportFailure(const std::string& process, const absl::Status& status) {
  const ResultCode code = CodeOf(status);
  std::cerr << process << ": " << InfoOf(code).name << " (" << static_cast<int>(code) << "):\n"
            << status.message() << "\n";
  return static_cast<int>(code == ResultCode::kInvalidConfig ? ExitCode::kBadSettings
                                                             : ExitCode::kFailed);
}

void InstallSignals(net::EventLoop* loop, std::function<void()> stop) {
  auto stop_requested = std::make_shared<bool>(false);
  auto on_stop = [stop_requested, stop = std::move(stop)] {
    if (*stop_requested) {
      LogError("stopped_twice",
               {{"what", "received a second signal before the planned stop completed"}});
      std::_Exit(static_cast<int>(ExitCode::kFailed));
    }
    *stop_requested = true;
    stop();
  };
  loop->OnSignal(SIGTERM, on_stop);
  loop->OnSignal(SIGINT, on_stop);
}

absl::Status WritePortFile(const std::string& path, const std::string& text) {
  if (path.empty()) {
    return absl::OkStatus();
  }
  const std::string temporary = path + ".new";
  std::ofstream(temporary) << text;
  if (std::rename(temporary.c_str(), path.c_str()) != 0) {
    return MakeStatus(ResultCode::kInvalidConfig, "field 'port_file': cannot write " + path);
  }
  return absl::OkStatus();
}

http::HttpResponse ErrorResponse(ResultCode code, const std::string& message) {
  const ResultCodeInfo& info = InfoOf(code);
  const Json body{{"code", static_cast<int>(code)},
                  {"result", info.name},
                  {"run", "not_run"},
                  {"message", message}};
  return {info.http_status, body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

bool Authorized(const std::string& token, const http::HttpRequest& request,
                http::Responder* responder) {
  if (token.empty() || request.authorization == "Bearer " + token) {
    return true;
  }
  responder->Send(
      ErrorResponse(ResultCode::kUnauthorized, "the operator token is missing or wrong"));
  return false;
}

absl::StatusOr<std::string> ReadOperatorToken(const std::string& path, const std::string& address) {
  if (path.empty()) {
    if (absl::StartsWith(address, "127.")) {
      return std::string();
    }
    return MakeStatus(ResultCode::kInvalidConfig,
                      "must name a file unless operators connect over loopback");
  }
  const absl::StatusOr<std::string> content = ReadTextFile(path, kMaxSettingsBytes);
  if (!content.ok()) {
    return content.status();
  }
  std::string token(absl::StripAsciiWhitespace(*content));
  if (token.empty()) {
    return MakeStatus(ResultCode::kInvalidConfig, "contains no readable token: " + path);
  }
  return token;
}

}  // namespace pumicedyke::server
