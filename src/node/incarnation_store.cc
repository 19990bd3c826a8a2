#include "node/incarnation_store.h"

#include <algorithm>
#include <string>

#include "absl/strings/numbers.h"
#include "common/result_code.h"
#include "node/id_source.h"

namespace pumicedyke::node {
namespace {

constexpr char kFile[] = "incarnation";
constexpr char kTemporaryFile[] = "incarnation.new";
/// Minutes from the epoch to 2024, so that the counter fits its bits for thirty years.
constexpr uint64_t kMinutesBase = 28401120;

}  // namespace

absl::StatusOr<uint64_t> TakeIncarnation(storage::FileSystem* file_system, uint64_t wall_minutes) {
  uint64_t last = 0;
  const absl::StatusOr<std::string> stored = file_system->Read(kFile);
  if (stored.ok() && !absl::SimpleAtoi(*stored, &last)) {
    return MakeStatus(ResultCode::kCorruptState, "the incarnation file is damaged");
  }
  const uint64_t from_clock = wall_minutes > kMinutesBase ? wall_minutes - kMinutesBase : 1;
  const uint64_t incarnation = std::max(last + 1, from_clock);
  if (incarnation > kMaxIncarnation) {
    return MakeStatus(ResultCode::kCorruptState, "the incarnation counter is exhausted");
  }
  if (absl::Status status = file_system->Remove(kTemporaryFile); !status.ok()) {
    return status;
  }
  {
    auto file = file_system->OpenAppend(kTemporaryFile);
    if (!file.ok()) {
      return file.status();
    }
    if (absl::Status status = (*file)->Append(std::to_string(incarnation)); !status.ok()) {
      return status;
    }
    if (absl::Status status = (*file)->Sync(); !status.ok()) {
      return status;
    }
  }
  if (absl::Status status = file_system->Rename(kTemporaryFile, kFile); !status.ok()) {
    return status;
  }
  if (absl::Status status = file_system->SyncDirectory(); !status.ok()) {
    return status;
  }
  return incarnation;
}

}  // namespace pumicedyke::node
