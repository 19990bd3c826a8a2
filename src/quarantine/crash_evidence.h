// Finds fatal requests, those that crash the leafs that run them, from the reports of all gateways
// and nodes. Three rules keep requests that only ran at the same time from being blamed: a request
// that succeeds anywhere is cleared, each crash is attributed to the request that explains the most
// crashes, and the crashes left over must be sufficient evidence by themselves. Does not read a
// clock.
#pragma once

#include <bitset>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/request_identity.h"
#include "common/types.h"
#include "quarantine/suspect_table.h"
#include "wire/messages.h"

namespace pumicedyke::quarantine {

struct EvidenceOptions {
  /// Reports older than this are discarded.
  Duration retention = Seconds(600);
  /// Maximum number of recorded crashes (the oldest are evicted first), and of requests per crash.
  size_t max_leafs = 8192;
  size_t max_runs_per_leaf = 64;
  /// Maximum number of processes whose repeated reports are recognized; the oldest are evicted
  /// first.
  size_t max_reporters = 16384;
  /// Maximum number of requests evaluated at a time; those at the most crashed leafs come first.
  size_t max_candidates = 32;
  /// Runs lost at one leaf within this window belong to the same crash. Later losses count as
  /// another crash, since leafs with fixed names restart under them.
  Duration same_crash_window = Seconds(1);
  /// A request is confirmed as fatal if at least this many leafs crashed while running it ...
  size_t leafs = 3;
  /// ... in at least this many client attempts: two attempts of one client may coincide with an
  /// unrelated crash ...
  size_t attempts = 3;
  /// ... at least at this many points in time, separated by the gap: when all leafs crash at once,
  /// a client that has sent several attempts is present with all of them ...
  size_t time_points = 2;
  Duration time_point_gap = Milliseconds(500);
  /// ... and it was running at this share of the leafs of its services that crashed between its
  /// first and last crash. Crashes of which another request is the only candidate are not counted,
  /// because several requests may be fatal at the same time.
  double share = 0.5;
  /// It is also confirmed, whatever else crashes, if it lost a run in the trial of this number
  /// (suspect_table.h): the leafs of the trials were chosen for it, and it has succeeded nowhere.
  uint32_t failed_trials = kMaxTrials;
};

/// The evidence on which a request is confirmed as fatal.
struct CrashFinding {
  RequestIdentity identity;
  size_t leafs = 0;
  size_t attempts = 0;
  size_t time_points = 0;
  /// Share of the crashes of its services' leafs, between its first and last one, that it explains.
  double share = 0;
  /// Highest number of a trial in which it lost a run; zero: none.
  uint32_t failed_trial = 0;
};

class CrashEvidence {
 public:
  explicit CrashEvidence(EvidenceOptions options) : options_(options) {}

  /// Records a report. Ignores repeated ones. Numbered reports may arrive in any order.
  void OnReport(Timestamp now, const wire::RunReport& report);
  void Tick(Timestamp now);
  /// Discards the evidence against the request.
  void Clear(const RequestIdentity& identity);

  /// Returns the requests that are confirmed as fatal.
  /// @param known_fatal requests confirmed earlier, for which one more crash is sufficient.
  std::vector<CrashFinding> FatalRequests(const std::set<RequestIdentity>& known_fatal) const;
  /// Returns the evidence against a request, sufficient or not. Crashes that another request
  /// explains count, too.
  CrashFinding Assess(const RequestIdentity& identity,
                      const std::set<RequestIdentity>& known_fatal) const;
  /// Returns the requests that were running at enough crashed leafs, regardless of the number of
  /// attempts, with the number of these leafs.
  std::map<RequestIdentity, size_t> Suspects() const;
  /// Whether the request has succeeded since its last lost run.
  bool HasSucceeded(const RequestIdentity& identity) const { return succeeded_.contains(identity); }
  /// Rises with each change of the evidence.
  uint64_t version() const { return version_; }
  size_t leafs() const { return crashes_.size(); }

 private:
  /// The requests in flight at a leaf when its connections were lost.
  struct LeafCrash {
    std::string service;
    Timestamp at{};
    /// Attempts by request.
    std::map<RequestIdentity, std::set<uint64_t>> runs;
    /// Numbers of the trials of which these runs were part.
    std::map<RequestIdentity, uint32_t> trials;
  };
  /// A leaf and the sequence number of its crash.
  using CrashKey = std::pair<std::string, uint64_t>;
  using LeafCrashes = std::map<CrashKey, const LeafCrash*>;

  /// Number of reports before the highest one of a process that may still arrive.
  static constexpr size_t kReorderWindow = 256;

  /// The reports received from one process.
  struct Reporter {
    uint64_t highest = 0;
    /// Bit n: report `highest - n` was received.
    std::bitset<kReorderWindow> received;
    Timestamp last_contact{};
  };
  /// The report that cleared a request.
  struct Success {
    Timestamp at{};
    uint64_t reporter = 0;
    uint64_t number = 0;
  };

  /// Returns true if the report was not received before.
  bool IsNew(Timestamp now, const wire::RunReport& report);
  /// Returns true if the same process has reported a success of the request in a later report.
  bool HasSucceededSince(const wire::RunReport& report, const RequestIdentity& identity) const;
  void RecordLost(Timestamp seen, const wire::LostRun& run);
  static void RecordTrial(LeafCrash* crash, const wire::LostRun& run);
  /// Returns the record of the crash to which the lost run belongs; creates it if necessary.
  LeafCrash& FindOrAddCrash(Timestamp seen, const wire::LostRun& run);
  /// The crashes during which one request was running.
  struct Occurrence {
    size_t leafs = 0;
    std::set<uint64_t> attempts;
  };
  std::map<RequestIdentity, Occurrence> Occurrences() const;
  /// Returns the requests that may be fatal, before any crash is attributed to one of them.
  std::set<RequestIdentity> Candidates(const std::set<RequestIdentity>& known_fatal) const;
  LeafCrashes AllCrashes() const;
  /// Returns the requests that lost their last trial.
  std::set<RequestIdentity> FailedInTrials() const;
  CrashFinding Evaluate(const RequestIdentity& identity, const LeafCrashes& unexplained,
                        const std::set<RequestIdentity>& candidates) const;
  size_t CountTimePoints(std::vector<Timestamp> times) const;
  bool IsSufficient(const CrashFinding& finding,
                    const std::set<RequestIdentity>& known_fatal) const;

  EvidenceOptions options_;
  std::map<CrashKey, LeafCrash> crashes_;
  uint64_t next_crash_ = 1;
  std::map<RequestIdentity, Success> succeeded_;
  std::map<uint64_t, Reporter> reporters_;
  uint64_t version_ = 0;
};

}  // namespace pumicedyke::quarantine
