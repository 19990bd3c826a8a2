// The lease under which a gateway may serve the API keys in its configuration. A revoked key must
// be refused everywhere within a bound, also by gateways that did not receive the change. Free
// functions over plain data; safe on any thread.
#pragma once

#include "common/types.h"

namespace pumicedyke::tenants {

struct KeyLeaseOptions {
  /// Every gateway refuses a key within this time after its removal was acknowledged, even if it is
  /// partitioned, paused or slow. Zero: keys are served from the configuration regardless of its
  /// age.
  Duration revocation_bound{};
  /// Share of the bound for which a gateway may rely on a proof, counted from the time it requested
  /// it. The rest covers the control machine that gave the proof, which may not have received the
  /// removal yet.
  double lease_share = 0.8;
  /// Share of the bound for which a control machine may stay silent before the gateway switches to
  /// another one. Two silent ones in sequence must not exhaust the lease, even with the oldest
  /// proof that occurs in normal operation.
  double silence_share = 0.125;
  /// Initial retry delay if there is no proof; a hello is normally answered within this.
  Duration min_retry_after = Milliseconds(250);
  Duration max_retry_after = Seconds(2);
};

/// Returns the time for which a proof is valid; zero means forever.
Duration LeaseLength(const KeyLeaseOptions& options);

/// Returns true if keys may be served now.
/// @param proven_at time at which the gateway sent the request whose reply proved, confirmed by a
/// quorum, that no acknowledged change was missing.
bool KeysProven(const KeyLeaseOptions& options, Timestamp now, Timestamp proven_at);

/// Returns the retry delay if keys may not be served now. It grows with the time without a proof,
/// because an outage is likely to last about as long again.
Duration RetryWhenUnproven(const KeyLeaseOptions& options, Timestamp now, Timestamp proven_at);

/// Returns how long a control machine may stay silent before the gateway switches to another one.
/// @param usual the limit if keys need no proof.
Duration SilenceLimit(const KeyLeaseOptions& options, Duration usual);

}  // namespace pumicedyke::tenants
