// Clients that keep their connections, an operator, and leafs, of a soak. Each runs on a thread of
// its own until it is stopped.
#pragma once

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "http/http_client.h"
#include "net/event_loop.h"
#include "platform/mortal_leaf.h"
#include "platform/platform_fleet.h"
#include "soak/observations.h"

namespace pumicedyke::soak {

/// The routes and services that a soak works with.
std::string DocumentOf(uint64_t version, size_t shards);
std::string ServiceName(size_t shard);

/// Leafs of every shard, and their heartbeats.
class Leafs {
 public:
  /// @param run names the soak: leafs of two that run side by side must not be taken for each
  /// other.
  Leafs(const std::string& run, size_t shards, size_t replicas, std::vector<std::string> controls,
        Observations* seen);
  ~Leafs();

 private:
  void Beat();

  const std::vector<std::string> controls_;
  std::vector<std::unique_ptr<platform::MortalLeaf>> leafs_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

/// Clients that ask all gateways on connections that they keep until the gateway is gone. One of
/// them asks again and again for what ends leafs.
class Clients {
 public:
  Clients(uint64_t seed, std::vector<std::string> gateways, Observations* seen);
  ~Clients();

 private:
  void Run();
  void AskUsual();
  void AskFatal();
  void Ask(const SentRequest& request, const std::string& path, const std::string& caller);
  const std::string& AnyGateway();

  /// Begins the ids of requests.
  const std::string run_;
  const std::vector<std::string> gateways_;
  Observations* seen_;
  std::mt19937_64 random_;
  uint64_t asked_ = 0;
  std::atomic<bool> stop_{false};
  net::EventLoop* loop_ = nullptr;
  http::HttpClient* client_ = nullptr;
  std::thread thread_;
};

/// Puts documents, each until it is taken, and reads back.
class Operator {
 public:
  Operator(uint64_t seed, std::vector<std::string> controls, size_t shards, Observations* seen);
  ~Operator();

 private:
  void Run();
  void PutNext();
  void Read();
  const std::string& AnyControl();

  const std::vector<std::string> controls_;
  const size_t shards_;
  Observations* seen_;
  std::mt19937_64 random_;
  uint64_t version_ = 1;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace pumicedyke::soak
