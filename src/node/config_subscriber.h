// The node side of the configuration feed: sends hellos to a control machine, applies its changes
// in order, never goes back to an older version, and switches to another machine after silence.
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
  /// The same until the first configuration has arrived.
  Duration starting_hello_interval = Milliseconds(100);
  Duration min_hello_interval = Milliseconds(25);
  /// Silence after which another control machine is tried.
  Duration silence_limit = Milliseconds(1000);
  /// The same until the first configuration has arrived.
  Duration starting_silence_limit = Milliseconds(400);
  /// Records changed leafs; the owner must call TakeChangedLeafs().
  bool record_changed_leafs = false;
  /// Off only in simulations that show what the check prevents.
  bool monotone_version = true;
};

/// Earlier than any reading of a clock, by more than any timeout.
inline constexpr Timestamp kNeverProven{-std::chrono::hours(24)};

class ConfigSubscriber {
 public:
  ConfigSubscriber(SubscriberOptions options, Timestamp now);

  /// @return the hello to send now to the machine `control()`, if one is due.
  std::optional<wire::Envelope> Tick(Timestamp now);
  /// @return whether the configuration changed.
  bool OnFeed(Timestamp now, const wire::ConfigFeed& feed);
  /// Switches to the next machine at once after a lost connection.
  void OnDisconnected(Timestamp now);

  /// Returns the leafs affected by the changes since the last call: reported, forgotten or retired
  /// leafs. A full configuration may change any leaf and adds none.
  std::vector<std::string> TakeChangedLeafs() { return std::exchange(changed_leafs_, {}); }

  /// Switches to another machine that suits better than `control()`.
  void SwitchTo(Timestamp now, size_t control);
  /// Sets the number of control machines, when more are known than at the start.
  void SetControlMachines(size_t count) { options_.control_machines = count; }
  /// Handles that a control machine other than `control()` is no longer known; those behind it move
  /// up.
  void OnControlForgotten(size_t index);
  /// Whether no control machine has answered for longer than it may take one.
  bool Silent(Timestamp now) const { return now - last_feed_ > SilenceLimit(); }

  /// Index of the control machine to talk to.
  size_t control() const { return control_; }
  bool ready() const { return ready_; }
  const config::ConfigState& config() const { return config_; }
  /// Returns the time since this configuration was last proved current, or since the start.
  Duration Age(Timestamp now) const { return now - std::max(started_, proven_at_); }
  /// Returns the latest time for which a majority of the control machines has confirmed that no
  /// change acknowledged before it is missing here; kNeverProven before the first proof.
  Timestamp proven_at() const { return proven_at_; }

 private:
  Duration SilenceLimit() const {
    return ready_ ? options_.silence_limit : options_.starting_silence_limit;
  }
  void SwitchToNext(Timestamp now);
  bool ApplyChanges(const wire::ConfigFeed& feed);
  void RecordChangedLeafs(const config::Change& change);

  SubscriberOptions options_;
  config::ConfigState config_;
  std::vector<std::string> changed_leafs_;
  bool ready_ = false;
  size_t control_;
  Timestamp last_feed_;
  Timestamp started_;
  Timestamp proven_at_ = kNeverProven;
  Timestamp switched_at_;
  Timestamp next_hello_;
  Timestamp last_hello_{};
};

}  // namespace pumicedyke::node
