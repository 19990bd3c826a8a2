// The control program: a ControlServer behind TCP frames (peers and nodes) and HTTP (operators).
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
#include "server/settings_watch.h"
#include "storage/log_storage.h"
#include "storage/posix_file_system.h"

namespace pumicedyke::server {

struct ControlSettings {
  std::string cluster;
  std::string machine;
  /// Where this machine is; gateways of the same zone prefer it.
  std::string zone;
  std::string listen;
  std::string operator_listen;
  /// The zones there are, and where they lie; empty: operators may name any.
  RegionMap regions;
  /// Where leafs and operators come who speak the dialect; empty: none do.
  std::string service_listen;
  /// Where clients ask for gateways; empty: with `service_listen`.
  std::string directory_listen;
  /// How long a client may rely on the gateways it was told.
  Duration directory_time_to_live{};
  /// A leaf that sent no heartbeat for this long counts as gone.
  Duration leaf_silence_limit{};
  std::string operator_token_file;
  /// Content of that file; empty: operators come over loopback and need none.
  std::string operator_token;
  std::string data_folder;
  std::string port_file;
  /// "machine=IP:port" of every control machine, this one too.
  std::vector<std::string> machines;
  /// Instead of `machines`: frame addresses of some control machines. The others join through them.
  std::vector<std::string> seeds;
  /// First start of a new cluster: a seed with an empty data folder prepares it itself.
  bool bootstrap = false;
  /// Voters to grow to; zero: as many as `machines`.
  size_t voters = 0;
  Duration replace_silent_after{};
  /// The file these were read from; empty: flags only.
  std::string path;
  size_t snapshot_log_bytes = 0;
  Duration election_timeout{};
};

/// @return the settings, or every error of the file and the flags.
absl::StatusOr<ControlSettings> ReadControlSettings(const std::string& path);

/// Prepares an empty data folder of a new cluster; done once on each of its machines.
absl::Status FormatControl(const ControlSettings& settings);

class ControlProcess {
 public:
  /// @param dialect may be null if nobody speaks one; outlives this object.
  ControlProcess(ControlSettings settings, const control::Dialect* dialect, net::EventLoop* loop);

  /// Recovers the data folder and starts listening. A disk that takes no bytes is no failure: the
  /// process then waits for it in Run() and listens once it does.
  absl::Status Start();
  /// Runs until a planned stop is over. While the disk takes no bytes the replica has no part in
  /// the group; the other duties of the process go on. @return damage of the data folder, if any.
  absl::Status Run();
  void Stop();
  /// Reads the settings file again; only the seeds may have changed.
  void Reload();

 private:
  using ReplyCb = std::function<void(const control::OperatorReply&)>;

  /// The data folder, read.
  struct OpenedStorage {
    std::unique_ptr<storage::PosixFileSystem> files;
    std::unique_ptr<storage::LogStorage> log;
    wire::Identity identity;
    storage::RecoveredState recovered;
  };
  absl::StatusOr<OpenedStorage> OpenStorage() const;
  /// Recovers the data folder and makes the replica on it, in place of one whose disk failed. The
  /// old replica stays if the disk still fails.
  absl::Status OpenReplica(Timestamp now);
  control::ControlOptions ReplicaOptions() const;
  /// Takes note of a replica that cannot work, and tries again if its disk may come back.
  void OnReplicaFailure(Timestamp now, const absl::Status& failure);
  /// Opens what others connect to.
  absl::Status Listen();
  Timestamp Tick(Timestamp now);
  void CarryOut();
  void SendToSessions(const control::SessionMessage& message);
  void SendToPeer(const std::string& address, const wire::Envelope& envelope);
  void OnFrame(uint64_t session, const wire::Envelope& envelope);
  void OnOperator(const http::HttpRequest& request, http::Responder responder);
  void OnChange(const http::HttpRequest& request, http::Responder responder);
  /// Answers with the configuration, without API keys.
  void ReadConfig(Timestamp now, http::Responder responder);
  std::string MetricsText(Timestamp now) const;
  /// Remembers who waits for a reply. @return the ticket to ask with.
  control::TicketId Await(ReplyCb on_reply);
  void CommitLeafs(Timestamp now);
  absl::Status ListenForDialect();
  void OnDialect(const http::HttpRequest& request, http::Responder responder);
  void Run(control::PutDocument command, http::Responder responder);
  void Run(const control::GetDocument& command, http::Responder responder);
  void Run(control::ReportLeaf command, http::Responder responder);
  /// Whether a later life of the leaf has been heard of.
  bool IsFormerLife(const std::string& leaf, uint64_t born_ms) const;
  void Run(const control::RetireLeaf& command, http::Responder responder);
  void Run(const control::FindGateways& command, http::Responder responder);
  void Run(const control::OrderZone& command, http::Responder responder);
  /// Submits an order on a zone, based on what is known of the zone; again if that was out of date,
  /// until `until`: whoever gave the order has turned to another machine by then.
  void SubmitZoneOrder(config::Change change, Timestamp until, http::Responder responder);
  /// Whether operators may name the zone: the settings list it, or a leaf is there.
  bool KnowsZone(const std::string& zone) const;
  /// Submits a change; answers with acceptance or the refusal. @param then runs before the answer
  /// if the change is in force.
  void SubmitFor(const config::Change& change, http::Responder responder,
                 const std::function<void()>& then);

  ControlSettings settings_;
  net::EventLoop* loop_;
  std::unique_ptr<storage::PosixFileSystem> files_;
  std::unique_ptr<storage::LogStorage> storage_;
  /// Null until the disk has taken bytes for the first time.
  std::unique_ptr<control::ControlServer> server_;
  /// When to try a disk again that took no bytes; unset: it works.
  std::optional<Timestamp> retry_disk_at_;
  /// Damage that ends the process.
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
  SettingsWatch watch_;
  GracefulStop stop_;
};

}  // namespace pumicedyke::server
