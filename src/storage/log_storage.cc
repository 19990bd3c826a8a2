#include "storage/log_storage.h"

#include <xxhash.h>

#include <cstring>
#include <optional>
#include <utility>

#include "common/result_code.h"
#include "wire/codec.h"

namespace pumicedyke::storage {
namespace {

constexpr char kIdentityFile[] = "identity";
constexpr char kLogFile[] = "log";
constexpr char kSnapshotFile[] = "snapshot";
constexpr char kTemporarySuffix[] = ".new";

struct RecordHeader {
  uint32_t length;
  uint32_t reserved;
  uint64_t checksum;
};
static_assert(sizeof(RecordHeader) == 16);

uint64_t Checksum(std::string_view payload) {
  return XXH64(payload.data(), payload.size(), payload.size());
}

/// Removes the next record from the front of `bytes`. @return nullopt if it is incomplete or
/// damaged.
std::optional<wire::StorageRecord> ReadRecord(std::string_view* bytes) {
  RecordHeader header;
  if (bytes->size() < sizeof(header)) {
    return std::nullopt;
  }
  std::memcpy(&header, bytes->data(), sizeof(header));
  const std::string_view rest = bytes->substr(sizeof(header));
  if (rest.size() < header.length) {
    return std::nullopt;
  }
  const std::string_view payload = rest.substr(0, header.length);
  const bool intact =
      header.length > 0 && header.reserved == 0 && Checksum(payload) == header.checksum;
  if (!intact) {
    return std::nullopt;
  }
  absl::StatusOr<wire::StorageRecord> record = wire::DecodeRecord(payload);
  if (!record.ok()) {
    return std::nullopt;
  }
  bytes->remove_prefix(sizeof(header) + header.length);
  return *std::move(record);
}

/// Whether `bytes`, which begin with a bad record, contain a valid one. A torn tail has none, as
/// nothing was written after the write that did not complete.
bool ContainsRecord(std::string_view bytes) {
  for (size_t skip = 1; skip < bytes.size(); ++skip) {
    std::string_view rest = bytes.substr(skip);
    if (ReadRecord(&rest).has_value()) {
      return true;
    }
  }
  return false;
}

/// Applies an entry read from the log file: it replaces all entries from its index on, as it did
/// when it was first appended.
void ReplayEntry(wire::LogEntry entry, std::vector<wire::LogEntry>* entries) {
  while (!entries->empty() && entries->back().index >= entry.index) {
    entries->pop_back();
  }
  if (entries->empty() || entry.index == entries->back().index + 1) {
    entries->push_back(std::move(entry));
  }
}

/// Drops the entries that the snapshot covers. A crash between the two renames of SaveSnapshot()
/// leaves the old log beside the new snapshot. The log's suffix may be kept only if the log
/// contains the last entry of the snapshot: entries after a conflicting one would break the log
/// matching property.
void DropCoveredEntries(const wire::SnapshotData& snapshot, std::vector<wire::LogEntry>* entries) {
  if (entries->empty() || entries->front().index == snapshot.index + 1) {
    return;
  }
  std::vector<wire::LogEntry> kept;
  bool matches = false;
  for (wire::LogEntry& entry : *entries) {
    if (matches) {
      kept.push_back(std::move(entry));
    } else if (entry.index == snapshot.index) {
      matches = entry.term == snapshot.term;
    }
  }
  *entries = std::move(kept);
}

}  // namespace

std::string FrameRecord(const wire::StorageRecord& record) {
  const std::string payload = wire::Encode(record);
  const RecordHeader header{static_cast<uint32_t>(payload.size()), 0, Checksum(payload)};
  std::string framed(reinterpret_cast<const char*>(&header), sizeof(header));
  framed += payload;
  return framed;
}

LogStorage::LogStorage(FileSystem* file_system, LogStorageOptions options)
    : file_system_(file_system), options_(options) {}

absl::StatusOr<wire::Identity> LogStorage::ReadIdentity() {
  absl::StatusOr<std::string> content = file_system_->Read(kIdentityFile);
  if (!content.ok()) {
    return content.status();
  }
  std::string_view bytes = *content;
  std::optional<wire::StorageRecord> record = ReadRecord(&bytes);
  if (!record.has_value() || !std::holds_alternative<wire::Identity>(*record)) {
    return MakeStatus(ResultCode::kCorruptState, "identity file is damaged");
  }
  return std::get<wire::Identity>(*record);
}

absl::Status LogStorage::Format(const wire::Identity& identity, const wire::SnapshotData& initial) {
  if (file_system_->Read(kIdentityFile).ok()) {
    return MakeStatus(ResultCode::kInvalidConfig, "data folder is already formatted");
  }
  // The identity is written last, so that a crash before leaves an unformatted folder.
  absl::Status status = ReplaceFile(kSnapshotFile, FrameRecord(initial));
  if (!status.ok()) {
    return status;
  }
  status = ReplaceFile(kLogFile, "");
  if (!status.ok()) {
    return status;
  }
  return ReplaceFile(kIdentityFile, FrameRecord(identity));
}

absl::StatusOr<RecoveredState> LogStorage::Recover() {
  RecoveredState state;
  absl::StatusOr<std::string> snapshot = file_system_->Read(kSnapshotFile);
  if (absl::IsNotFound(snapshot.status())) {
    return MakeStatus(ResultCode::kCorruptState, "snapshot file is missing");
  }
  if (!snapshot.ok()) {
    return snapshot.status();
  }
  std::string_view snapshot_bytes = *snapshot;
  std::optional<wire::StorageRecord> record = ReadRecord(&snapshot_bytes);
  if (!record.has_value() || !std::holds_alternative<wire::SnapshotData>(*record)) {
    return MakeStatus(ResultCode::kCorruptState, "snapshot file is damaged");
  }
  state.snapshot = std::get<wire::SnapshotData>(*std::move(record));

  absl::StatusOr<std::string> read = file_system_->Read(kLogFile);
  if (!read.ok() && !absl::IsNotFound(read.status())) {
    return read.status();
  }
  const std::string log = std::move(read).value_or("");
  std::string_view bytes = log;
  while (std::optional<wire::StorageRecord> next = ReadRecord(&bytes)) {
    if (auto* entry = std::get_if<wire::LogEntry>(&*next)) {
      ReplayEntry(std::move(*entry), &state.entries);
    } else if (auto* hard_state = std::get_if<wire::HardState>(&*next)) {
      state.hard_state = *hard_state;
    }
  }
  if (ContainsRecord(bytes)) {
    // Truncating here would drop acknowledged entries, and a vote based on the rest could lose them
    // for good.
    return MakeStatus(ResultCode::kCorruptState,
                      "the log is damaged in the middle; empty the data folder, and this machine "
                      "joins again as a new replica");
  }
  DropCoveredEntries(state.snapshot, &state.entries);
  state.cut_bytes = bytes.size();
  log_bytes_ = log.size() - bytes.size();
  if (!bytes.empty()) {
    absl::Status status = file_system_->Truncate(kLogFile, log_bytes_);
    if (!status.ok()) {
      return status;
    }
  }
  absl::Status status = OpenLog();
  if (!status.ok()) {
    return status;
  }
  // A killed process leaves bytes that were written but not synced. They are synced here, so that
  // recovered entries are as durable as those that this incarnation appends.
  dirty_ = !log.empty();
  status = Sync();
  if (!status.ok()) {
    return status;
  }
  return state;
}

absl::Status LogStorage::OpenLog() {
  absl::StatusOr<std::unique_ptr<AppendFile>> log = file_system_->OpenAppend(kLogFile);
  if (!log.ok()) {
    return log.status();
  }
  log_ = *std::move(log);
  return absl::OkStatus();
}

absl::Status LogStorage::AppendBytes(const std::string& framed) {
  log_bytes_ += framed.size();
  dirty_ = true;
  return log_->Append(framed);
}

absl::Status LogStorage::Append(const std::vector<wire::LogEntry>& entries) {
  // One write: of several, a loss of power may take an earlier one and keep a later one, which
  // Recover() could not tell from damage.
  std::string framed;
  for (const wire::LogEntry& entry : entries) {
    framed += FrameRecord(entry);
  }
  return AppendBytes(framed);
}

absl::Status LogStorage::SaveHardState(const wire::HardState& state) {
  return AppendBytes(FrameRecord(state));
}

absl::Status LogStorage::Sync() {
  if (!dirty_ || !options_.sync_before_ack) {
    return absl::OkStatus();
  }
  dirty_ = false;
  return log_->Sync();
}

absl::Status LogStorage::ReplaceFile(const std::string& name, std::string_view content) {
  const std::string temporary = name + kTemporarySuffix;
  absl::Status status = file_system_->Remove(temporary);
  if (!status.ok()) {
    return status;
  }
  {
    absl::StatusOr<std::unique_ptr<AppendFile>> file = file_system_->OpenAppend(temporary);
    if (!file.ok()) {
      return file.status();
    }
    status = (*file)->Append(content);
    if (status.ok()) {
      status = (*file)->Sync();
    }
    if (!status.ok()) {
      return status;
    }
  }
  status = file_system_->Rename(temporary, name);
  return status.ok() ? file_system_->SyncDirectory() : status;
}

absl::Status LogStorage::SaveSnapshot(const wire::SnapshotData& snapshot,
                                      const wire::HardState& hard_state,
                                      const std::vector<wire::LogEntry>& entries) {
  // The snapshot is made durable before the old log is replaced. A crash in between leaves entries
  // that the snapshot covers, which recovery drops.
  absl::Status status = ReplaceFile(kSnapshotFile, FrameRecord(snapshot));
  if (!status.ok()) {
    return status;
  }
  std::string log = FrameRecord(hard_state);
  for (const wire::LogEntry& entry : entries) {
    log += FrameRecord(entry);
  }
  status = ReplaceFile(kLogFile, log);
  if (!status.ok()) {
    return status;
  }
  log_bytes_ = log.size();
  dirty_ = false;
  return OpenLog();
}

}  // namespace pumicedyke::storage
