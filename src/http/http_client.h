// HTTP client over libcurl's multi interface, driven by the event loop's reactor.
#pragma once

#include <curl/curl.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/types.h"
#include "net/event_loop.h"

namespace pumicedyke::http {

struct ClientRequest {
  /// IP number and port.
  std::string address;
  std::string path;
  /// Empty: GET; else POST.
  std::string body;
  Duration timeout = Seconds(5);
  std::string idempotency_key;
  std::string authorization;
  /// Work that must not run twice: sent on a fresh connection, because libcurl silently sends a
  /// POST again when a reused connection closes before the reply.
  bool unrepeatable = false;
};

struct ClientResponse {
  /// Zero if there was no whole response.
  int status = 0;
  std::string body;
  Duration retry_after{};
  /// Set if not one byte of the request can have reached the peer.
  bool not_sent = false;
  std::string error;
  bool ok() const { return status != 0; }
};

class HttpClient {
 public:
  using DoneCb = std::function<void(ClientResponse)>;
  using CallId = uint64_t;

  /// @param max_connections_per_host bounds the pool of warm connections per address.
  HttpClient(net::EventLoop* loop, long max_connections_per_host);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// `done` is called once on the loop's thread, unless the call is cancelled before.
  CallId Start(const ClientRequest& request, DoneCb done);
  /// Ends the call and closes its connection: a reply that comes late must meet no other request.
  void Cancel(CallId id);
  size_t in_flight() const { return calls_.size(); }

 private:
  struct Call;
  class SocketHandler;
  class TimerHandler;

  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* self, void* handler);
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);
  void SetSocket(curl_socket_t socket, int what, SocketHandler* handler);
  void Act(curl_socket_t socket, int events);
  void ReapFinished();
  CURL* TakeHandle();
  void ReturnHandle(CURL* easy);

  net::EventLoop* loop_;
  CURLM* multi_;
  std::unique_ptr<TimerHandler> timer_;
  std::map<curl_socket_t, std::unique_ptr<SocketHandler>> sockets_;
  std::map<CallId, std::unique_ptr<Call>> calls_;
  std::vector<CURL*> idle_handles_;
  CallId next_id_ = 1;
};

/// One blocking exchange, for command line tools.
ClientResponse FetchBlocking(const ClientRequest& request);

}  // namespace pumicedyke::http
