// The gateway program: a GatewayServer behind an HTTP front, with HTTP to leafs and frames to the
// control machines.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/dialect.h"
#include "gateway/gateway_server.h"
#include "gateway/question_queue.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "net/event_loop.h"
#include "net/frame_socket.h"
#include "server/gateway_log.h"
#include "server/gateway_metrics.h"
#include "server/graceful_stop.h"
#include "server/settings_watch.h"

namespace pumicedyke::server {

struct GatewaySettings {
  std::string cluster;
  std::string node;
  std::string zone;
  /// Where clients come.
  std::string listen;
  /// Where readiness is asked for; empty: with the clients.
  std::string ready_listen;
  /// Where clients ask for gateways; empty: not here. Only where gateways that are gone are taken
  /// off the clients' list: each one that is asked in vain costs a client a second.
  std::string directory_listen;
  /// How long a client may rely on the gateways it was told.
  Duration directory_time_to_live{};
  /// Where the metrics page is served; empty: nowhere.
  std::string metrics_listen;
  /// Where other gateways reach this one; empty: it works alone.
  std::string peer_listen;
  /// Where each zone lies.
  RegionMap regions;
  /// Cores that this process may use.
  double processor_share = 1;
  /// Frame addresses of control machines.
  std::vector<std::string> control;
  gateway::ExtraLoadBound extra_load;
  admission::EntryOptions entry;
  Duration drain_grace{};
  std::string port_file;
  /// The file these were read from; empty: flags only.
  std::string path;
};

absl::StatusOr<GatewaySettings> ReadGatewaySettings(const std::string& path);

class GatewayProcess {
 public:
  /// @param dialect outlives this object.
  GatewayProcess(GatewaySettings settings, const gateway::Dialect* dialect, net::EventLoop* loop);

  absl::Status Start();
  void Run();
  void Stop();
  /// Reads the settings file again; only the control machines may have changed.
  void Reload();

 private:
  struct LeafCall {
    http::HttpClient::CallId call = 0;
    std::string leaf;
  };
  Timestamp Tick(Timestamp now);
  void CarryOut();
  /// Carries out what is ready once the current event is dealt with.
  void CarryOutSoon();
  void SendAnswer(gateway::GatewayAnswer answer);
  void SendToLeaf(gateway::LeafSend send);
  void CancelAtLeaf(const gateway::LeafCancel& cancel);
  /// Leaves the leaf to finish, so that the connection lives on.
  void AbandonAtLeaf(SubRequestId id, const LeafCall& call);
  /// Ends calls to these leafs that wait for a connection.
  void WithdrawUnsent(const std::vector<std::string>& leafs);
  void SendToControl(const gateway::ControlMessage& message);
  void SendToPeer(const gateway::PeerMessage& message);
  absl::Status ListenForPeers();
  void OnHttp(http::HttpRequest request, http::Responder responder);
  absl::Status ListenForMetrics();
  absl::Status ListenForDirectory();
  void OnPeerQuestion(uint64_t session, wire::Envelope envelope);
  /// The questions of this turn, the more urgent first.
  void BeginQuestions();
  void OnLinkChange(const gateway::ControlLinkChange& change);
  void AdoptLimits();

  GatewaySettings settings_;
  const gateway::Dialect* dialect_;
  net::EventLoop* loop_;
  std::unique_ptr<gateway::GatewayServer> server_;
  std::unique_ptr<http::HttpServer> http_;
  std::unique_ptr<http::HttpServer> ready_http_;
  std::unique_ptr<http::HttpClient> client_;
  std::map<std::string, std::unique_ptr<net::FrameClient>> control_;
  /// Questions of other gateways, and connections to those asked, by address.
  std::unique_ptr<net::FrameServer> peer_frames_;
  std::map<std::string, std::unique_ptr<net::FrameClient>> peers_;
  gateway::QuestionQueue questions_;
  std::map<RequestId, http::Responder> waiting_;
  std::map<SubRequestId, LeafCall> calls_;
  /// Answers that were sent and are not in the log and the metrics yet.
  size_t answers_unnoted_ = 0;
  uint64_t next_request_ = 1;
  uint64_t limits_version_ = 0;
  bool carry_out_due_ = false;
  GatewayLog log_;
  GatewayMetrics metrics_;
  std::unique_ptr<http::HttpServer> metrics_http_;
  std::unique_ptr<http::HttpServer> directory_http_;
  SettingsWatch watch_;
  GracefulStop stop_;
};

}  // namespace pumicedyke::server
