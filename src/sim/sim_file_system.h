// A disk that keeps only what was synced: a crash loses unsynced bytes, renames and new names, and
// may leave part of an unsynced tail.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "storage/file_system.h"

namespace pumicedyke::sim {

class SimFileSystem : public storage::FileSystem {
 public:
  explicit SimFileSystem(uint64_t seed) : random_(seed) {}

  absl::StatusOr<std::string> Read(const std::string& name) override;
  absl::StatusOr<std::unique_ptr<storage::AppendFile>> OpenAppend(const std::string& name) override;
  absl::Status Truncate(const std::string& name, size_t size) override;
  absl::Status Rename(const std::string& from, const std::string& to) override;
  absl::Status Remove(const std::string& name) override;
  absl::Status SyncDirectory() override;
  std::vector<std::string> List() override;

  /// The process or machine died: unsynced state is lost, save for a random part of each tail.
  void Crash();
  /// What a crash at this moment would leave, if every unsynced byte were lost.
  SimFileSystem DurableCopy() const;
  /// The disk is gone and an empty one is in its place.
  void LoseEverything();

 private:
  class SimAppendFile;
  struct Content {
    std::string bytes;
    size_t synced = 0;
  };
  using Directory = std::map<std::string, std::shared_ptr<Content>>;

  std::mt19937_64 random_;
  Directory current_;
  /// The directory as a crash would leave it.
  Directory durable_;
};

}  // namespace pumicedyke::sim
