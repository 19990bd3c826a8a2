// A model of a back end, for tests, the simulator, benchmarks and the stand-in leaf process: slots,
// stragglers, pauses, cold starts, load shedding, draining, cancellation and lagging snapshots.
// Deterministic for a seed; uses no sockets, clocks or threads.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/types.h"
#include "query/messages.h"

namespace pumicedyke::emulator {

struct LeafModelOptions {
  std::string name;
  uint32_t slots = 2;
  /// Parameters of the log-normal service time.
  double median_ms = 4;
  double sigma = 0.4;
  /// Share of sub-requests that take `straggler_min` to `straggler_max` times longer.
  double straggler_share = 0.01;
  double straggler_min = 10;
  double straggler_max = 50;
  /// The leaf pauses for `pause` every `pause_every`; zero means never.
  Duration pause{};
  Duration pause_every = Seconds(10);
  Duration pause_offset{};
  /// For `cold_time` after its start the leaf is slower by `cold_factor`.
  Duration cold_time{};
  double cold_factor = 5;
  /// Requests per slot, running and queued, at which the leaf sheds further ones.
  double shed_per_slot = 2;
  size_t results_per_shard = 2;
  /// Whether the leaf serves every snapshot and shard, not only those set by SetHeldShards().
  bool holds_everything = true;
  /// Share of sub-requests answered on the newest held snapshot instead of the requested one.
  double ignores_snapshot = 0;
  /// Whether runs() records every sub-request that ran.
  bool record_runs = true;
  uint64_t seed = 1;
};

/// A sub-request that ran, as ground truth for checks.
struct RunRecord {
  std::string origin;
  SubRequestId id;
  std::string service;
  std::string idempotency_key;
  std::string query;
  ShardId shard;
  SnapshotId snapshot;
  Timestamp started;
};

class LeafModel {
 public:
  LeafModel(LeafModelOptions options, Timestamp now);

  void Submit(Timestamp now, const query::LeafRequest& request);
  /// Cancels a request that is still queued; has no effect on a running one.
  void Cancel(Timestamp now, const std::string& origin, SubRequestId id);
  void SetDraining(bool draining) { draining_ = draining; }
  bool draining() const { return draining_; }
  /// Sets the shards of a snapshot that the leaf holds.
  void SetHeldShards(const std::string& service, SnapshotId snapshot, std::set<ShardId> shards);
  void RemoveSnapshot(const std::string& service, SnapshotId snapshot);

  /// Advances the model to `now`. @return the replies that are due.
  std::vector<query::LeafReply> Advance(Timestamp now);
  /// Restarts the process: drops all queued and running requests.
  void Restart(Timestamp now);
  /// Returns the time of the next due reply, if any.
  std::optional<Timestamp> NextEvent() const;

  uint32_t load() const { return static_cast<uint32_t>(running_.size() + queue_.size()); }
  const std::vector<RunRecord>& runs() const { return runs_; }
  uint64_t received() const { return received_; }
  uint64_t shed() const { return shed_; }
  /// Arrival times of all requests, refused ones included, if RecordReceivedTimes() was called.
  const std::vector<Timestamp>& received_at() const { return received_at_; }
  void RecordReceivedTimes() { record_received_times_ = true; }

  /// Returns the results of a shard for a query on a snapshot; checks compare replies with them.
  static std::vector<query::ResultItem> ResultsOf(const std::string& service, ShardId shard,
                                                  SnapshotId snapshot, const std::string& query,
                                                  size_t count);

 private:
  struct Job {
    query::LeafRequest request;
    Timestamp received;
  };
  struct Running {
    Job job;
    Timestamp finish;
  };

  Timestamp AfterPause(Timestamp time) const;
  Timestamp FinishTime(Timestamp start, Duration service) const;
  Duration DrawService(Timestamp now);
  std::optional<query::LeafStatus> Refusal(const query::LeafRequest& request) const;
  void ReplyAt(Timestamp at, const query::LeafRequest& request, query::LeafStatus status);
  query::LeafReply MakeReply(const query::LeafRequest& request, query::LeafStatus status) const;
  SnapshotId NewestHeld(const query::LeafRequest& request) const;
  void RecordRun(const query::LeafRequest& request, Timestamp start);
  void StartQueued(Timestamp now);

  LeafModelOptions options_;
  std::mt19937_64 random_;
  Timestamp started_;
  bool draining_ = false;
  std::map<std::pair<std::string, SnapshotId>, std::set<ShardId>> held_;
  std::deque<Job> queue_;
  std::vector<Running> running_;
  /// Refusals to send, by due time; a pause delays them.
  std::multimap<Timestamp, query::LeafReply> replies_;
  std::vector<RunRecord> runs_;
  uint64_t received_ = 0;
  uint64_t shed_ = 0;
  bool record_received_times_ = false;
  std::vector<Timestamp> received_at_;
};

}  // namespace pumicedyke::emulator
