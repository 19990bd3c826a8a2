// Decides which leafs a control machine proposes to commit as reporting to it, and which to forget.
// Only one proposal is pending at a time, so leafs that arrive together share one. The work grows
// with the heartbeats, not with the committed leafs: checking all of them ten times a second took
// half of the processor time of a control machine at 700 leafs. No clock.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/types.h"
#include "config/config_state.h"
#include "registry/leaf_registry.h"

namespace pumicedyke::control {

struct LeafCommitterOptions {
  /// Minimum time between two proposals.
  Duration interval = Milliseconds(100);
  /// A proposal that was not answered within this time is repeated.
  Duration answer_timeout = Seconds(2);
  /// After a restart, leafs that reported to the previous incarnation of the machine have this long
  /// to report again. The same holds for leafs whose machine is no longer a member.
  Duration rejoin_timeout = Seconds(10);
  /// Interval for checking all committed leafs for those whose machine was removed.
  Duration check_interval = Seconds(1);
};

class LeafCommitter {
 public:
  /// @param self the reporter ID under which this machine commits leafs.
  LeafCommitter(LeafCommitterOptions options, MemberId self, Timestamp now)
      : options_(options), self_(self), started_(now) {}

  /// @param registry its changes since the last call are consumed.
  /// @param members IDs of the control machines; @param leads whether this machine leads.
  /// @return a change to propose now, if any.
  std::optional<config::Change> Propose(Timestamp now, registry::LeafRegistry* registry,
                                        const config::ConfigState& committed,
                                        const std::set<MemberId>& members, bool leads);
  /// Notifies that the last proposal was decided, or that its outcome is unknown.
  void OnAnswer() { pending_ = false; }

 private:
  std::optional<config::Change> ProposeReports(const registry::LeafRegistry& registry,
                                               const config::ConfigState& committed,
                                               const std::set<std::string>& reporting);
  /// Proposes to forget those of `leafs` that were committed by this machine and no longer report.
  std::optional<config::Change> ProposeForgetting(const registry::LeafRegistry& registry,
                                                  const config::ConfigState& committed,
                                                  const std::set<std::string>& leafs) const;
  /// Checks all committed leafs.
  std::optional<config::Change> CheckAllCommitted(Timestamp now,
                                                  const registry::LeafRegistry& registry,
                                                  const config::ConfigState& committed,
                                                  const std::set<MemberId>& members, bool leads);

  LeafCommitterOptions options_;
  MemberId self_;
  Timestamp started_;
  /// Whether the leafs of the registry were checked since the start of this machine. After that, a
  /// leaf committed by another machine is proposed only once after each heartbeat; otherwise, after
  /// a leaf has moved, two machines would commit it as theirs in turns.
  bool checked_registry_ = false;
  /// Leafs that were removed from the registry and not proposed to be forgotten yet.
  std::set<std::string> removed_;
  /// Time, members and role of the last check of all committed leafs.
  Timestamp checked_at_{};
  std::set<MemberId> checked_members_;
  bool checked_as_leader_ = false;
  bool pending_ = false;
  Timestamp proposed_{};
  /// Reporters that are not members, and when this machine first noticed.
  std::map<MemberId, Timestamp> orphaned_;
};

}  // namespace pumicedyke::control
