// Real control machines and a gateway on loopback, with stand-ins for the platform's leafs,
// operator and clients, which speak its published protocol.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "e2e/fleet.h"
#include "http/http_server.h"
#include "net/event_loop.h"

namespace pumicedyke::platform {

/// A leaf that answers with its own signature and a record made of its name.
class StandInLeaf {
 public:
  StandInLeaf(std::string id, std::string service);
  ~StandInLeaf();
  StandInLeaf(const StandInLeaf&) = delete;
  StandInLeaf& operator=(const StandInLeaf&) = delete;

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  /// Requests that it has begun to work on.
  int runs() const { return runs_; }
  /// Requests that it was told to give up because their connection went away.
  int given_up() const { return given_up_; }
  /// Headers of what it was sent last.
  http::Headers heard() const {
    const std::lock_guard lock(mutex_);
    return heard_;
  }
  /// From now on requests are held and never answered.
  void Hold() { hold_ = true; }
  /// From now on requests are refused unseen.
  void Shed() { shed_ = true; }
  /// @return the status of the heartbeat at one control machine.
  int Beat(const std::string& control, bool draining = false);

 private:
  void OnRequest(const http::HttpRequest& request, http::Responder responder);

  std::string id_;
  std::string service_;
  std::atomic<uint16_t> port_{0};
  std::atomic<int> runs_{0};
  std::atomic<int> given_up_{0};
  std::atomic<bool> hold_{false};
  std::atomic<bool> shed_{false};
  std::atomic<bool> stop_{false};
  int sequence_ = 0;
  mutable std::mutex mutex_;
  http::Headers heard_;
  std::thread thread_;
};

struct PlatformFleetOptions {
  int controls = 3;
  /// Control machines that may be lost at once.
  int tolerated = 1;
};

class PlatformFleet {
 public:
  /// Control machines of a fleet with the usual options.
  static constexpr int kControls = 3;

  PlatformFleet() : PlatformFleet(PlatformFleetOptions{}) {}
  explicit PlatformFleet(const PlatformFleetOptions& options);
  ~PlatformFleet();

  void StartControl(int index, bool bootstrap);
  void StartGateway();
  /// A gateway that no client is sent to: it works for the first one.
  void StartSecondGateway();
  /// One more gateway, which clients may be sent to. @return where they reach it.
  std::string StartFurtherGateway(const std::string& name);
  /// Starts a gateway again that was started before, at the same addresses.
  void RestartGateway(const std::string& name);
  std::string DataFolder(int index) const;
  std::string ServiceAddress(int index) const;
  std::string DirectoryAddress(int index) const;
  const std::string& gateway_address() const { return gateway_address_; }
  const std::string& gateway_directory_address() const { return gateway_directory_address_; }
  const std::string& ready_address() const { return ready_address_; }
  const std::string& metrics_address() const { return metrics_address_; }
  const std::string& second_metrics_address() const { return second_metrics_address_; }

  /// Puts a document, at any control machine, until one takes it. @return the last status.
  int Put(const std::string& document);
  /// Reports leafs until each has been acknowledged.
  void Beat(const std::vector<StandInLeaf*>& leafs);
  /// Waits until the gateway answers 200 for the path.
  void WaitServed(const std::string& path);
  /// Waits until the gateway answers 200 for the path and leaves out no shard.
  void WaitWhole(const std::string& path);
  http::ClientResponse Ask(const std::string& path, int64_t deadline_ms = 2000);
  /// The same at a gateway of the caller's choice, with more headers.
  http::ClientResponse AskAt(const std::string& gateway, const std::string& path,
                             const http::Headers& headers, int64_t deadline_ms = 2000);

  std::map<std::string, std::unique_ptr<e2e::Process>> processes;

 private:
  struct GatewayAddresses {
    std::string listen;
    std::string ready;
    std::string metrics;
    std::string directory;
  };
  void StartGatewayAt(const std::string& process, const GatewayAddresses& addresses);

  PlatformFleetOptions options_;
  std::map<std::string, GatewayAddresses> gateways_;
  std::string folder_;
  std::string internal_port_;
  std::string service_port_;
  std::string directory_port_;
  std::string gateway_address_;
  std::string ready_address_;
  std::string metrics_address_;
  std::string gateway_directory_address_;
  std::string second_metrics_address_;
  int asked_ = 0;
};

}  // namespace pumicedyke::platform
