// How long a gateway may go by the keys it knows: an API key that was taken away must be dead
// everywhere within a bound, also where the news did not come. Free functions over plain data; safe
// on any thread.
#pragma once

#include "common/types.h"

namespace pumicedyke::tenants {

struct KeyLeaseOptions {
  /// A key is dead this long after the acknowledgement of its removal, whoever is cut off, frozen
  /// or late; zero: keys are served by what is known, however old it is.
  Duration revocation_bound{};
  /// Part of the bound that a gateway goes by a proof, counted from when it asked for it. What is
  /// left is for the control machine that gave the proof, which may not have heard of the removal.
  double lease_part = 0.8;
  /// Part of the bound that a control machine may stay silent before another one is asked: two of
  /// them in turn, on top of a proof that was as old as it gets in service, leave the lease whole.
  double silence_part = 0.125;
  /// When to come back, at first, if there is no proof: a greeting is answered within this.
  Duration shortest_retry = Milliseconds(250);
  Duration longest_retry = Seconds(2);
};

/// How long a proof holds; zero: for ever.
Duration LeaseLength(const KeyLeaseOptions& options);

/// Whether keys may be served now.
/// @param proven_at when the question was sent whose answer proved, by word of a quorum, that no
/// acknowledged change was missing.
bool KeysProven(const KeyLeaseOptions& options, Timestamp now, Timestamp proven_at);

/// When to come back if keys may not be served now: what has lasted for some time is likely to last
/// about as long again.
Duration RetryWhenUnproven(const KeyLeaseOptions& options, Timestamp now, Timestamp proven_at);

/// How long a control machine may stay silent before another one is asked.
/// @param usual how long if keys need no proof.
Duration SilenceLimit(const KeyLeaseOptions& options, Duration usual);

}  // namespace pumicedyke::tenants
