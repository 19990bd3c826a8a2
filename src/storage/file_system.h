// The file operations that durable state needs. The simulator has its own implementation, which
// loses unsynced data in a crash, so the storage code runs unchanged in production and simulation.
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
  /// Appends bytes. They may be lost in a crash until Sync() has returned OK.
  virtual absl::Status Append(std::string_view bytes) = 0;
  /// Once this has returned OK, all appended bytes survive a crash, provided that the directory
  /// entry was synced, too.
  virtual absl::Status Sync() = 0;
};

/// A data folder without subfolders.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// @return the whole content, or NotFound.
  virtual absl::StatusOr<std::string> Read(const std::string& name) = 0;
  /// Opens for appending, creating the file if needed.
  virtual absl::StatusOr<std::unique_ptr<AppendFile>> OpenAppend(const std::string& name) = 0;
  /// Truncates a file to `size` bytes and syncs it.
  virtual absl::Status Truncate(const std::string& name, size_t size) = 0;
  /// Atomically replaces `to` by `from`; durable after SyncDirectory().
  virtual absl::Status Rename(const std::string& from, const std::string& to) = 0;
  virtual absl::Status Remove(const std::string& name) = 0;
  virtual absl::Status SyncDirectory() = 0;
  virtual std::vector<std::string> List() = 0;
};

}  // namespace pumicedyke::storage
