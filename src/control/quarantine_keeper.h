// Decides which requests the fleet is to stop, and when it lets them go again: gathers what
// gateways and nodes report, and proposes changes of the configuration, to the leader if that is
// another machine. No clock.
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
  /// Evidence is judged this often at most.
  Duration interval = Milliseconds(100);
  /// The same for each end of a leaf that is remembered: judging costs time as they do.
  Duration interval_per_leaf = Microseconds(100);
  /// Evidence has to hold this long: word that a request has succeeded elsewhere may be under way.
  Duration settle = Milliseconds(100);
  /// The same at a machine that does not lead: the leader comes first, but one that was restarted
  /// may have seen less.
  Duration follower_settle = Milliseconds(400);
  /// A proposal that was not answered is made again after this.
  Duration answer_patience = Seconds(2);
  /// A stopped request is tried again after this, and each time that it ends leafs again after
  /// twice as long as before: whoever mends the leafs' fault needs minutes.
  Duration hold = Seconds(600);
  int most_doublings = 4;
  /// Suspects that are told of at a time: while a zone is lost, everybody there may be one.
  size_t most_new_suspects = 64;
};

/// A change to propose, and why, for the log.
struct QuarantineProposal {
  config::Change change;
  quarantine::Verdict verdict;
  const char* reason = "";
};

class QuarantineKeeper {
 public:
  explicit QuarantineKeeper(QuarantineOptions options)
      : options_(options), evidence_(options.evidence) {}

  /// Reports may come twice, and by way of other control machines.
  void OnReport(Timestamp now, const wire::RunReport& report) { evidence_.OnReport(now, report); }
  /// @return a change to propose now, if any.
  std::optional<QuarantineProposal> Propose(Timestamp now, const config::ConfigState& committed,
                                            bool leads);
  /// Requests that have come under suspicion since the last call: whoever gets one tries it at one
  /// leaf first.
  std::vector<RequestIdentity> TakeNewSuspects() { return std::exchange(new_suspects_, {}); }
  /// The last proposal was decided, or its fate is unknown.
  void OnAnswer() { pending_ = false; }
  const quarantine::CrashEvidence& evidence() const { return evidence_; }

 private:
  std::optional<QuarantineProposal> ProposeStop(Timestamp now, const config::ConfigState& committed,
                                                bool leads);
  std::optional<QuarantineProposal> ProposeRelease(Timestamp now,
                                                   const config::ConfigState& committed,
                                                   bool leads);
  void NoteSuspects();
  /// Keeps note of since when this machine has known each request to be stopped.
  void NoteStopped(Timestamp now, const config::ConfigState& committed);
  Duration HoldOf(const config::QuarantineRecord& record) const;

  QuarantineOptions options_;
  quarantine::CrashEvidence evidence_;
  /// Since when the evidence has been enough.
  std::map<RequestIdentity, Timestamp> guilty_since_;
  std::map<RequestIdentity, Timestamp> stopped_since_;
  /// Told of before.
  std::set<RequestIdentity> suspects_;
  std::vector<RequestIdentity> new_suspects_;
  uint64_t suspected_version_ = 0;
  uint64_t judged_version_ = 0;
  Timestamp judged_{};
  bool pending_ = false;
  Timestamp proposed_{};
};

}  // namespace pumicedyke::control
