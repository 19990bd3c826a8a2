// Decides which leafs a control machine proposes to commit as reporting to it, and which to forget.
// One proposal is under way at a time, so leafs that come in a crowd share one. No clock.
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
};

class LeafCommitter {
 public:
  /// @param self the reporter that this machine commits leafs under.
  LeafCommitter(LeafCommitterOptions options, MemberId self, Timestamp now)
      : options_(options), self_(self), started_(now) {}

  /// @param members ids of the control machines; @param leads whether this machine leads.
  /// @return a change to propose now, if any.
  std::optional<config::Change> Propose(Timestamp now, const registry::LeafRegistry& registry,
                                        const config::ConfigState& committed,
                                        const std::set<MemberId>& members, bool leads);
  /// The last proposal was decided, or its fate is unknown.
  void OnAnswer() { pending_ = false; }

 private:
  std::optional<config::Change> ProposeReports(const registry::LeafRegistry& registry,
                                               const config::ConfigState& committed);
  std::optional<config::Change> ProposeForgetting(Timestamp now,
                                                  const registry::LeafRegistry& registry,
                                                  const config::ConfigState& committed,
                                                  const std::set<MemberId>& members, bool leads);

  LeafCommitterOptions options_;
  MemberId self_;
  Timestamp started_;
  /// When each leaf had been heard of last as it was proposed or found settled. A leaf that reports
  /// elsewhere by now is proposed again only after another heartbeat: else two machines would take
  /// it from each other.
  std::map<std::string, Timestamp> proposed_as_of_;
  bool pending_ = false;
  Timestamp proposed_{};
  /// Reporters that are no members, and since when this machine has seen that.
  std::map<MemberId, Timestamp> orphaned_;
};

}  // namespace pumicedyke::control
