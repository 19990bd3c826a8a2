// A node's side of the configuration feed: greets a control machine, applies what it sends in
// order, never goes back, and turns to another machine when one stays silent.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/types.h"
#include "config/config_state.h"
#include "wire/messages.h"

namespace pumicedyke::node {

struct SubscriberOptions {
  std::string cluster;
  std::string node;
  uint64_t incarnation = 0;
  size_t control_machines = 1;
  Duration hello_interval = Milliseconds(250);
  /// The same until the first configuration came.
  Duration starting_hello_interval = Milliseconds(100);
  Duration shortest_hello_interval = Milliseconds(25);
  /// Silence after which another control machine is tried.
  Duration silence_limit = Milliseconds(1000);
  /// The same until the first configuration came.
  Duration starting_silence_limit = Milliseconds(400);
  /// Whoever sets this calls TakeChangedLeafs().
  bool note_changed_leafs = false;
  /// Off only in simulations that show what the check is for.
  bool monotone_version = true;
};

/// Earlier than any clock's reading, by more than any bound.
inline constexpr Timestamp kNeverProven{-std::chrono::hours(24)};

class ConfigSubscriber {
 public:
  ConfigSubscriber(SubscriberOptions options, Timestamp now);

  /// @return the greeting to send now to the machine `control()`, if one is due.
  std::optional<wire::Envelope> Tick(Timestamp now);
  /// @return whether the configuration changed.
  bool OnFeed(Timestamp now, const wire::ConfigFeed& feed);
  /// The connection broke: the next machine is tried at once.
  void OnDisconnected(Timestamp now);

  /// Leafs that the changes since the last call were about: they report, were forgotten or left for
  /// good. A whole configuration may change any leaf and names none.
  std::vector<std::string> TakeChangedLeafs() { return std::exchange(changed_leafs_, {}); }

  /// Another machine than `control()` suits better.
  void TurnTo(Timestamp now, size_t control);
  /// More control machines are known than at the start.
  void SetControlMachines(size_t count) { options_.control_machines = count; }

  /// Index of the control machine to talk to.
  size_t control() const { return control_; }
  bool ready() const { return ready_; }
  const config::ConfigState& config() const { return config_; }
  /// Time since this configuration was last proved current, or since the start.
  Duration Age(Timestamp now) const { return now - std::max(started_, proven_at_); }
  /// No change that was acknowledged before is missing here, by word of a majority of the control
  /// machines; long ago before the first proof.
  Timestamp proven_at() const { return proven_at_; }

 private:
  void TurnToNext(Timestamp now);
  bool ApplyChanges(const wire::ConfigFeed& feed);
  void NoteChangedLeafs(const config::Change& change);

  SubscriberOptions options_;
  config::ConfigState config_;
  std::vector<std::string> changed_leafs_;
  bool ready_ = false;
  size_t control_;
  Timestamp last_feed_;
  Timestamp started_;
  Timestamp proven_at_ = kNeverProven;
  Timestamp turned_at_;
  Timestamp next_hello_;
  Timestamp last_hello_{};
};

}  // namespace pumicedyke::node
