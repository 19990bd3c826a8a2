// A token bucket. Free functions over a plain struct; no clock, safe on any thread.
#pragma once

#include <algorithm>
#include <cmath>

#include "common/types.h"

namespace pumicedyke::limits {

struct TokenBucket {
  /// Tokens added per second.
  double rate = 0;
  /// Maximum level.
  double cap = 0;
  double level = 0;
  /// Time at which `level` was computed.
  Timestamp at{};
};

/// Adds the tokens accrued until `now`. An earlier time than the last one changes nothing.
inline void Refill(TokenBucket* bucket, Timestamp now) {
  if (now <= bucket->at) {
    return;
  }
  const double seconds = std::chrono::duration<double>(now - bucket->at).count();
  bucket->level = std::min(bucket->cap, bucket->level + bucket->rate * seconds);
  bucket->at = now;
}

/// Takes up to `wanted` whole tokens from a refilled bucket. @return the number taken.
inline uint32_t Take(TokenBucket* bucket, uint32_t wanted) {
  // Compensates for rounding errors just below a whole token.
  constexpr double kRounding = 1e-9;
  const double whole = std::floor(std::max(0.0, bucket->level + kRounding));
  const auto taken = static_cast<uint32_t>(std::min(whole, static_cast<double>(wanted)));
  bucket->level = std::max(0.0, bucket->level - taken);
  return taken;
}

/// Returns the time from the last refill until one token is available.
/// @param bucket refilled. @param limit upper limit of the result.
inline Duration TimeToToken(const TokenBucket& bucket, Duration limit) {
  const double missing = 1 - bucket.level;
  if (missing <= 0) {
    return Duration(0);
  }
  const double seconds = bucket.rate > 0 ? missing / bucket.rate : 1e9;
  const double bound = std::chrono::duration<double>(limit).count();
  return Duration(static_cast<int64_t>(std::ceil(std::min(seconds, bound) * 1e6)));
}

}  // namespace pumicedyke::limits
