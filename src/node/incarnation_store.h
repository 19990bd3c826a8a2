// Remembers in the data folder how often a process has started.
#pragma once

#include <cstdint>

#include "absl/status/statusor.h"
#include "storage/file_system.h"

namespace pumicedyke::node {

/// Takes the next incarnation and makes it durable before it is used. A lost folder falls back on
/// the wall clock, which moves on by more than one a minute only if restarts do.
/// @param wall_minutes minutes since the epoch.
absl::StatusOr<uint64_t> TakeIncarnation(storage::FileSystem* file_system, uint64_t wall_minutes);

}  // namespace pumicedyke::node
