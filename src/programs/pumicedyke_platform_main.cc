// Test server of the platform's list of live and leaving machines. Not part of the product.
#include <gflags/gflags.h>

#include <set>
#include <string>

#include "common/json.h"
#include "common/log.h"
#include "common/result_code.h"
#include "http/http_server.h"
#include "net/event_loop.h"
#include "server/process.h"

DEFINE_string(listen, "127.0.0.1:0", "IP:port");
DEFINE_string(port_file, "", "file to write the port to");

int main(int argc, char** argv) {
  using namespace pumicedyke;  // NOLINT
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  StartLog("pumicedyke-platform");
  net::EventLoop loop;
  Json machines{{"live", Json::array()}, {"leaving", Json::array()}};
  http::HttpServer http(
      &loop, {}, [&](const http::HttpRequest& request, http::Responder responder) {
        const bool replaces = request.path == "/v1/machines" && request.method == "POST";
        if (replaces) {
          const Json json = ParseJson(request.body);
          if (!json.is_object() || !json.contains("leaving") || !json["leaving"].is_array()) {
            responder.Send(server::ErrorResponse(ResultCode::kMalformedRequest,
                                                 "field 'leaving' must be a list of names"));
            return;
          }
          machines = json;
        } else if (request.path != "/v1/machines") {
          responder.Send(server::ErrorResponse(ResultCode::kUnknownPath, request.path));
          return;
        }
        responder.Send({200, machines.dump()});
      });
  if (absl::Status status = http.Listen(FLAGS_listen); !status.ok()) {
    return server::ReportFailure("pumicedyke-platform", status);
  }
  if (absl::Status status =
          server::WritePortFile(FLAGS_port_file, "http " + std::to_string(http.port()) + "\n");
      !status.ok()) {
    return server::ReportFailure("pumicedyke-platform", status);
  }
  server::InstallSignals(&loop, [&loop] { loop.Stop(); });
  loop.Run([](Timestamp now) { return now + Milliseconds(100); });
  return 0;
}
