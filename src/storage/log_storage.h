// Durable state of one control replica: identity, hard state, log entries and the latest snapshot.
//
// Files: `identity` (written once), `log` (records appended), `snapshot` (replaced atomically).
// A record is its length, an xxHash64 of the payload, and the payload (a wire::StorageRecord).
// After a crash the log is cut at the first record that is short or whose checksum differs; only
// records that were never synced can be there, because nothing is acknowledged before Sync(). If
// whole records follow the bad one, it is no torn tail but damage: recovery is refused.
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
  /// Bytes of a torn tail that were cut.
  size_t cut_bytes = 0;
};

struct LogStorageOptions {
  /// Off only in simulations that show what syncing is for.
  bool sync_before_ack = true;
};

class LogStorage {
 public:
  LogStorage(FileSystem* file_system, LogStorageOptions options);

  /// @return NotFound if the folder was never formatted, kCorruptState if its identity is damaged.
  absl::StatusOr<wire::Identity> ReadIdentity();
  /// Makes an empty folder this incarnation's; refused if it already has an identity.
  absl::Status Format(const wire::Identity& identity, const wire::SnapshotData& initial);

  /// @return kCorruptState if a file is damaged.
  absl::StatusOr<RecoveredState> Recover();

  absl::Status Append(const std::vector<wire::LogEntry>& entries);
  absl::Status SaveHardState(const wire::HardState& state);
  /// Everything saved so far survives a crash once this returned OK.
  absl::Status Sync();
  /// Replaces the snapshot, then the log by `hard_state` and `entries` (those after the snapshot).
  absl::Status SaveSnapshot(const wire::SnapshotData& snapshot, const wire::HardState& hard_state,
                            const std::vector<wire::LogEntry>& entries);

  /// Bytes of the log file since the last snapshot.
  size_t log_bytes() const { return log_bytes_; }

 private:
  absl::Status AppendRecord(const wire::StorageRecord& record);
  absl::Status ReplaceFile(const std::string& name, std::string_view content);
  absl::Status OpenLog();

  FileSystem* file_system_;
  LogStorageOptions options_;
  std::unique_ptr<AppendFile> log_;
  size_t log_bytes_ = 0;
  bool dirty_ = false;
};

/// Frames one record as it stands in a file.
std::string FrameRecord(const wire::StorageRecord& record);

}  // namespace pumicedyke::storage
