#include "server/refused_call_log.h"

#include <string>

#include "common/result_code.h"

namespace pumicedyke::server {
namespace {

constexpr Duration kSecond = Seconds(1);
constexpr size_t kMaxPathBytes = 128;

}  // namespace

void RefusedCallLog::OnRefusedCall(Timestamp now, const char* listener,
                                   const http::HttpRequest& request, const absl::Status& why) {
  if (!limiter_.Allow(now.time_since_epoch() / kSecond)) {
    return;
  }
  LogEvent("call_refused", {{"listener", listener},
                            {"method", request.method},
                            {"path", request.path.substr(0, kMaxPathBytes)},
                            {"bytes", request.body.size()},
                            {"code", static_cast<int>(CodeOf(why))},
                            {"why", std::string(why.message())},
                            {"suppressed", limiter_.TakeSuppressed()}});
}

}  // namespace pumicedyke::server
