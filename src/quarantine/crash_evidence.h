// Which requests end the leafs that run them, judged by what all gateways and nodes report. A
// request that was merely there is told from the one that did it: whoever succeeds anywhere is
// innocent, a leaf's end is put down to the request that explains most ends, and the rest must be
// enough by itself. No clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/request_identity.h"
#include "common/types.h"
#include "wire/messages.h"

namespace pumicedyke::quarantine {

struct EvidenceOptions {
  /// What was reported is forgotten after this.
  Duration memory = Seconds(600);
  /// Leafs that are remembered, the oldest are forgotten first; and requests at each of them.
  size_t most_leafs = 8192;
  size_t most_runs_per_leaf = 64;
  /// Processes whose reports are told from ones that come again; the oldest are forgotten first.
  size_t most_reporters = 16384;
  /// Requests that are judged at a time, those at most leafs first.
  size_t most_accused = 32;
  /// Runs that are lost at one leaf within this time are lost by one end of it. Later it has ended
  /// again: leafs with names of their own come back under them.
  Duration one_end = Seconds(1);
  /// A request is guilty if this many leafs ended while they had it ...
  size_t leafs = 3;
  /// ... in this many attempts of clients: two may be one client's bad luck in a crash that has
  /// nothing to do with it ...
  size_t attempts = 3;
  /// ... at this many moments, so far apart: when everything crashes at once, whoever has asked
  /// several times was there with all of it ...
  size_t moments = 2;
  Duration moment_gap = Milliseconds(500);
  /// ... and it was at this part of all leafs of its services that ended meanwhile, but for those
  /// that ended under one other accused request alone: several may be guilty at the same time.
  double share = 0.5;
};

/// Why a request is found guilty.
struct Verdict {
  RequestIdentity identity;
  size_t leafs = 0;
  size_t attempts = 0;
  size_t moments = 0;
  /// Part of the ends of its services' leafs, in its time, that it explains.
  double share = 0;
};

class CrashEvidence {
 public:
  explicit CrashEvidence(EvidenceOptions options) : options_(options) {}

  /// A report that has come before, or that a later one of the same process overtook, is passed
  /// over.
  void OnReport(Timestamp now, const wire::RunReport& report);
  void Tick(Timestamp now);
  /// What is held against the request counts no more.
  void Acquit(const RequestIdentity& identity);

  /// @param offenders requests that were found guilty before: one more leaf is enough.
  std::vector<Verdict> Guilty(const std::set<RequestIdentity>& offenders) const;
  /// Requests that were at enough leafs that ended, in however few attempts: they may be guilty.
  std::set<RequestIdentity> Suspects() const;
  /// Whether the request has succeeded somewhere after it was last seen to lose a run.
  bool HasSucceeded(const RequestIdentity& identity) const { return succeeded_.contains(identity); }
  /// Counts changes of what is known.
  uint64_t version() const { return version_; }
  size_t leafs() const { return ends_.size(); }

 private:
  /// What was in flight at a leaf when its connections ended.
  struct LeafEnd {
    std::string service;
    Timestamp at{};
    /// Attempts, by request.
    std::map<RequestIdentity, std::set<uint64_t>> runs;
  };
  /// A leaf and the number of its end.
  using EndKey = std::pair<std::string, uint64_t>;
  using LeafEnds = std::map<EndKey, const LeafEnd*>;

  struct LastReport {
    uint64_t number = 0;
    Timestamp at{};
  };

  /// Whether the report is the latest of its process.
  bool IsNew(Timestamp now, const wire::RunReport& report);
  void NoteLost(Timestamp seen, const wire::LostRun& run);
  /// The end of the leaf that is happening now.
  LeafEnd& EndOf(Timestamp seen, const wire::LostRun& run);
  /// What one request was there for.
  struct Presence {
    size_t leafs = 0;
    std::set<uint64_t> attempts;
  };
  std::map<RequestIdentity, Presence> Presences() const;
  /// Requests that may be guilty, before any end is put down to another one.
  std::set<RequestIdentity> Accused(const std::set<RequestIdentity>& offenders) const;
  Verdict Judge(const RequestIdentity& identity, const LeafEnds& unexplained,
                const std::set<RequestIdentity>& accused) const;
  size_t CountMoments(std::vector<Timestamp> times) const;
  bool Suffices(const Verdict& verdict, const std::set<RequestIdentity>& offenders) const;

  EvidenceOptions options_;
  std::map<EndKey, LeafEnd> ends_;
  uint64_t next_end_ = 1;
  std::map<RequestIdentity, Timestamp> succeeded_;
  std::map<uint64_t, LastReport> reporters_;
  uint64_t version_ = 0;
};

}  // namespace pumicedyke::quarantine
