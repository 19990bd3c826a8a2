// A token bucket. Free functions over a plain struct; no clock, safe on any thread.
#pragma once

#include <algorithm>
#include <cmath>

#include "common/types.h"

namespace pumicedyke::limits {

struct TokenBucket {
  /// Tokens that come in a second.
  double rate = 0;
  /// It holds no more.
  double cap = 0;
  double level = 0;
  /// When `level` was right.
  Timestamp at{};
};

/// Lets in what has come by `now`. A time before the last one changes nothing.
inline void Refill(TokenBucket* bucket, Timestamp now) {
  if (now <= bucket->at) {
    return;
  }
  const double seconds = std::chrono::duration<double>(now - bucket->at).count();
  bucket->level = std::min(bucket->cap, bucket->level + bucket->rate * seconds);
  bucket->at = now;
}

/// @param bucket refilled. @return whole tokens that were there, `wanted` at most; they are gone.
inline uint32_t Take(TokenBucket* bucket, uint32_t wanted) {
  // A token that is nearly whole by rounding alone is whole.
  constexpr double kRounding = 1e-9;
  const double whole = std::floor(std::max(0.0, bucket->level + kRounding));
  const auto taken = static_cast<uint32_t>(std::min(whole, static_cast<double>(wanted)));
  bucket->level = std::max(0.0, bucket->level - taken);
  return taken;
}

/// @param bucket refilled. @param longest what is answered if no token comes.
/// @return when one token will be there, counted from the last refill.
inline Duration TimeToToken(const TokenBucket& bucket, Duration longest) {
  const double missing = 1 - bucket.level;
  if (missing <= 0) {
    return Duration(0);
  }
  const double seconds = bucket.rate > 0 ? missing / bucket.rate : 1e9;
  const double bound = std::chrono::duration<double>(longest).count();
  return Duration(static_cast<int64_t>(std::ceil(std::min(seconds, bound) * 1e6)));
}

}  // namespace pumicedyke::limits
