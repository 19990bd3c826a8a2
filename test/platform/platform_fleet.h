// Real control machines and gateways on loopback, with fakes of the platform's leafs, operator and
// clients that use its published protocol.
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
#include "platform/arrival_log.h"

namespace pumicedyke::platform {

/// A leaf that answers with its own signature and a record made of its name.
class FakeLeaf {
 public:
  /// @param arrivals records the requests that reach the leaf; null: nobody does.
  FakeLeaf(std::string id, std::string service, ArrivalLog* arrivals = nullptr);
  ~FakeLeaf();
  FakeLeaf(const FakeLeaf&) = delete;
  FakeLeaf& operator=(const FakeLeaf&) = delete;

  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  /// Number of requests that the leaf has started to run.
  int runs() const { return runs_; }
  /// Number of requests that the leaf was made to hold.
  int held() const { return held_count_; }
  /// Number of held requests that were cancelled because their connection was closed.
  int cancelled_runs() const { return cancelled_runs_; }
  /// Headers of the last request received.
  http::Headers last_headers() const {
    const std::lock_guard lock(mutex_);
    return last_headers_;
  }
  /// Makes the leaf hold further requests and never answer them, unless Release() follows.
  void Hold() { hold_ = true; }
  /// Makes the leaf answer the requests that it holds, and all further ones.
  void Release() { hold_ = false; }
  /// Makes the leaf refuse further requests without running them.
  void Shed() { shed_ = true; }
  /// Makes the leaf answer further requests with a failure of its own, after it has run them.
  void Fail() { fail_ = true; }
  /// Makes the leaf refuse nine of ten further requests although it has room.
  void RefuseMost() { refuse_most_ = true; }
  /// Sends a heartbeat to a control machine. @return its HTTP status.
  int SendHeartbeat(const std::string& control, bool draining = false);

 private:
  /// Whether the leaf refuses the request.
  bool Refuses();
  void OnRequest(const http::HttpRequest& request, http::Responder responder);
  void Answer(const std::string& request_id, http::Responder responder);
  void AnswerHeld();

  struct HeldRequest {
    std::string request_id;
    http::Responder responder;
  };

  std::string id_;
  std::string service_;
  ArrivalLog* const arrivals_;
  std::atomic<uint16_t> port_{0};
  std::atomic<int> runs_{0};
  std::atomic<int> held_count_{0};
  std::atomic<int> cancelled_runs_{0};
  std::atomic<bool> hold_{false};
  std::atomic<bool> shed_{false};
  std::atomic<bool> refuse_most_{false};
  std::atomic<bool> fail_{false};
  /// Number of requests while the leaf refuses most.
  int offered_ = 0;
  /// Used on the leaf's thread only.
  std::vector<HeldRequest> held_;
  std::atomic<bool> stop_{false};
  int sequence_ = 0;
  mutable std::mutex mutex_;
  http::Headers last_headers_;
  std::thread thread_;
};

/// Returns the index of the control machine whose process has this name, such as "c11".
int ControlIndex(const std::string& process);

struct PlatformFleetOptions {
  int controls = 3;
  /// Number of control machines that may fail at once.
  int tolerated = 1;
  /// Time after which a silent control machine is replaced by a new one at another address; zero:
  /// only by one at its own address.
  Duration replace_silent_after{};
  /// Extra sub-requests per service beyond the ratio, for all gateways together.
  int extra_load_allowance = 10;
  /// What gateways are told about when they are killed after SIGTERM; zero: nothing.
  Duration kill_after = Seconds(6);
  /// How long gateways accept connections after SIGTERM.
  Duration drain_grace = Milliseconds(300);
};

class PlatformFleet {
 public:
  /// Number of control machines of a fleet with default options.
  static constexpr int kControls = 3;

  PlatformFleet() : PlatformFleet(PlatformFleetOptions{}) {}
  explicit PlatformFleet(const PlatformFleetOptions& options);
  ~PlatformFleet();

  void StartControl(int index, bool bootstrap);
  void StartGateway();
  /// Starts a gateway to which no client sends requests; it merges for the first one.
  void StartSecondGateway();
  /// Starts one more gateway for clients. @return its listen address.
  std::string StartAdditionalGateway(const std::string& name);
  /// Restarts a gateway at the same addresses.
  void RestartGateway(const std::string& name);
  std::string DataFolder(int index) const;
  std::string ServiceAddress(int index) const;
  std::string DirectoryAddress(int index) const;
  /// Address of a control machine's metrics.
  std::string OperatorAddress(int index) const;
  const std::string& gateway_address() const { return gateway_address_; }
  const std::string& gateway_directory_address() const { return gateway_directory_address_; }
  const std::string& ready_address() const { return ready_address_; }
  const std::string& metrics_address() const { return metrics_address_; }
  /// Address of a gateway's metrics, by the name of its process.
  const std::string& MetricsAddressOf(const std::string& gateway) const {
    return gateways_.at(gateway).metrics;
  }
  /// Address at which a gateway listens for the other gateways, by the name of its process.
  const std::string& PeerAddressOf(const std::string& gateway) const {
    return gateways_.at(gateway).peer;
  }
  /// Address at which a control machine listens for other control machines and gateways.
  std::string InternalAddress(int index) const;
  const std::string& second_metrics_address() const { return second_metrics_address_; }

  /// Puts a document at the control machines in turn until one answers definitely. @return the last
  /// status.
  int Put(const std::string& document);
  /// Sends heartbeats of the leafs until each is acknowledged.
  void SendHeartbeats(const std::vector<FakeLeaf*>& leafs);
  /// Waits until a version of the document is in force at the gateway.
  void WaitForVersion(uint64_t version) const;
  /// Waits until the gateway answers 200 for the path.
  void WaitUntilServed(const std::string& path);
  /// Waits until the gateway answers 200 for the path with no shard missing.
  void WaitForAllShards(const std::string& path);
  http::ClientResponse SendRequest(const std::string& path, int64_t deadline_ms = 2000);
  /// Sends a request with additional headers to any gateway. Thread-safe.
  http::ClientResponse SendRequestTo(const std::string& gateway, const std::string& path,
                                     const http::Headers& headers, int64_t deadline_ms = 2000);

  std::map<std::string, std::unique_ptr<e2e::Process>> processes;

 private:
  struct GatewayAddresses {
    std::string listen;
    std::string ready;
    std::string metrics;
    std::string directory;
    /// Chosen at the first start if empty.
    std::string peer = {};
  };
  /// @param first_start whether no gateway of this fleet has run at these addresses before.
  void StartGatewayAt(const std::string& process, const GatewayAddresses& addresses,
                      bool first_start = true);

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
  std::atomic<int> request_count_ = 0;
};

}  // namespace pumicedyke::platform
