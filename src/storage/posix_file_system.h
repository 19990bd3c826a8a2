// FileSystem on a directory of the operating system.
#pragma once

#include <string>

#include "storage/file_system.h"

namespace pumicedyke::storage {

class PosixFileSystem : public FileSystem {
 public:
  /// @param folder an existing directory.
  explicit PosixFileSystem(std::string folder);
  /// Creates the folder and its parents if they do not exist.
  static absl::Status CreateFolder(const std::string& folder);

  absl::StatusOr<std::string> Read(const std::string& name) override;
  absl::StatusOr<std::unique_ptr<AppendFile>> OpenAppend(const std::string& name) override;
  absl::Status Truncate(const std::string& name, size_t size) override;
  absl::Status Rename(const std::string& from, const std::string& to) override;
  absl::Status Remove(const std::string& name) override;
  absl::Status SyncDirectory() override;
  std::vector<std::string> List() override;

 private:
  std::string Path(const std::string& name) const { return folder_ + "/" + name; }

  std::string folder_;
};

}  // namespace pumicedyke::storage
