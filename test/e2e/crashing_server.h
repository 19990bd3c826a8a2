// An HTTP server on loopback that crashes at chosen requests and restarts at the same address, as a
// new incarnation: what back ends look like that a fatal request ends.
#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

#include "http/http_server.h"
#include "net/event_loop.h"

namespace pumicedyke::e2e {

class CrashingServer {
 public:
  /// Returns the response to a request; none: the server crashes. Called on the server's thread.
  using HandleCb =
      std::function<std::optional<http::HttpResponse>(const http::HttpRequest& request)>;

  explicit CrashingServer(HandleCb handle);
  ~CrashingServer();
  CrashingServer(const CrashingServer&) = delete;
  CrashingServer& operator=(const CrashingServer&) = delete;

  const std::string& address() const { return address_; }
  /// Number of requests that crashed the server. Thread-safe.
  int crashes() const { return crashes_; }
  /// Number of the current incarnation, counted from 1. Thread-safe.
  int incarnation() const { return incarnation_; }

 private:
  void Serve();
  /// Runs one incarnation until it crashes or is stopped.
  void RunIncarnation();
  void OnRequest(const http::HttpRequest& request, http::Responder responder);

  const HandleCb handle_;
  const std::string address_;
  std::atomic<int> crashes_{0};
  std::atomic<bool> stop_{false};
  std::atomic<int> incarnation_{0};
  /// Event loop of the current incarnation; used only on the server's thread.
  net::EventLoop* loop_ = nullptr;
  std::thread thread_;
};

}  // namespace pumicedyke::e2e
