// Until when no gateway of a fleet that starts for the first time has sent anything. Has no clock.
#pragma once

#include "common/types.h"

namespace pumicedyke::gateway {

/// Confined to the event loop's thread.
class FleetUse {
 public:
  /// @param delay longest time after which a gateway knows that another one has sent something.
  FleetUse(bool first_start, Duration delay) : first_start_(first_start), delay_(delay) {}

  /// Called whenever this gateway sends something.
  void OnOwnUse(Timestamp now) {
    used_here_ = true;
    OnUse(now);
  }
  /// Called when a control machine tells whether any gateway has sent anything.
  void OnFleet(Timestamp now, bool used) {
    if (used) {
      OnUse(now - delay_);
    } else {
      known_unused_ |= first_start_;
    }
  }

  /// Whether this gateway has sent anything.
  bool used_here() const { return used_here_; }
  /// Returns the time before which no gateway has sent anything; Timestamp::min() if none is known.
  Timestamp unused_before() const { return unused_before_; }

 private:
  void OnUse(Timestamp when) {
    if (!used_ && known_unused_) {
      unused_before_ = when;
    }
    used_ = true;
  }

  bool first_start_;
  Duration delay_;
  /// Whether a control machine has told that no gateway had sent anything. What a gateway that
  /// starts later gets at first may have moved there.
  bool known_unused_ = false;
  bool used_here_ = false;
  bool used_ = false;
  Timestamp unused_before_ = Timestamp::min();
};

}  // namespace pumicedyke::gateway
