// A leaf that ends whenever it begins to run a request of a certain kind, and comes back at the same
// address as a new incarnation.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "http/http_server.h"

namespace pumicedyke::platform {

class MortalLeaf {
 public:
  using Fatal = std::function<bool(const http::HttpRequest&)>;

  /// @param fatal whether the request ends the leaf; runs on the leaf's thread.
  MortalLeaf(std::string name, std::string service, Fatal fatal);
  ~MortalLeaf();
  MortalLeaf(const MortalLeaf&) = delete;
  MortalLeaf& operator=(const MortalLeaf&) = delete;

  /// Requests that ended it; each has reached it.
  int deaths() const { return deaths_; }
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
  const std::string address_;
  std::atomic<int> deaths_{0};
  std::atomic<bool> dying_{false};
  std::atomic<bool> stop_{false};
  /// Incarnations so far, and heartbeats of the last one.
  std::atomic<int> lives_{0};
  int beats_ = 0;
  int beating_life_ = 0;
  std::thread thread_;
};

}  // namespace pumicedyke::platform
