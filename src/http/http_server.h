// HTTP/1.1 server on the event loop. A request is handed over whole; its answer may come at any
// later time. A client that leaves before its answer is noticed at once.
#pragma once

#include <ace/Event_Handler.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "http/message.h"
#include "http/message_parser.h"
#include "net/event_loop.h"

namespace pumicedyke::http {

struct HttpRequest {
  std::string method;
  /// The target up to its query.
  std::string path;
  std::string body;
  std::string idempotency_key;
  std::string authorization;
  /// As it came: path and query, not decoded.
  std::string target;
  Headers headers;
  /// To the client and back, as measured when its connection was made; zero: not known.
  Duration round_trip{};
};

struct HttpResponse {
  int status = 200;
  std::string body;
  /// Empty: no Content-Type header.
  std::string content_type = "application/json";
  /// Zero: no Retry-After header. Rounded up to whole seconds.
  Duration retry_after{};
  /// Further headers, as they stand.
  Headers headers = {};
  /// Empty: the usual phrase of the status.
  std::string reason = {};
};

struct HttpServerOptions {
  size_t max_body_bytes = 1 << 20;
  size_t max_header_bytes = 64 * 1024;
  unsigned max_connections = 4000;
  /// Seconds after which a silent client is cut off.
  unsigned idle_seconds = 30;
  /// Longest time from the first byte of a request to its last.
  Duration request_timeout = Seconds(30);
};

/// Answers one request. Only the first answer counts. A request whose last responder goes away
/// unanswered is never answered, so whoever takes one answers it.
class Responder {
 public:
  using SendCb = std::function<void(HttpResponse)>;
  using WatchCb = std::function<void(std::function<void()>)>;

  explicit Responder(SendCb send, WatchCb watch = {})
      : send_(std::move(send)), watch_(std::move(watch)) {}
  void Send(HttpResponse response) { send_(std::move(response)); }
  /// `on_gone` is called once if the client leaves before its answer was sent.
  void WatchClient(std::function<void()> on_gone) {
    if (watch_) {
      watch_(std::move(on_gone));
    }
  }

 private:
  SendCb send_;
  WatchCb watch_;
};

class HttpServer : public ACE_Event_Handler {
 public:
  using Handler = std::function<void(HttpRequest, Responder)>;

  HttpServer(net::EventLoop* loop, HttpServerOptions options, Handler handler);
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @param address IPv4 number and port; port 0 takes one from the OS.
  absl::Status Listen(const std::string& address);
  uint16_t port() const { return port_; }

  /// Holds for connections and requests that come from now on.
  void SetOptions(const HttpServerOptions& options) { options_ = options; }
  /// From now on answers tell clients to close their connections.
  void StartDraining() { draining_ = true; }
  /// Takes no new connections any more.
  void StopListening();
  /// Requests that were received, even in part, and are not answered yet.
  size_t in_flight() const;
  unsigned connections() const { return static_cast<unsigned>(connections_.size()); }

  int handle_input(ACE_HANDLE handle) override;
  ACE_HANDLE get_handle() const override { return listener_; }

 private:
  class Connection;
  friend class Connection;
  void Remove(uint64_t id);

  net::EventLoop* loop_;
  HttpServerOptions options_;
  Handler handler_;
  ACE_HANDLE listener_ = ACE_INVALID_HANDLE;
  uint16_t port_ = 0;
  bool draining_ = false;
  uint64_t next_connection_ = 1;
  std::map<uint64_t, std::shared_ptr<Connection>> connections_;
};

/// Splits "IP:port". @return false if it is not that.
bool SplitAddress(const std::string& address, std::string* host, uint16_t* port);

}  // namespace pumicedyke::http
