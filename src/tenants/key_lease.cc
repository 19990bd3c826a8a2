#include "tenants/key_lease.h"

namespace pumicedyke::tenants {

Duration LeaseLength(const KeyLeaseOptions& options) {
  return std::chrono::duration_cast<Duration>(options.revocation_bound * options.lease_part);
}

bool KeysProven(const KeyLeaseOptions& options, Timestamp now, Timestamp proven_at) {
  return options.revocation_bound.count() == 0 || now - proven_at < LeaseLength(options);
}

}  // namespace pumicedyke::tenants
