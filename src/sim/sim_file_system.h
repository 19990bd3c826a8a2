// A simulated disk that guarantees only synced data: a crash loses unsynced bytes, renames and new
// files, and may keep part of an unsynced tail.
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

  /// Simulates a crash: unsynced state is lost except for a random part of each unsynced tail.
  void Crash();
  /// Returns the state that a crash would leave now if every unsynced byte were lost.
  SimFileSystem DurableCopy() const;
  /// Replaces the disk by an empty one.
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
  /// The directory state that survives a crash.
  Directory durable_;
};

}  // namespace pumicedyke::sim
