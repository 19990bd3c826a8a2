// A leaf that ends whenever it begins to run a request of a certain kind, and comes back at the
// same address as a new incarnation.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "http/http_server.h"
#include "net/event_loop.h"

namespace pumicedyke::platform {

class MortalLeaf {
 public:
  using Fatal = std::function<bool(const http::HttpRequest&)>;
  /// Hears of each run that was answered, by the id of the client's attempt.
  using AnsweredCb = std::function<void(const std::string& attempt)>;

  /// @param fatal whether the request ends the leaf. It and `answered` run on the leaf's thread.
  MortalLeaf(std::string name, std::string service, Fatal fatal, AnsweredCb answered = nullptr);
  ~MortalLeaf();
  MortalLeaf(const MortalLeaf&) = delete;
  MortalLeaf& operator=(const MortalLeaf&) = delete;

  /// Requests that ended it; each has reached it.
  int deaths() const { return deaths_; }
  const std::string& service() const { return service_; }
  /// @return the status of a heartbeat of the incarnation that lives at the moment.
  int Beat(const std::string& control);

 private:
  void Serve();
  /// One incarnation, until its end.
  void Live();
  void OnRequest(const http::HttpRequest& request, http::Responder responder);
  std::string id() const;

  const std::string name_;
  const std::string service_;
  const Fatal fatal_;
  const AnsweredCb answered_;
  const std::string address_;
  std::atomic<int> deaths_{0};
  std::atomic<bool> stop_{false};
  /// Incarnations so far, and heartbeats of the last one.
  std::atomic<int> lives_{0};
  int beats_ = 0;
  int beating_life_ = 0;
  /// That of the incarnation that lives; its own thread's.
  net::EventLoop* loop_ = nullptr;
  std::thread thread_;
};

}  // namespace pumicedyke::platform
