// Test back end: serves a LeafModel over HTTP. Not part of the product.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "emulator/leaf_model.h"
#include "http/http_server.h"
#include "net/event_loop.h"
#include "server/graceful_stop.h"

namespace pumicedyke::server {

class LeafProcess {
 public:
  LeafProcess(emulator::LeafModelOptions options, net::EventLoop* loop);
  absl::Status Start(const std::string& listen, const std::string& port_file);
  void Run();
  void Stop();

 private:
  /// Long enough for nodes to poll the health report that says "draining".
  static constexpr Duration kStopGrace = Milliseconds(1500);

  void OnHttp(const http::HttpRequest& request, http::Responder responder);
  void OnSearch(const http::HttpRequest& request, http::Responder responder);
  void OnAdmin(const http::HttpRequest& request, http::Responder responder);
  Timestamp Tick(Timestamp now);
  std::string RunsText() const;

  emulator::LeafModel model_;
  net::EventLoop* loop_;
  std::unique_ptr<http::HttpServer> http_;
  std::map<std::pair<std::string, SubRequestId>, http::Responder> waiting_;
  GracefulStop stop_{StopTimes{.grace = kStopGrace}};
};

}  // namespace pumicedyke::server
