// Whether this gateway may use its share of a limit that holds for all gateways together over a
// time window, and how many gateways share such limits. Has no clock.
//
// What a gateway has used of its share is in memory only, and which gateways share a limit is known
// to each of them with some delay. The sum over all gateways is kept in any window, because a share
// is used only once it has been held for a whole window:
// - What an earlier process of this gateway used has left the window by then. This holds for all
//   that it counted, also for what it earned by regular use.
// - A gateway that was paused or out of contact for longer than its term does not use its part
//   until the others have counted it for a whole window again.
// - The part of a gateway that was counted out passes to the others only after its term and a
//   window.
#pragma once

#include <cstdint>

#include "balance/window_extreme.h"
#include "common/types.h"

namespace pumicedyke::gateway {

struct ShareLeaseOptions {
  /// Window of the limits.
  Duration window = Seconds(10);
  /// A share may be used for this long after a control machine was in contact. Long, so that a
  /// short cut costs nothing.
  Duration term = Seconds(10);
  /// Gateways learn of changes at different times, which differ by less than this.
  Duration margin = Milliseconds(1500);
  /// Number of gateways that may be added at any time.
  uint32_t spare_gateways = 1;
  /// No gateway of the fleet has run before, so that nothing was used.
  bool first_start = false;
};

/// Confined to the event loop's thread.
class ShareLease {
 public:
  ShareLease(ShareLeaseOptions options, Timestamp now);

  /// Called when a control machine is in contact. @param gateways that it counts.
  void Renew(Timestamp now, uint32_t gateways);
  /// Returns whether no gateway has used anything before this start.
  bool unused_before() const { return unused_before_; }
  /// Returns whether nothing that an earlier process of this gateway has used lies in the window.
  bool Settled(Timestamp now) const { return unused_before_ || now - started_ >= options_.window; }
  /// Returns whether the share has been held for a whole window.
  bool Held(Timestamp now) const;
  /// Longest time by which gateways learn of changes later than others.
  Duration margin() const { return options_.margin; }
  /// Time for which a share may be used without contact with control.
  Duration term() const { return options_.term; }
  /// Time for which a change that enlarges a share must last before it takes effect.
  Duration holding_time() const { return options_.window + options_.margin; }
  /// Returns the number of gateways to divide limits by, including spare ones.
  uint32_t Sharers(Timestamp now) const;

 private:
  ShareLeaseOptions options_;
  Timestamp started_;
  /// Start of the time in which control was in contact without interruption.
  Timestamp held_since_;
  Timestamp renewed_;
  /// Whether a control machine has counted this gateway, and whether it lost contact since.
  bool counted_ = false;
  bool lapsed_ = false;
  bool unused_before_;
  balance::WindowMaximum<uint32_t> gateways_;
};

}  // namespace pumicedyke::gateway
