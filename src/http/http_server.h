// HTTP/1.1 server on the event loop. Passes complete requests to a handler, which may respond at
// any later time. Detects at once when a client disconnects before the response, unless the client
// has sent much more meanwhile, which is then left with the operating system.
#pragma once

#include <ace/Event_Handler.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

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
  /// Path and query as received, not decoded.
  std::string target;
  Headers headers;
  /// Round-trip time to the client, measured at the first request of its connection. Zero: not
  /// known.
  Duration round_trip{};
  /// The earliest time at which its head may have begun to arrive.
  Timestamp arrived{};
};

struct HttpResponse {
  int status = 200;
  std::string body;
  /// Empty: no Content-Type header.
  std::string content_type = "application/json";
  /// Zero: no Retry-After header. Rounded up to whole seconds.
  Duration retry_after{};
  /// Additional headers, sent unchanged.
  Headers headers = {};
  /// Empty: the standard reason phrase of the status.
  std::string reason = {};
};

struct HttpServerOptions {
  size_t max_body_bytes = 1 << 20;
  size_t max_header_bytes = 64 * 1024;
  unsigned max_connections = 4000;
  /// Seconds after which an idle connection is closed.
  unsigned idle_seconds = 30;
  /// Maximum time from the first byte of a request to its last. A request that waits for room waits
  /// no longer than this, and has as long again to arrive.
  Duration request_timeout = Seconds(10);
  /// Name of the header that states how many milliseconds the client waits: a request is not kept
  /// waiting for room longer. Empty: no such header.
  std::string deadline_header = {};
};

/// Sends the response to one request. Only the first response counts. A request whose last
/// responder is destroyed without a response is never answered, so its holder must send one.
class Responder {
 public:
  using SendCb = std::function<void(HttpResponse)>;
  using WatchCb = std::function<void(std::function<void()>)>;

  explicit Responder(SendCb send, WatchCb watch = {})
      : send_(std::move(send)), watch_(std::move(watch)) {}
  void Send(HttpResponse response) { send_(std::move(response)); }
  /// Calls `on_disconnect` once if the client disconnects before the response is sent.
  void WatchClient(std::function<void()> on_disconnect) {
    if (watch_) {
      watch_(std::move(on_disconnect));
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

  /// @param address IPv4 address and port. Port 0: the operating system chooses one.
  absl::Status Listen(const std::string& address);
  uint16_t port() const { return port_; }

  /// Applies to requests whose head begins from now on, also on open connections. A connection that
  /// is idle may stay so for the longer of the limits before and after.
  void SetOptions(const HttpServerOptions& options) { options_ = options; }
  /// From now on, each response closes its connection.
  void StartDraining() { draining_ = true; }
  /// Stops accepting connections. Those that clients have already opened are accepted first.
  void StopListening();
  /// Closes the connections without a request. One on which bytes have arrived stays open, also if
  /// they were not read yet.
  void CloseIdleConnections();
  /// Refuses the requests of which only a part has been read.
  void RefuseUnfinishedRequests();
  unsigned connections() const { return static_cast<unsigned>(connections_.size()); }

  int handle_input(ACE_HANDLE handle) override;
  ACE_HANDLE get_handle() const override { return listener_; }

 private:
  class Connection;
  friend class Connection;
  /// Accepts one connection. @return false if none waits.
  bool Accept();
  void Remove(uint64_t id);
  /// Returns the open connections, since handling one may remove it.
  std::vector<std::shared_ptr<Connection>> Connections() const;

  net::EventLoop* loop_;
  HttpServerOptions options_;
  Handler handler_;
  ACE_HANDLE listener_ = ACE_INVALID_HANDLE;
  uint16_t port_ = 0;
  bool draining_ = false;
  uint64_t next_connection_ = 1;
  std::map<uint64_t, std::shared_ptr<Connection>> connections_;
};

/// Splits "IP:port". @return false if the text does not have this form.
bool SplitAddress(const std::string& address, std::string* host, uint16_t* port);

}  // namespace pumicedyke::http
