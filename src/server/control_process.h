// The control program: serves a ControlServer over TCP frames (peers and nodes) and HTTP
// (operators).
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/region_map.h"
#include "control/control_server.h"
#include "control/dialect.h"
#include "control/discovery_server.h"
#include "control/leaf_committer.h"
#include "http/http_server.h"
#include "net/event_loop.h"
#include "net/frame_socket.h"
#include "server/control_log.h"
#include "server/graceful_stop.h"
#include "server/held_bytes_log.h"
#include "server/misdirected_log.h"
#include "server/refused_call_log.h"
#include "server/settings_watch.h"
#include "storage/log_storage.h"
#include "storage/posix_file_system.h"

namespace pumicedyke::server {

struct ControlSettings {
  std::string cluster;
  std::string machine;
  /// Zone of this machine; gateways of the same zone prefer it.
  std::string zone;
  std::string listen;
  std::string operator_listen;
  /// The known zones and their regions; if empty, operators may name any zone.
  RegionMap regions;
  /// Listen address for leafs and operators that use the dialect; empty: not served.
  std::string service_listen;
  /// Listen address for clients' gateway lookups; empty: served at `service_listen`.
  std::string directory_listen;
  /// How long a client may use the gateway addresses of one lookup.
  Duration directory_time_to_live{};
  /// A leaf that has sent no heartbeat for this long is removed.
  Duration leaf_silence_limit{};
  std::string operator_token_file;
  /// Content of that file; empty: operators connect over loopback and need no token.
  std::string operator_token;
  std::string data_folder;
  std::string port_file;
  /// "machine=IP:port" of every control machine, including this one.
  std::vector<std::string> machines;
  /// Alternative to `machines`: frame addresses of some control machines. The others join through
  /// them.
  std::vector<std::string> seeds;
  /// Set for the first start of a new cluster: a seed formats its empty data folder itself.
  bool bootstrap = false;
  /// Target number of voters; zero: as many as `machines`.
  size_t voters = 0;
  Duration replace_silent_after{};
  /// Path of the settings file; empty: flags only.
  std::string path;
  size_t snapshot_log_bytes = 0;
  Duration election_timeout{};
  StopTimes stop;
};

/// @return the settings, or all errors of the file and the flags.
absl::StatusOr<ControlSettings> ReadControlSettings(const std::string& path);

/// Formats an empty data folder for a new cluster; run once on each of its machines.
absl::Status FormatControl(const ControlSettings& settings);

class ControlProcess {
 public:
  /// @param dialect null if no dialect is served; must outlive this object.
  ControlProcess(ControlSettings settings, const control::Dialect* dialect, net::EventLoop* loop);

  /// Recovers the data folder and starts listening. A disk that accepts no writes is not an error:
  /// Run() then retries it and starts listening once it works.
  absl::Status Start();
  /// Runs until a planned stop has completed. While the disk accepts no writes, the replica takes
  /// no part in the group; all other duties continue. @return an error if the data folder is
  /// corrupt.
  absl::Status Run();
  void Stop();
  /// Reloads the settings file; only changes of the seeds take effect.
  void Reload();

 private:
  using ReplyCb = std::function<void(const control::OperatorReply&)>;

  /// Content of the data folder.
  struct OpenedStorage {
    std::unique_ptr<storage::PosixFileSystem> files;
    std::unique_ptr<storage::LogStorage> log;
    wire::Identity identity;
    storage::RecoveredState recovered;
  };
  absl::StatusOr<OpenedStorage> OpenStorage() const;
  /// Recovers the data folder and creates the replica, replacing one whose disk failed. The old
  /// replica stays if the disk still fails.
  absl::Status OpenReplica(Timestamp now);
  control::ControlOptions ReplicaOptions() const;
  /// Logs that the replica cannot work, and retries at intervals if its disk may recover.
  void OnReplicaFailure(Timestamp now, const absl::Status& failure);
  /// Opens the listening sockets.
  absl::Status Listen();
  Timestamp Tick(Timestamp now);
  /// Ends the process when the planned stop is done. Before it is killed, answers the calls that
  /// wait for other machines: whether their orders were committed is not known here.
  void AdvanceStop(Timestamp now);
  void DispatchOutput();
  void SendToSessions(const control::SessionMessage& message);
  void SendToPeer(const std::string& address, const wire::Envelope& envelope);
  void OnFrame(uint64_t session, const wire::Envelope& envelope);
  void OnOperator(const http::HttpRequest& request, http::Responder responder);
  void OnChange(const http::HttpRequest& request, http::Responder responder);
  /// Reads documents of this machine's dialect; null if it has none.
  const routing::DocumentReader* Documents() const;
  /// Replies with the configuration, without API keys.
  void ReadConfig(Timestamp now, http::Responder responder);
  std::string MetricsText(Timestamp now) const;
  /// Registers a callback for a reply. @return the ticket to pass with the request.
  control::TicketId Await(ReplyCb on_reply);
  void CommitLeafs(Timestamp now);
  absl::Status ListenForDialect();
  /// Answers lookups of gateways and nothing else.
  void OnDirectory(const http::HttpRequest& request, http::Responder responder);
  /// @param listener the setting that names the address at which the call arrived.
  void OnDialect(const char* listener, const http::HttpRequest& request, http::Responder responder);
  void RefuseCall(const char* listener, const http::HttpRequest& request, const absl::Status& why,
                  http::Responder responder);
  void Run(control::PutDocument command, http::Responder responder);
  void Run(const control::GetDocument& command, http::Responder responder);
  void Run(control::ReportLeaf command, http::Responder responder);
  /// Whether a later incarnation of the leaf is known.
  bool IsPreviousIncarnation(const std::string& leaf, uint64_t born_ms) const;
  void Run(const control::RetireLeaf& command, http::Responder responder);
  void Run(const control::FindGateways& command, http::Responder responder);
  void Run(const control::SetZoneEvacuation& command, http::Responder responder);
  /// Submits a zone order against the zone's known revision. Resubmits it if that revision was out
  /// of date, until `until`: by then the caller has turned to another machine.
  void SubmitZoneOrder(config::Change change, Timestamp until, http::Responder responder);
  /// Whether operators may name the zone: the settings list it, or it holds a leaf.
  bool KnowsZone(const std::string& zone) const;
  /// Submits a change and replies with its acceptance or refusal. @param then runs before the reply
  /// if the change was committed.
  void SubmitFor(const config::Change& change, http::Responder responder,
                 const std::function<void()>& then);

  ControlSettings settings_;
  net::EventLoop* loop_;
  std::unique_ptr<storage::PosixFileSystem> files_;
  std::unique_ptr<storage::LogStorage> storage_;
  /// Null until the data folder has been recovered for the first time.
  std::unique_ptr<control::ControlServer> server_;
  /// When to retry a failed disk; unset while the disk works.
  std::optional<Timestamp> retry_disk_at_;
  /// The error that ends the process, such as a corrupt data folder.
  absl::Status failure_;
  std::unique_ptr<net::FrameServer> frames_;
  std::unique_ptr<http::HttpServer> http_;
  std::map<std::string, std::unique_ptr<net::FrameClient>> peers_;
  const control::Dialect* dialect_;
  std::unique_ptr<control::DiscoveryServer> discovery_;
  std::unique_ptr<control::LeafCommitter> leaf_committer_;
  std::unique_ptr<http::HttpServer> service_http_;
  std::unique_ptr<http::HttpServer> directory_http_;
  std::map<control::TicketId, ReplyCb> waiting_;
  control::TicketId next_ticket_ = 1;
  ControlLog log_;
  MisdirectedLog misdirected_;
  RefusedCallLog refused_calls_;
  HeldBytesLog held_bytes_log_;
  SettingsWatch watch_;
  GracefulStop stop_;
};

}  // namespace pumicedyke::server
