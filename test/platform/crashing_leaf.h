// A leaf that crashes whenever it starts to run a fatal request, and restarts at the same address
// as a new incarnation.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "http/http_server.h"
#include "net/event_loop.h"

namespace pumicedyke::platform {

class CrashingLeaf {
 public:
  using IsFatalCb = std::function<bool(const http::HttpRequest&)>;
  /// Called for each run that was answered, with the id of the client's attempt.
  using AnsweredCb = std::function<void(const std::string& attempt)>;

  /// @param fatal whether the request crashes the leaf. `fatal` and `answered` run on the leaf's
  /// thread.
  CrashingLeaf(std::string name, std::string service, IsFatalCb fatal,
               AnsweredCb answered = nullptr);
  ~CrashingLeaf();
  CrashingLeaf(const CrashingLeaf&) = delete;
  CrashingLeaf& operator=(const CrashingLeaf&) = delete;

  /// Number of requests that crashed the leaf.
  int crashes() const { return crashes_; }
  const std::string& service() const { return service_; }
  /// Sends a heartbeat of the current incarnation. @return its HTTP status.
  int SendHeartbeat(const std::string& control);

 private:
  void Serve();
  /// Runs one incarnation until it crashes or is stopped.
  void RunIncarnation();
  void OnRequest(const http::HttpRequest& request, http::Responder responder);
  std::string id() const;

  const std::string name_;
  const std::string service_;
  const IsFatalCb fatal_;
  const AnsweredCb answered_;
  const std::string address_;
  std::atomic<int> crashes_{0};
  std::atomic<bool> stop_{false};
  /// Number of the current incarnation, counted from 1.
  std::atomic<int> incarnation_{0};
  /// Number of heartbeats of the incarnation `heartbeat_incarnation_`.
  int heartbeats_ = 0;
  int heartbeat_incarnation_ = 0;
  /// Event loop of the current incarnation; used only on the leaf's thread.
  net::EventLoop* loop_ = nullptr;
  std::thread thread_;
};

}  // namespace pumicedyke::platform
