#include "common/log.h"

#include <unistd.h>

#include <cstdlib>
#include <memory>

#include "common/nonblocking_sink.h"
#include "spdlog/spdlog.h"

namespace pumicedyke {
namespace {

/// Maximum bytes buffered for the reader of standard output.
constexpr size_t kMaxBufferedBytes = 256 * 1024;

std::shared_ptr<NonblockingSink>& Sink() {
  static auto* const sink =
      new auto(std::make_shared<NonblockingSink>(STDOUT_FILENO, kMaxBufferedBytes));
  return *sink;
}

std::string Line(const std::string& event, Json fields) {
  fields["event"] = event;
  return fields.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

void StartLog(const std::string& process) {
  auto logger = std::make_shared<spdlog::logger>(process, Sink());
  logger->set_pattern(
      R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","process":"%n","pid":%P,"level":"%l","log":%v})",
      spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::info);
  spdlog::set_default_logger(logger);
  std::atexit(&FlushLog);
}

void LogEvent(const std::string& event, const Json& fields) {
  spdlog::default_logger_raw()->info(Line(event, fields));
}

void LogError(const std::string& event, const Json& fields) {
  spdlog::default_logger_raw()->error(Line(event, fields));
  spdlog::default_logger_raw()->flush();
}

void FlushLog() { Sink()->Drain(); }

uint64_t DroppedLogLines() { return Sink()->dropped(); }

bool LogLimiter::Allow(int64_t now_seconds) {
  if (now_seconds != second_) {
    second_ = now_seconds;
    written_ = 0;
  }
  if (written_ >= limit_) {
    ++suppressed_;
    return false;
  }
  ++written_;
  return true;
}

uint64_t LogLimiter::TakeSuppressed() {
  const uint64_t suppressed = suppressed_;
  suppressed_ = 0;
  return suppressed;
}

}  // namespace pumicedyke
