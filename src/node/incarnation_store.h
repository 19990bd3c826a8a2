// Stores the incarnation of a process in its data folder.
#pragma once

#include <cstdint>

#include "absl/status/statusor.h"
#include "storage/file_system.h"

namespace pumicedyke::node {

/// Returns the next incarnation after making it durable. If the folder was lost, the wall clock is
/// used, which stays ahead of the counter as long as there is at most one restart a minute.
/// @param wall_minutes minutes since the epoch.
absl::StatusOr<uint64_t> TakeIncarnation(storage::FileSystem* file_system, uint64_t wall_minutes);

}  // namespace pumicedyke::node
