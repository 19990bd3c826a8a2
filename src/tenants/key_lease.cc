#include "tenants/key_lease.h"

#include <algorithm>

namespace pumicedyke::tenants {

Duration LeaseLength(const KeyLeaseOptions& options) {
  return std::chrono::duration_cast<Duration>(options.revocation_bound * options.lease_part);
}

bool KeysProven(const KeyLeaseOptions& options, Timestamp now, Timestamp proven_at) {
  return options.revocation_bound.count() == 0 || now - proven_at < LeaseLength(options);
}

Duration RetryWhenUnproven(const KeyLeaseOptions& options, Timestamp now, Timestamp proven_at) {
  const Duration unproven = now - proven_at - LeaseLength(options);
  return std::clamp(unproven, options.shortest_retry, options.longest_retry);
}

Duration SilenceLimit(const KeyLeaseOptions& options, Duration usual) {
  if (options.revocation_bound.count() == 0) {
    return usual;
  }
  return std::min(
      usual, std::chrono::duration_cast<Duration>(options.revocation_bound * options.silence_part));
}

}  // namespace pumicedyke::tenants
