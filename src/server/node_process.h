// The node program: serves a NodeServer over HTTP, and connects to leafs and the platform's list of
// machines over HTTP and to one control machine over frames.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "http/http_server.h"
#include "net/event_loop.h"
#include "net/frame_socket.h"
#include "node/node_server.h"
#include "server/graceful_stop.h"
#include "server/held_bytes_log.h"
#include "server/misdirected_log.h"
#include "server/report_log.h"
#include "server/stop_log.h"

namespace pumicedyke::server {

struct NodeSettings {
  std::string cluster;
  std::string node;
  std::string zone;
  std::string listen;
  std::string data_folder;
  std::string port_file;
  std::vector<std::string> control;
  /// Address of the platform's list of machines; empty: not polled.
  std::string platform;
  int64_t max_connections_per_leaf = 0;
  int64_t max_in_progress = 0;
  Duration max_config_age{};
  StopTimes stop;
};

absl::StatusOr<NodeSettings> ReadNodeSettings(const std::string& path);

class NodeProcess {
 public:
  NodeProcess(NodeSettings settings, net::EventLoop* loop);

  absl::Status Start();
  void Run();
  void Stop();

 private:
  Timestamp Tick(Timestamp now);
  void DispatchOutput();
  void SendToLeaf(const query::LeafRequest& request);
  void CancelAtLeaf(const query::SubRequestCancel& cancel);
  void SendToControl(const wire::Envelope& envelope);
  void OnControlMessage(const wire::Envelope& message);
  void AnswerCaller(const node::CallerAnswer& answer);
  void OnHttp(const http::HttpRequest& request, http::Responder responder);
  void OnQuery(const http::HttpRequest& request, http::Responder responder);
  void PollHealth(Timestamp now);
  void PollPlatform(Timestamp now);
  std::string LeafAddress(const std::string& leaf);
  std::string MetricsText(Timestamp now) const;
  std::string StatusText(Timestamp now) const;

  NodeSettings settings_;
  net::EventLoop* loop_;
  std::unique_ptr<node::NodeServer> server_;
  std::unique_ptr<http::HttpServer> http_;
  std::unique_ptr<http::HttpClient> client_;
  std::unique_ptr<net::FrameClient> control_;
  size_t control_index_ = 0;
  std::map<RequestId, http::Responder> waiting_;
  uint64_t next_request_ = 1;
  std::map<std::string, std::string> addresses_;
  uint64_t addresses_version_ = 0;
  std::set<std::string> health_calls_;
  Timestamp next_health_{};
  uint64_t health_version_ = 0;
  Timestamp next_platform_{};
  bool platform_call_ = false;
  GracefulStop stop_;
  MisdirectedLog misdirected_;
  ReportLog report_log_;
  HeldBytesLog held_bytes_log_;
  StopLog stop_log_;
};

}  // namespace pumicedyke::server
