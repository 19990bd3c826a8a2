// The clients, the operator and the leafs of a soak. Each of them runs on its own thread until it
// is stopped.
#pragma once

#include <atomic>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http/http_client.h"
#include "net/event_loop.h"
#include "platform/crashing_leaf.h"
#include "platform/platform_fleet.h"
#include "soak/hostile_leaf.h"
#include "soak/observations.h"

namespace pumicedyke::soak {

/// The users' platform kills a process this long after it has told it to stop.
constexpr Duration kUsersKillAfter = Seconds(6);
/// Patient clients, and their route, wait longer than that.
constexpr Duration kPatience = Seconds(8);
static_assert(kPatience > kUsersKillAfter);

/// A gateway that clients send requests to.
struct NamedGateway {
  std::string name;
  std::string address;
};

/// Returns the route document of a soak.
std::string DocumentOf(uint64_t version, size_t shards);
std::string ServiceName(size_t shard);
/// Returns the services of all shards.
std::set<std::string> ServiceNames(size_t shards);

/// Leafs of every shard, leafs with bad spells, and their heartbeats.
class Leafs {
 public:
  /// @param run name of the soak, so that leafs of parallel soaks have different names.
  /// @param seed the bad spells are drawn from it.
  Leafs(uint64_t seed, const std::string& run, size_t shards, size_t replicas,
        std::vector<std::string> controls, Observations* observations);
  ~Leafs();
  Leafs(const Leafs&) = delete;
  Leafs& operator=(const Leafs&) = delete;

  /// Sets whether leafs refuse most requests at times, and have bad spells. At first they do not.
  void SetHostile(bool hostile);

 private:
  void AddHostileLeafs(uint64_t seed, const std::string& run, Observations* observations);
  void SendHeartbeats();
  /// Sends one leaf's heartbeat to the control machines in turn until one accepts it.
  template <typename Leaf>
  void SendHeartbeat(Leaf* leaf);

  const std::vector<std::string> controls_;
  /// Read on the leafs' threads.
  std::atomic<bool> refusing_{false};
  std::vector<std::unique_ptr<platform::CrashingLeaf>> leafs_;
  std::vector<std::unique_ptr<HostileLeaf>> hostile_leafs_;
  /// Index of the control machine that gets the next heartbeat.
  size_t control_ = 0;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

/// Clients that send requests to all gateways over persistent connections, which they use until
/// the gateway closes them. One of them repeats a request that crashes leafs, and one is patient.
class Clients {
 public:
  /// @param shards number of shards of a gather.
  Clients(uint64_t seed, std::vector<NamedGateway> gateways, size_t shards,
          Observations* observations);
  ~Clients();

 private:
  void Run();
  void SendOrdinaryRequest();
  void SendFatalRequest();
  void SendPatientRequest();
  const std::set<std::string>& ServicesOf(const SentRequest& request) const;
  void SendRequest(const SentRequest& request, const std::string& path, const std::string& caller);
  const NamedGateway& AnyGateway();

  /// Services that a gather and any other request are sent to.
  const std::set<std::string> shards_;
  const std::set<std::string> plain_service_ = {ServiceName(0)};
  const std::set<std::string> hostile_service_;
  /// Prefix of request ids.
  const std::string id_prefix_;
  const std::vector<NamedGateway> gateways_;
  Observations* observations_;
  std::mt19937_64 random_;
  uint64_t request_count_ = 0;
  std::atomic<bool> stop_{false};
  net::EventLoop* loop_ = nullptr;
  http::HttpClient* client_ = nullptr;
  std::thread thread_;
};

/// Puts documents, repeating each until it is accepted, and reads them back.
class Operator {
 public:
  Operator(uint64_t seed, std::vector<std::string> controls, size_t shards,
           Observations* observations);
  ~Operator();

 private:
  void Run();
  void PutNext();
  void Read();
  const std::string& AnyControl();

  const std::vector<std::string> controls_;
  const size_t shards_;
  Observations* observations_;
  std::mt19937_64 random_;
  uint64_t version_ = 1;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace pumicedyke::soak
