// Decides which requests the fleet stops, and when it releases them. Collects the reports of
// gateways and nodes and proposes configuration changes, which are forwarded to the leader if that
// is another machine. No clock.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/types.h"
#include "config/config_state.h"
#include "quarantine/crash_evidence.h"

namespace pumicedyke::control {

struct QuarantineOptions {
  quarantine::EvidenceOptions evidence;
  /// Minimum interval between evaluations of the evidence.
  Duration interval = Milliseconds(100);
  /// Additional interval for each recorded leaf crash, since the cost of an evaluation grows with
  /// their number.
  Duration interval_per_leaf = Microseconds(100);
  /// How long the evidence must hold, since a report that the request succeeded elsewhere may be in
  /// transit.
  Duration settle = Milliseconds(100);
  /// The same on a machine that does not lead. The leader proposes first, but a leader that was
  /// restarted may have seen fewer reports.
  Duration follower_settle = Milliseconds(400);
  /// A proposal that was not answered within this time is repeated.
  Duration answer_timeout = Seconds(2);
  /// Time after which a stopped request is released conditionally, doubled each time that it
  /// crashes leafs again. Operators need minutes to repair the fault of the leafs.
  Duration hold = Seconds(600);
  int max_doublings = 4;
  /// Maximum number of suspects announced at a time: when a zone is lost, every request there may
  /// be one.
  size_t max_new_suspects = 64;
};

/// A change to propose, with the reason for the log.
struct QuarantineProposal {
  config::Change change;
  quarantine::CrashFinding finding;
  const char* reason = "";
};

class QuarantineManager {
 public:
  explicit QuarantineManager(QuarantineOptions options)
      : options_(options), evidence_(options.evidence) {}

  /// Records a report. Reports may be repeated, and may be relayed by other control machines.
  void OnReport(Timestamp now, const wire::RunReport& report) { evidence_.OnReport(now, report); }
  /// @return a change to propose now, if any.
  std::optional<QuarantineProposal> Propose(Timestamp now, const config::ConfigState& committed,
                                            bool leads);
  /// Returns requests that became suspects since the last call. Gateways and nodes run a suspect at
  /// one leaf first.
  std::vector<RequestIdentity> TakeNewSuspects() { return std::exchange(new_suspects_, {}); }
  /// Returns the evidence against suspects that is not sufficient and has changed since it was last
  /// returned, for the log; a few at a time.
  std::vector<quarantine::CrashFinding> TakeInsufficient() {
    return std::exchange(insufficient_, {});
  }
  /// Returns the next change of the replicated list of suspects: adds the suspects known here, or
  /// removes those that have succeeded or were not seen for long. Unset: the list is up to date.
  /// @param wall_ms wall clock of this machine.
  std::optional<quarantine::SuspectOperation> NextSuspectOperation(
      const quarantine::SuspectTable& table, int64_t wall_ms) const;
  /// Requests that were running at several leafs when these crashed, with the number of these
  /// leafs.
  const std::map<RequestIdentity, size_t>& suspects() const { return suspects_; }
  /// Notifies that the last proposal was decided, or that its outcome is unknown.
  void OnAnswer() { pending_ = false; }
  const quarantine::CrashEvidence& evidence() const { return evidence_; }

 private:
  std::optional<QuarantineProposal> ProposeStop(Timestamp now, const config::ConfigState& committed,
                                                bool leads);
  std::optional<QuarantineProposal> ProposeRelease(Timestamp now,
                                                   const config::ConfigState& committed,
                                                   bool leads);
  /// Finds new suspects, and evidence for the log.
  void UpdateSuspects(const config::ConfigState& committed);
  /// Updates the times since which this machine knows the stopped requests.
  void UpdateStopped(Timestamp now, const config::ConfigState& committed);
  Duration HoldDuration(const config::QuarantineRecord& record) const;

  QuarantineOptions options_;
  quarantine::CrashEvidence evidence_;
  /// When the evidence against a request first sufficed.
  std::map<RequestIdentity, Timestamp> confirmed_since_;
  std::map<RequestIdentity, Timestamp> stopped_since_;
  std::map<RequestIdentity, size_t> suspects_;
  /// Suspects that were returned by TakeNewSuspects() or will be next.
  std::set<RequestIdentity> announced_;
  std::vector<RequestIdentity> new_suspects_;
  uint64_t suspects_version_ = 0;
  /// Evidence for the log.
  std::vector<quarantine::CrashFinding> insufficient_;
  uint64_t evaluated_version_ = 0;
  Timestamp evaluated_at_{};
  bool pending_ = false;
  Timestamp proposed_{};
};

}  // namespace pumicedyke::control
