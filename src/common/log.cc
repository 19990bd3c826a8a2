#include "common/log.h"

#include <memory>

#include "spdlog/sinks/stdout_sinks.h"
#include "spdlog/spdlog.h"

namespace pumicedyke {
namespace {

constexpr size_t kRingEvents = 512;

std::string Line(const std::string& event, Json fields) {
  fields["event"] = event;
  return fields.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

void StartLog(const std::string& process) {
  auto logger =
      std::make_shared<spdlog::logger>(process, std::make_shared<spdlog::sinks::stderr_sink_mt>());
  logger->set_pattern(
      R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","process":"%n","pid":%P,"level":"%l","log":%v})",
      spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::warn);
  logger->enable_backtrace(kRingEvents);
  spdlog::set_default_logger(logger);
}

void LogEvent(const std::string& event, const Json& fields) {
  spdlog::default_logger()->info(Line(event, fields));
}

void LogError(const std::string& event, const Json& fields) {
  DumpLog(event);
  spdlog::default_logger()->error(Line(event, fields));
  spdlog::default_logger()->flush();
}

void DumpLog(const std::string& reason) {
  spdlog::default_logger()->warn(Line("log_ring", {{"reason", reason}}));
  spdlog::default_logger()->dump_backtrace();
  spdlog::default_logger()->flush();
}

}  // namespace pumicedyke
