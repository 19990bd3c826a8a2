// Durable state of one control replica: identity, hard state, log entries and the latest snapshot.
//
// Files: `identity` (written once), `log` (records appended), `snapshot` (replaced atomically).
// A record consists of its length, an xxHash64 of the payload, and the payload (a
// wire::StorageRecord).
//
// After a crash the log is truncated at the first record that is incomplete or fails its checksum.
// This loses only records that were never synced, because nothing is acknowledged before Sync().
// If a valid record follows the bad one, the log is not torn but damaged, and recovery is refused.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "storage/file_system.h"
#include "wire/messages.h"

namespace pumicedyke::storage {

struct RecoveredState {
  wire::HardState hard_state;
  wire::SnapshotData snapshot;
  /// Entries after the snapshot, without gaps.
  std::vector<wire::LogEntry> entries;
  /// Bytes of a torn tail that were truncated.
  size_t cut_bytes = 0;
};

struct LogStorageOptions {
  /// False only in simulations that show what syncing prevents.
  bool sync_before_ack = true;
};

class LogStorage {
 public:
  LogStorage(FileSystem* file_system, LogStorageOptions options);

  /// @return NotFound if the folder is not formatted, kCorruptState if its identity is damaged.
  absl::StatusOr<wire::Identity> ReadIdentity();
  /// Initializes an empty folder for this incarnation. Fails if the folder already has an identity.
  absl::Status Format(const wire::Identity& identity, const wire::SnapshotData& initial);

  /// Reads the state from the files and opens the log for appending.
  /// @return kCorruptState if a file is damaged.
  absl::StatusOr<RecoveredState> Recover();

  absl::Status Append(const std::vector<wire::LogEntry>& entries);
  absl::Status SaveHardState(const wire::HardState& state);
  /// Once this has returned OK, everything saved so far survives a crash.
  absl::Status Sync();
  /// Replaces the snapshot, then replaces the log by `hard_state` and `entries` (those after the
  /// snapshot).
  absl::Status SaveSnapshot(const wire::SnapshotData& snapshot, const wire::HardState& hard_state,
                            const std::vector<wire::LogEntry>& entries);

  /// Bytes of the log file since the last snapshot.
  size_t log_bytes() const { return log_bytes_; }

 private:
  absl::Status AppendBytes(const std::string& framed);
  absl::Status ReplaceFile(const std::string& name, std::string_view content);
  absl::Status OpenLog();

  FileSystem* file_system_;
  LogStorageOptions options_;
  std::unique_ptr<AppendFile> log_;
  size_t log_bytes_ = 0;
  bool dirty_ = false;
};

/// Encodes one record as stored in a file.
std::string FrameRecord(const wire::StorageRecord& record);

}  // namespace pumicedyke::storage
