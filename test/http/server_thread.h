// An HTTP server on a thread of its own, for tests.
#pragma once

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "e2e/fleet.h"
#include "http/http_server.h"
#include "net/event_loop.h"

namespace pumicedyke::http {

/// A server on a thread of its own.
class ServerThread {
 public:
  /// @param held_bytes what all connections may hold together.
  /// @param on_tick called on the server's thread once an iteration of its loop.
  ServerThread(
      size_t held_bytes, const HttpServer::Handler& handler,
      const std::function<void()>& on_tick = [] {}, const HttpServerOptions& options = {}) {
    thread_ = std::thread([this, held_bytes, handler, on_tick, options] {
      net::EventLoop loop;
      loop.byte_budget()->SetLimit(held_bytes);
      HttpServer server(&loop, options, handler);
      CPPUNIT_ASSERT(server.Listen("127.0.0.1:0").ok());
      port_ = server.port();
      loop.Run([this, &loop, &server, &on_tick](Timestamp now) {
        held_ = loop.byte_budget()->held();
        most_held_ = std::max<size_t>(most_held_, held_);
        ApplyOptions(&server);
        on_tick();
        if (stop_) {
          loop.Stop();
        }
        return now + Milliseconds(5);
      });
    });
    e2e::WaitFor("the server to listen", [this] { return port_ != 0; });
  }
  ~ServerThread() {
    stop_ = true;
    thread_.join();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  /// Changes the server's options, and waits until they are in force.
  void SetOptions(const HttpServerOptions& options) {
    {
      const std::lock_guard lock(mutex_);
      new_options_ = options;
    }
    e2e::WaitFor("the options to be in force", [this] {
      const std::lock_guard lock(mutex_);
      return !new_options_.has_value();
    });
  }
  size_t held() const { return held_; }
  size_t most_held() const { return most_held_; }

 private:
  void ApplyOptions(HttpServer* server) {
    const std::lock_guard lock(mutex_);
    if (new_options_.has_value()) {
      server->SetOptions(*new_options_);
      new_options_.reset();
    }
  }

  std::mutex mutex_;
  std::optional<HttpServerOptions> new_options_;
  std::atomic<uint16_t> port_{0};
  std::atomic<size_t> held_{0};
  std::atomic<size_t> most_held_{0};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace pumicedyke::http
