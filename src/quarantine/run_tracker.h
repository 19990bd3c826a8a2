// Tracks the sub-requests of one process and reports to the control machines which requests lost
// runs because the leaf's connection closed without an answer, which of these requests have since
// succeeded, and which of the leafs are still alive. Does not read a clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/request_identity.h"
#include "common/types.h"
#include "query/messages.h"
#include "wire/messages.h"

namespace pumicedyke::quarantine {

struct RunTrackerOptions {
  /// Observations older than this are discarded.
  Duration retention = Seconds(600);
  /// Lifetime of a warning: as long as the evidence that control has.
  Duration warning = Seconds(600);
  /// Maximum number of warnings; the oldest are evicted first.
  size_t max_warnings = 2048;
  /// Maximum numbers of tracked requests and leafs; the oldest are evicted first.
  size_t max_suspects = 512;
  size_t max_leafs = 4096;
  /// A request that lost runs at this many leafs and has not succeeded since is tried at one leaf
  /// first.
  size_t suspect_leaf_threshold = 3;
};

/// One sub-request at a leaf.
struct Run {
  RequestIdentity identity;
  /// Distinguishes the client's attempts at the same request.
  uint64_t attempt = 0;
  std::string leaf;
  std::string service;
  Timestamp sent{};
  /// Number of the trial that the run is part of; zero: none.
  uint32_t trial = 0;
  /// Whether the leaf's next incarnation may have the same name, so that a later answer under it
  /// does not prove that the leaf has not crashed.
  bool leaf_name_reused = false;
};

/// Why a request counts as a suspect.
enum class Suspicion {
  kNone,
  /// This process lost its runs at several leafs.
  kOwnLosses,
  /// A control machine warned of it.
  kNotice,
};

/// Used on the event loop's thread only.
class RunTracker {
 public:
  explicit RunTracker(RunTrackerOptions options) : options_(options) {}

  /// Starts to track a run. Ignores runs of requests without a known identity.
  void OnSent(SubRequestId id, Run run);
  /// Records the outcome of a run, including one whose result is no longer needed.
  void OnEnded(Timestamp now, const query::LeafReply& reply);
  /// Stops tracking a run whose outcome will never be known.
  void OnDropped(SubRequestId id) { runs_.erase(id); }
  /// Handles a new set of quarantined requests. Reports again those that have succeeded here after
  /// they lost runs.
  void OnQuarantined(const std::set<RequestIdentity>& requests);

  /// Handles a warning of the control machines: other processes have seen these requests lose runs.
  void OnSuspectNotice(Timestamp now, const std::vector<RequestIdentity>& requests);

  /// A control machine knows that the request has succeeded.
  void OnCleared(const RequestIdentity& identity);

  /// Whether, and why, the request should be tried at one leaf before it goes to many.
  Suspicion SuspicionOf(Timestamp now, const RequestIdentity& identity) const;
  bool IsSuspect(Timestamp now, const RequestIdentity& identity) const {
    return SuspicionOf(now, identity) != Suspicion::kNone;
  }
  /// Returns the number of requests that count as suspects.
  size_t CountSuspects(Timestamp now) const;
  /// Whether earlier attempts at the request lost runs and none has succeeded since.
  bool HasUnclearedLosses(const RequestIdentity& identity) const;
  /// Returns the observations that were not reported yet, if any.
  std::optional<wire::RunReport> TakeReport();
  bool has_report() const { return report_.has_value(); }

 private:
  struct Suspect {
    std::set<std::string> leafs;
    Timestamp last_lost{};
    /// Whether the request has succeeded since its last lost run.
    bool cleared = false;
  };

  bool HasOwnLosses(const RequestIdentity& identity) const;
  bool IsWarned(Timestamp now, const RequestIdentity& identity) const;
  void RecordLost(Timestamp now, const Run& run);
  void RecordAnswer(const Run& run, bool succeeded);
  void RecordSuccess(const RequestIdentity& identity);
  void DiscardOld(Timestamp now);
  wire::RunReport& Report();

  RunTrackerOptions options_;
  std::unordered_map<SubRequestId, Run> runs_;
  std::map<RequestIdentity, Suspect> suspects_;
  /// Time of the last warning by request.
  std::map<RequestIdentity, Timestamp> warnings_;
  /// Time of the last lost run by leaf.
  std::map<std::string, Timestamp> lost_at_;
  std::optional<wire::RunReport> report_;
};

}  // namespace pumicedyke::quarantine
