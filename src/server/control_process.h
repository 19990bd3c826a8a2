// The control program: a ControlServer behind TCP frames (peers and nodes) and HTTP (operators).
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/control_server.h"
#include "http/http_server.h"
#include "net/event_loop.h"
#include "net/frame_socket.h"
#include "server/graceful_stop.h"
#include "storage/log_storage.h"
#include "storage/posix_file_system.h"

namespace pumicedyke::server {

struct ControlSettings {
  std::string cluster;
  std::string machine;
  std::string listen;
  std::string operator_listen;
  std::string operator_token_file;
  /// Content of that file; empty: operators come over loopback and need none.
  std::string operator_token;
  std::string data_folder;
  std::string port_file;
  /// "machine=IP:port" of every control machine, this one too.
  std::vector<std::string> machines;
  size_t snapshot_log_bytes = 0;
  Duration election_timeout{};
};

/// @return the settings, or every error of the file and the flags.
absl::StatusOr<ControlSettings> ReadControlSettings(const std::string& path);

/// Prepares an empty data folder of a new cluster; done once on each of its machines.
absl::Status FormatControl(const ControlSettings& settings);

class ControlProcess {
 public:
  ControlProcess(ControlSettings settings, net::EventLoop* loop);

  /// Recovers the data folder and starts listening.
  absl::Status Start();
  /// Runs until a planned stop is over. @return failure of the data folder, if any.
  absl::Status Run();
  void Stop();

 private:
  absl::Status OpenStorage(wire::Identity* identity, storage::RecoveredState* recovered);
  Timestamp Tick(Timestamp now);
  void CarryOut();
  void SendToPeer(const std::string& address, const wire::Envelope& envelope);
  void OnFrame(uint64_t session, const wire::Envelope& envelope);
  void OnOperator(const http::HttpRequest& request, http::Responder responder);
  void OnChange(const http::HttpRequest& request, http::Responder responder);
  std::string MetricsText(Timestamp now) const;

  ControlSettings settings_;
  net::EventLoop* loop_;
  std::unique_ptr<storage::PosixFileSystem> files_;
  std::unique_ptr<storage::LogStorage> storage_;
  std::unique_ptr<control::ControlServer> server_;
  std::unique_ptr<net::FrameServer> frames_;
  std::unique_ptr<http::HttpServer> http_;
  std::map<std::string, std::unique_ptr<net::FrameClient>> peers_;
  std::map<control::TicketId, http::Responder> waiting_;
  control::TicketId next_ticket_ = 1;
  GracefulStop stop_;
};

}  // namespace pumicedyke::server
