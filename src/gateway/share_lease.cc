#include "gateway/share_lease.h"

#include <algorithm>

namespace pumicedyke::gateway {

ShareLease::ShareLease(ShareLeaseOptions options, Timestamp now)
    : options_(options),
      started_(now),
      held_since_(now),
      renewed_(now),
      unused_before_(options.first_start),
      gateways_(options.window + options.term, 1) {}

void ShareLease::Renew(Timestamp now, uint32_t gateways) {
  if (now - renewed_ > options_.term) {
    held_since_ = now;
    lapsed_ = counted_;
  }
  renewed_ = now;
  counted_ = true;
  gateways_.Set(now, std::max(1U, gateways));
}

bool ShareLease::Held(Timestamp now) const {
  const bool lapsed = now - renewed_ > options_.term;
  const bool long_enough = now - held_since_ >= holding_time();
  return counted_ && !lapsed && (long_enough || (unused_before_ && !lapsed_));
}

uint32_t ShareLease::Sharers(Timestamp now) const {
  return gateways_.Extreme(now) + options_.spare_gateways;
}

}  // namespace pumicedyke::gateway
