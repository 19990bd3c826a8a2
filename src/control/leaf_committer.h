// Decides which leafs a control machine proposes to commit as reporting to it, and which to forget.
// One proposal is under way at a time, so leafs that come in a crowd share one. Work grows with the
// heartbeats, not with the leafs that are committed: ten times a second, looking at all of them
// took half of a control machine's processor time at 700 leafs. No clock.
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
  /// Time between two proposals.
  Duration interval = Milliseconds(100);
  /// A proposal that was not answered is made again after this.
  Duration answer_patience = Seconds(2);
  /// A machine that has just started leaves the leafs that reported to its earlier life this long
  /// to report again. The same holds for leafs whose machine is no member any more.
  Duration return_patience = Seconds(10);
  /// All that is committed is looked through this often, for leafs whose machine has gone.
  Duration survey_interval = Seconds(1);
};

class LeafCommitter {
 public:
  /// @param self the reporter that this machine commits leafs under.
  LeafCommitter(LeafCommitterOptions options, MemberId self, Timestamp now)
      : options_(options), self_(self), started_(now) {}

  /// @param registry its news since the last call are taken.
  /// @param members ids of the control machines; @param leads whether this machine leads.
  /// @return a change to propose now, if any.
  std::optional<config::Change> Propose(Timestamp now, registry::LeafRegistry* registry,
                                        const config::ConfigState& committed,
                                        const std::set<MemberId>& members, bool leads);
  /// The last proposal was decided, or its fate is unknown.
  void OnAnswer() { pending_ = false; }

 private:
  std::optional<config::Change> ProposeReports(const registry::LeafRegistry& registry,
                                               const config::ConfigState& committed,
                                               const std::set<std::string>& heard);
  /// Own leafs among `leafs` that do not report any more.
  std::optional<config::Change> ProposeForgetting(const registry::LeafRegistry& registry,
                                                  const config::ConfigState& committed,
                                                  const std::set<std::string>& leafs) const;
  /// Looks through all that is committed.
  std::optional<config::Change> Survey(Timestamp now, const registry::LeafRegistry& registry,
                                       const config::ConfigState& committed,
                                       const std::set<MemberId>& members, bool leads);

  LeafCommitterOptions options_;
  MemberId self_;
  Timestamp started_;
  /// The registry's leafs have been looked at since this machine started. From then on a leaf that
  /// is not committed as its own is proposed once after each heartbeat: one that reports elsewhere
  /// by now would be taken to and fro between two machines.
  bool looked_at_all_ = false;
  /// Left the registry, and have not been proposed to be forgotten yet.
  std::set<std::string> removed_;
  /// When all that is committed was looked through, and for whom.
  Timestamp surveyed_{};
  std::set<MemberId> surveyed_members_;
  bool surveyed_as_leader_ = false;
  bool pending_ = false;
  Timestamp proposed_{};
  /// Reporters that are no members, and since when this machine has seen that.
  std::map<MemberId, Timestamp> orphaned_;
};

}  // namespace pumicedyke::control
