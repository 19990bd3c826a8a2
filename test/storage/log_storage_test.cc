// Tests recovery of the log: truncated at every byte, and against a model over random histories.
#include "storage/log_storage.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

#include "common/result_code.h"
#include "sim/sim_file_system.h"

namespace pumicedyke::storage {
namespace {

constexpr uint64_t kSeed = 11;

wire::LogEntry Command(uint64_t index, uint64_t term, std::string data) {
  return {index, term, wire::EntryKind::kCommand, std::move(data)};
}

/// Creates a folder with an identity, a synced vote and `count` entries.
void Fill(FileSystem* files, uint64_t count) {
  LogStorage storage(files, {});
  CPPUNIT_ASSERT(storage.Format({1, "test", "a"}, {}).ok());
  CPPUNIT_ASSERT(storage.Recover().ok());
  CPPUNIT_ASSERT(storage.SaveHardState({3, 1}).ok());
  for (uint64_t index = 1; index <= count; ++index) {
    CPPUNIT_ASSERT(storage.Append({Command(index, 3, "entry " + std::to_string(index))}).ok());
  }
  CPPUNIT_ASSERT(storage.Sync().ok());
}

/// A disk that remembers the writes since the last sync.
class WriteRecorder : public sim::SimFileSystem {
 public:
  WriteRecorder() : sim::SimFileSystem(kSeed) {}

  absl::StatusOr<std::unique_ptr<AppendFile>> OpenAppend(const std::string& name) override {
    auto file = sim::SimFileSystem::OpenAppend(name);
    return std::unique_ptr<AppendFile>(
        std::make_unique<RecordingFile>(*std::move(file), &unsynced_));
  }
  const std::vector<std::string>& unsynced() const { return unsynced_; }

 private:
  class RecordingFile : public AppendFile {
   public:
    RecordingFile(std::unique_ptr<AppendFile> file, std::vector<std::string>* unsynced)
        : file_(std::move(file)), unsynced_(unsynced) {}
    absl::Status Append(std::string_view bytes) override {
      unsynced_->emplace_back(bytes);
      return file_->Append(bytes);
    }
    absl::Status Sync() override {
      unsynced_->clear();
      return file_->Sync();
    }

   private:
    std::unique_ptr<AppendFile> file_;
    std::vector<std::string>* unsynced_;
  };

  std::vector<std::string> unsynced_;
};

/// Returns the writes as a loss of power leaves them, the lost ones as a hole before a later one.
std::string LeftOf(const std::vector<std::string>& writes, uint64_t lost) {
  std::string left;
  std::string hole;
  for (size_t i = 0; i < writes.size(); ++i) {
    if ((lost >> i & 1) != 0) {
      hole.append(writes[i].size(), '\0');
    } else {
      left += std::exchange(hole, "") + writes[i];
    }
  }
  return left;
}

}  // namespace

class LogStorageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStorageTest);
  CPPUNIT_TEST(TruncationAtEveryByteLeavesAPrefix);
  CPPUNIT_TEST(ChangedByteIsDetected);
  CPPUNIT_TEST(SyncedEntriesSurviveACrash);
  CPPUNIT_TEST(RecoveredEntriesSurviveACrash);
  CPPUNIT_TEST(AnyLossOfUnsyncedWritesIsATornTail);
  CPPUNIT_TEST(AppendingAfterATruncatedTailWorks);
  CPPUNIT_TEST(FolderIsFormattedOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A killed process leaves bytes that were written but not synced. The next incarnation relies on
  /// what it recovers, so recovery must make these bytes durable.
  void RecoveredEntriesSurviveACrash() {
    sim::SimFileSystem files(kSeed);
    Fill(&files, 1);
    {
      LogStorage killed(&files, {});
      CPPUNIT_ASSERT(killed.Recover().ok());
      CPPUNIT_ASSERT(killed.Append({Command(2, 3, "not synced")}).ok());
    }
    LogStorage next(&files, {});
    const auto found = next.Recover();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, found->entries.size());
    sim::SimFileSystem durable = files.DurableCopy();
    LogStorage after_power_loss(&durable, {});
    const auto kept = after_power_loss.Recover();
    CPPUNIT_ASSERT_EQUAL(found->entries.size(), kept->entries.size());
  }

  void TruncationAtEveryByteLeavesAPrefix() {
    constexpr uint64_t kEntries = 6;
    sim::SimFileSystem whole(kSeed);
    Fill(&whole, kEntries);
    const size_t size = whole.Read("log")->size();
    uint64_t before = 0;
    for (size_t cut = 0; cut <= size; ++cut) {
      sim::SimFileSystem files(kSeed);
      Fill(&files, kEntries);
      CPPUNIT_ASSERT(files.Truncate("log", cut).ok());
      LogStorage storage(&files, {});
      const auto state = storage.Recover();
      CPPUNIT_ASSERT(state.ok());
      const uint64_t found = state->entries.size();
      for (uint64_t i = 0; i < found; ++i) {
        CPPUNIT_ASSERT_EQUAL("entry " + std::to_string(i + 1), state->entries[i].data);
      }
      CPPUNIT_ASSERT(found == before || found == before + 1);
      before = found;
    }
    CPPUNIT_ASSERT_EQUAL(kEntries, before);
  }

  /// Guards against a machine that refuses to start for good, because a loss of power took an
  /// earlier write of an unsynced batch and kept a later one.
  void AnyLossOfUnsyncedWritesIsATornTail() {
    WriteRecorder files;
    Fill(&files, 1);
    LogStorage storage(&files, {});
    CPPUNIT_ASSERT(storage.Recover().ok());
    CPPUNIT_ASSERT(
        storage.Append({Command(2, 3, "b"), Command(3, 3, "c"), Command(4, 3, "d")}).ok());
    const std::vector<std::string> writes = files.unsynced();
    for (uint64_t lost = 0; lost < uint64_t{1} << writes.size(); ++lost) {
      sim::SimFileSystem after(kSeed);
      Fill(&after, 1);
      CPPUNIT_ASSERT((*after.OpenAppend("log"))->Append(LeftOf(writes, lost)).ok());
      LogStorage next(&after, {});
      const auto state = next.Recover();
      CPPUNIT_ASSERT(state.ok());
      CPPUNIT_ASSERT_EQUAL(std::string("entry 1"), state->entries.at(0).data);
    }
  }

  void ChangedByteIsDetected() {
    sim::SimFileSystem whole(kSeed);
    Fill(&whole, 4);
    const std::string good = *whole.Read("log");
    const size_t last_record = good.size() - FrameRecord(Command(4, 3, "entry 4")).size();
    for (size_t at = 0; at < good.size(); ++at) {
      sim::SimFileSystem files(kSeed);
      Fill(&files, 4);
      std::string bad = good;
      bad[at] = static_cast<char>(bad[at] ^ 0x20);
      CPPUNIT_ASSERT(files.Truncate("log", 0).ok());
      CPPUNIT_ASSERT((*files.OpenAppend("log"))->Append(bad).ok());
      LogStorage storage(&files, {});
      const auto state = storage.Recover();
      // Damage in the last record looks like a torn tail; elsewhere it must not be dropped
      // silently.
      if (state.ok()) {
        CPPUNIT_ASSERT(at >= last_record);
        CPPUNIT_ASSERT_EQUAL(size_t{3}, state->entries.size());
      } else {
        CPPUNIT_ASSERT(CodeOf(state.status()) == ResultCode::kCorruptState);
        CPPUNIT_ASSERT(at < last_record);
      }
    }
  }

  /// Random appends, truncating appends, snapshots and crashes against a plain vector.
  void SyncedEntriesSurviveACrash() {
    const bool held = rc::check("synced entries survive", [](const std::vector<uint8_t>& steps) {
      sim::SimFileSystem files(kSeed);
      std::vector<std::string> model;
      uint64_t snapshot = 0;
      Fill(&files, 0);
      auto storage = std::make_unique<LogStorage>(&files, LogStorageOptions{});
      RC_ASSERT(storage->Recover().ok());
      uint64_t text = 0;
      for (const uint8_t step : steps) {
        if (step % 4 < 2) {
          // A follower's tail is overwritten; `step` decides how far back.
          const uint64_t back = step % 4 == 0 ? 0 : std::min<uint64_t>(step / 64, model.size());
          model.resize(model.size() - back);
          model.push_back("text " + std::to_string(++text));
          const uint64_t index = snapshot + model.size();
          RC_ASSERT(storage->Append({Command(index, 3, model.back())}).ok());
          RC_ASSERT(storage->Sync().ok());
        } else if (step % 4 == 2 && !model.empty()) {
          snapshot += model.size();
          model.clear();
          RC_ASSERT(storage->SaveSnapshot({snapshot, 3, {}, "image"}, {3, 1}, {}).ok());
        } else {
          storage.reset();
          files.Crash();
          storage = std::make_unique<LogStorage>(&files, LogStorageOptions{});
          const auto state = storage->Recover();
          RC_ASSERT(state.ok());
          RC_ASSERT(state->snapshot.index == snapshot);
          RC_ASSERT(state->hard_state.term == uint64_t{3});
          RC_ASSERT(state->entries.size() == model.size());
          for (size_t i = 0; i < model.size(); ++i) {
            RC_ASSERT(state->entries[i].data == model[i]);
          }
        }
      }
    });
    CPPUNIT_ASSERT(held);
  }

  void AppendingAfterATruncatedTailWorks() {
    sim::SimFileSystem files(kSeed);
    Fill(&files, 3);
    CPPUNIT_ASSERT(files.Truncate("log", files.Read("log")->size() - 1).ok());
    {
      LogStorage storage(&files, {});
      const auto state = storage.Recover();
      CPPUNIT_ASSERT(state.ok() && state->cut_bytes > 0);
      CPPUNIT_ASSERT(storage.Append({Command(3, 4, "again")}).ok());
      CPPUNIT_ASSERT(storage.Sync().ok());
    }
    LogStorage storage(&files, {});
    const auto state = storage.Recover();
    CPPUNIT_ASSERT_EQUAL(size_t{3}, state->entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("again"), state->entries.back().data);
  }

  void FolderIsFormattedOnce() {
    sim::SimFileSystem files(kSeed);
    LogStorage storage(&files, {});
    CPPUNIT_ASSERT(!storage.ReadIdentity().ok());
    CPPUNIT_ASSERT(storage.Format({1, "test", "a"}, {}).ok());
    CPPUNIT_ASSERT(!storage.Format({2, "test", "a"}, {}).ok());
    CPPUNIT_ASSERT_EQUAL(MemberId{1}, storage.ReadIdentity()->member);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LogStorageTest);

}  // namespace pumicedyke::storage
