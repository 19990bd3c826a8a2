// The gateway program: serves a GatewayServer over HTTP, and connects to leafs over HTTP and to
// control machines over frames.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/dialect.h"
#include "gateway/gateway_server.h"
#include "gateway/partial_query_queue.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "net/event_loop.h"
#include "net/frame_socket.h"
#include "server/gateway_log.h"
#include "server/gateway_metrics.h"
#include "server/graceful_stop.h"
#include "server/held_bytes_log.h"
#include "server/misdirected_log.h"
#include "server/refused_call_log.h"
#include "server/report_log.h"
#include "server/settings_watch.h"
#include "server/stop_log.h"

namespace pumicedyke::server {

struct GatewaySettings {
  std::string cluster;
  std::string node;
  std::string zone;
  /// Listen address for clients.
  std::string listen;
  /// Listen address for readiness probes, which are answered nowhere else; empty: not served.
  std::string ready_listen;
  /// Listen address for clients' gateway lookups; empty: not served. Set it only where stopped
  /// gateways are removed from the clients' list, since each attempt to reach one costs a client a
  /// second.
  std::string directory_listen;
  /// How long a client may use the gateway addresses of one lookup.
  Duration directory_time_to_live{};
  /// Listen address of the metrics page; empty: not served.
  std::string metrics_listen;
  /// Listen address for other gateways; empty: this gateway works alone.
  std::string peer_listen;
  /// The region of each zone.
  RegionMap regions;
  /// Number of cores that this process may use.
  double processor_share = 1;
  /// Frame addresses of control machines.
  std::vector<std::string> control;
  gateway::ExtraLoadBound extra_load;
  /// No gateway of the fleet has run before.
  bool first_start = false;
  admission::EntryOptions entry;
  StopTimes stop;
  std::string port_file;
  /// Path of the settings file; empty: flags only.
  std::string path;
};

absl::StatusOr<GatewaySettings> ReadGatewaySettings(const std::string& path);

class GatewayProcess {
 public:
  /// @param dialect must outlive this object.
  GatewayProcess(GatewaySettings settings, const gateway::Dialect* dialect, net::EventLoop* loop);

  absl::Status Start();
  void Run();
  void Stop();
  /// Reloads the settings file; only changes of the control machines take effect.
  void Reload();

 private:
  struct LeafCall {
    http::HttpClient::CallId call = 0;
    std::string leaf;
  };
  Timestamp Tick(Timestamp now);
  void DispatchOutput();
  /// Dispatches output after the current event has been handled.
  void ScheduleDispatch();
  void SendAnswer(gateway::GatewayAnswer answer);
  void SendToLeaf(gateway::LeafSend send);
  void CancelAtLeaf(const gateway::LeafCancel& cancel);
  /// Abandons a call but lets the leaf finish it, so that the connection stays usable.
  void AbandonAtLeaf(SubRequestId id, const LeafCall& call);
  /// Ends the calls to these leafs that still wait for a connection.
  void EndUnsentCalls(const std::vector<std::string>& leafs);
  void SendToControl(const gateway::ControlMessage& message);
  void SendToPeer(const gateway::PeerMessage& message);
  absl::Status ListenForPeers();
  /// Routes a request of a client, whatever its path is.
  void OnClientRequest(http::HttpRequest request, http::Responder responder);
  absl::Status ListenForReadiness();
  absl::Status ListenForMetrics();
  absl::Status ListenForDirectory();
  /// @param listener the setting that names the address at which the request arrived.
  void RefuseUnknownPath(const char* listener, const http::HttpRequest& request,
                         http::Responder responder);
  void OnPeerRequest(uint64_t session, wire::Envelope envelope);
  void HandlePeerRequest(const gateway::ArrivedPartialQuery& request);
  /// Starts the partial queries of this loop iteration, the most urgent first.
  void StartPartialQueries();
  void OnLinkChange(const gateway::ControlLinkChange& change);
  void ApplyLimits();

  GatewaySettings settings_;
  const gateway::Dialect* dialect_;
  net::EventLoop* loop_;
  std::unique_ptr<gateway::GatewayServer> server_;
  std::unique_ptr<http::HttpServer> http_;
  std::unique_ptr<http::HttpServer> ready_http_;
  std::unique_ptr<http::HttpClient> client_;
  std::map<std::string, std::unique_ptr<net::FrameClient>> control_;
  /// Serves partial queries of other gateways.
  std::unique_ptr<net::FrameServer> peer_server_;
  /// Connections to other gateways, by address.
  std::map<std::string, std::unique_ptr<net::FrameClient>> peers_;
  gateway::PartialQueryQueue partial_queries_;
  std::map<RequestId, http::Responder> waiting_;
  std::map<SubRequestId, LeafCall> calls_;
  /// Number of sent answers that are not logged yet.
  size_t unlogged_answers_ = 0;
  uint64_t next_request_ = 1;
  uint64_t applied_limits_version_ = 0;
  bool dispatch_scheduled_ = false;
  GatewayLog log_;
  GatewayMetrics metrics_;
  std::unique_ptr<http::HttpServer> metrics_http_;
  std::unique_ptr<http::HttpServer> directory_http_;
  SettingsWatch watch_;
  GracefulStop stop_;
  StopLog stop_log_;
  MisdirectedLog misdirected_;
  RefusedCallLog refused_calls_;
  ReportLog report_log_;
  HeldBytesLog held_bytes_log_;
};

}  // namespace pumicedyke::server
