// Value types shared by every subsystem.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace pumicedyke {

/// Lengths of time; microseconds everywhere inside the system.
using Duration = std::chrono::microseconds;

/// Tag of the one monotonic time line a process lives on, real or simulated.
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

/// A number that only compares with numbers of its own kind.
template <typename Tag>
struct StrongId {
  uint64_t value = 0;
  auto operator<=>(const StrongId&) const = default;
};

using SnapshotId = StrongId<struct SnapshotIdTag>;
using ShardId = StrongId<struct ShardIdTag>;
/// Identifies one sub-request for ever: the process incarnation is part of it (see
/// node/id_source.h).
using SubRequestId = StrongId<struct SubRequestIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
/// Counts accepted configuration changes; never decreases.
using ConfigVersion = StrongId<struct ConfigVersionTag>;
/// One incarnation of a control machine's disk; a lost disk comes back under another id.
using MemberId = uint64_t;

}  // namespace pumicedyke

template <typename Tag>
struct std::hash<pumicedyke::StrongId<Tag>> {
  size_t operator()(const pumicedyke::StrongId<Tag>& id) const noexcept {
    return std::hash<uint64_t>{}(id.value);
  }
};
