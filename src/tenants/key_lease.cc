#include "tenants/key_lease.h"

#include <algorithm>

namespace pumicedyke::tenants {

Duration LeaseLength(const KeyLeaseOptions& options) {
  return std::chrono::duration_cast<Duration>(options.revocation_bound * options.lease_share);
}

bool KeysProven(const KeyLeaseOptions& options, Timestamp now, Timestamp proven_at) {
  return options.revocation_bound.count() == 0 || now - proven_at < LeaseLength(options);
}

Duration RetryWhenUnproven(const KeyLeaseOptions& options, Timestamp now, Timestamp proven_at) {
  const Duration time_without_proof = now - proven_at - LeaseLength(options);
  return std::clamp(time_without_proof, options.min_retry_after, options.max_retry_after);
}

Duration SilenceLimit(const KeyLeaseOptions& options, Duration usual) {
  if (options.revocation_bound.count() == 0) {
    return usual;
  }
  return std::min(usual, std::chrono::duration_cast<Duration>(options.revocation_bound *
                                                              options.silence_share));
}

}  // namespace pumicedyke::tenants
