// Value types shared by every subsystem.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace pumicedyke {

/// A length of time. The system uses microseconds throughout.
using Duration = std::chrono::microseconds;

/// Tag of the monotonic clock of a process, real or simulated.
struct MonotonicTimeline {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};
using Timestamp = std::chrono::time_point<MonotonicTimeline, Duration>;

constexpr Duration Microseconds(int64_t count) { return Duration(count); }
constexpr Duration Milliseconds(int64_t count) { return std::chrono::milliseconds(count); }
constexpr Duration Seconds(int64_t count) { return std::chrono::seconds(count); }
constexpr double ToMilliseconds(Duration d) { return static_cast<double>(d.count()) / 1000.0; }

/// An id that can be compared only with ids of the same kind.
template <typename Tag>
struct StrongId {
  uint64_t value = 0;
  auto operator<=>(const StrongId&) const = default;
};

using SnapshotId = StrongId<struct SnapshotIdTag>;
using ShardId = StrongId<struct ShardIdTag>;
/// Identifies one sub-request. Never used again, as the process incarnation is part of it (see
/// node/id_source.h).
using SubRequestId = StrongId<struct SubRequestIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
/// Counts accepted configuration changes; never decreases.
using ConfigVersion = StrongId<struct ConfigVersionTag>;
/// Identifies one incarnation of a control machine's disk. After the loss of its disk, a machine
/// rejoins under a new id.
using MemberId = uint64_t;

}  // namespace pumicedyke

template <typename Tag>
struct std::hash<pumicedyke::StrongId<Tag>> {
  size_t operator()(const pumicedyke::StrongId<Tag>& id) const noexcept {
    return std::hash<uint64_t>{}(id.value);
  }
};
