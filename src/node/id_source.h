// IDs that are unique even across restarts: each includes the incarnation of the process.
#pragma once

#include <cstdint>

namespace pumicedyke::node {

constexpr int kCounterBits = 40;
constexpr uint64_t kMaxIncarnation = (uint64_t{1} << (64 - kCounterBits)) - 1;

class IdSource {
 public:
  /// @param incarnation increases with every start of the process (see incarnation_store.h).
  explicit IdSource(uint64_t incarnation) : next_((incarnation << kCounterBits) + 1) {}

  uint64_t Next() { return next_++; }

 private:
  uint64_t next_;
};

}  // namespace pumicedyke::node
