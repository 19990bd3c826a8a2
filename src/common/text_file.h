// Reads whole files that people write: settings, tokens, documents.
#pragma once

#include <cstddef>
#include <string>

#include "absl/status/statusor.h"

namespace pumicedyke {

/// Settings and tokens are a few kilobytes long.
constexpr size_t kMaxSettingsBytes = size_t{1} << 20;

/// Reads a file that may be a pipe or a device, too.
/// @return kInvalidConfig, naming the file, if it cannot be read or has more than `most_bytes`.
absl::StatusOr<std::string> ReadTextFile(const std::string& path, size_t most_bytes);

}  // namespace pumicedyke
