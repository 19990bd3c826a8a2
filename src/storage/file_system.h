// The few file operations that durable state needs. The simulator's implementation loses what was
// not synced, so the storage code above runs unchanged in production and in simulation.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace pumicedyke::storage {

/// A file open for appending.
class AppendFile {
 public:
  virtual ~AppendFile() = default;
  /// Adds bytes at the end; they may be lost until Sync() returned OK.
  virtual absl::Status Append(std::string_view bytes) = 0;
  /// After OK all appended bytes survive a crash (if the directory entry was synced too).
  virtual absl::Status Sync() = 0;
};

/// One flat data folder.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// @return the whole content, or NotFound.
  virtual absl::StatusOr<std::string> Read(const std::string& name) = 0;
  /// Opens for appending, creating the file if needed.
  virtual absl::StatusOr<std::unique_ptr<AppendFile>> OpenAppend(const std::string& name) = 0;
  /// Cuts a file to `size` bytes and syncs it.
  virtual absl::Status Truncate(const std::string& name, size_t size) = 0;
  /// Atomically replaces `to` by `from`; durable after SyncDirectory().
  virtual absl::Status Rename(const std::string& from, const std::string& to) = 0;
  virtual absl::Status Remove(const std::string& name) = 0;
  virtual absl::Status SyncDirectory() = 0;
  virtual std::vector<std::string> List() = 0;
};

}  // namespace pumicedyke::storage
