// HTTP front over libmicrohttpd. Requests are handed to the event loop's thread whole; answers may
// come at any later time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "net/event_loop.h"

struct MHD_Daemon;

namespace pumicedyke::http {

struct HttpRequest {
  std::string method;
  std::string path;
  std::string body;
  std::string idempotency_key;
  std::string authorization;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Zero: no Retry-After header.
  Duration retry_after{};
};

struct HttpServerOptions {
  size_t max_body_bytes = 1 << 20;
  unsigned max_connections = 4000;
  /// Seconds after which a silent client is cut off.
  unsigned idle_seconds = 30;
};

/// Answers one request; the last copy going away unanswered answers with kInternal.
class Responder {
 public:
  explicit Responder(std::function<void(HttpResponse)> send) : send_(std::move(send)) {}
  void Send(HttpResponse response) { send_(std::move(response)); }

 private:
  std::function<void(HttpResponse)> send_;
};

class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, Responder)>;

  HttpServer(net::EventLoop* loop, HttpServerOptions options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @param address IPv4 number and port; port 0 takes one from the OS.
  absl::Status Listen(const std::string& address);
  uint16_t port() const { return port_; }

  /// From now on answers tell clients to close their connections.
  void StartDraining();
  /// Takes no new connections any more.
  void StopListening();
  /// Requests that were received, even in part, and are not answered yet.
  size_t in_flight() const;
  unsigned connections() const;

  struct Shared;

 private:
  net::EventLoop* loop_;
  std::shared_ptr<Shared> shared_;
  MHD_Daemon* daemon_ = nullptr;
  uint16_t port_ = 0;
  int quiesced_socket_ = -1;
};

/// Splits "IP:port". @return false if it is not that.
bool SplitAddress(const std::string& address, std::string* host, uint16_t* port);

}  // namespace pumicedyke::http
