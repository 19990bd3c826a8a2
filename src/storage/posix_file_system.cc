#include "storage/posix_file_system.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <utility>

#include "common/result_code.h"

namespace pumicedyke::storage {
namespace {

constexpr size_t kReadBytes = 64 * 1024;
/// Snapshots and logs are compacted long before. A larger file is not one of this process.
constexpr size_t kMaxFileBytes = size_t{256} << 20;

absl::Status IoError(const std::string& what, const std::string& path) {
  return MakeStatus(ResultCode::kStorageFailed, what + " " + path + ": " + std::strerror(errno));
}

class PosixAppendFile : public AppendFile {
 public:
  PosixAppendFile(int descriptor, std::string path)
      : descriptor_(descriptor), path_(std::move(path)) {}
  ~PosixAppendFile() override { ::close(descriptor_); }
  PosixAppendFile(const PosixAppendFile&) = delete;
  PosixAppendFile& operator=(const PosixAppendFile&) = delete;

  absl::Status Append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written < 0) {
        return IoError("write", path_);
      }
      bytes.remove_prefix(static_cast<size_t>(written));
    }
    return absl::OkStatus();
  }

  absl::Status Sync() override {
    return ::fdatasync(descriptor_) == 0 ? absl::OkStatus() : IoError("fdatasync", path_);
  }

 private:
  int descriptor_;
  std::string path_;
};

}  // namespace

PosixFileSystem::PosixFileSystem(std::string folder) : folder_(std::move(folder)) {}

absl::Status PosixFileSystem::CreateFolder(const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) {
    return MakeStatus(ResultCode::kStorageFailed, "create " + folder + ": " + error.message());
  }
  return absl::OkStatus();
}

absl::StatusOr<std::string> PosixFileSystem::Read(const std::string& name) {
  const std::string path = Path(name);
  const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    // Only ENOENT counts as a missing file. A caller that mistook an unreadable file for a missing
    // one would overwrite it.
    return errno == ENOENT ? absl::NotFoundError(name) : IoError("open", path);
  }
  std::string content;
  std::array<char, kReadBytes> buffer;
  ssize_t count = 0;
  while ((count = ::read(descriptor, buffer.data(), buffer.size())) != 0) {
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      absl::Status failure = IoError("read", path);
      ::close(descriptor);
      return failure;
    }
    content.append(buffer.data(), static_cast<size_t>(count));
    if (content.size() > kMaxFileBytes) {
      ::close(descriptor);
      return MakeStatus(ResultCode::kStorageFailed, "read " + path + ": has more than " +
                                                        std::to_string(kMaxFileBytes) + " bytes");
    }
  }
  ::close(descriptor);
  return content;
}

absl::StatusOr<std::unique_ptr<AppendFile>> PosixFileSystem::OpenAppend(const std::string& name) {
  constexpr mode_t kOwnerOnly = 0600;
  const int descriptor =
      ::open(Path(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kOwnerOnly);
  if (descriptor < 0) {
    return IoError("open", Path(name));
  }
  return std::unique_ptr<AppendFile>(std::make_unique<PosixAppendFile>(descriptor, Path(name)));
}

absl::Status PosixFileSystem::Truncate(const std::string& name, size_t size) {
  const int descriptor = ::open(Path(name).c_str(), O_WRONLY | O_CLOEXEC);
  if (descriptor < 0) {
    return IoError("open", Path(name));
  }
  const bool ok =
      ::ftruncate(descriptor, static_cast<off_t>(size)) == 0 && ::fsync(descriptor) == 0;
  absl::Status status = ok ? absl::OkStatus() : IoError("truncate", Path(name));
  ::close(descriptor);
  return status;
}

absl::Status PosixFileSystem::Rename(const std::string& from, const std::string& to) {
  return std::rename(Path(from).c_str(), Path(to).c_str()) == 0 ? absl::OkStatus()
                                                                : IoError("rename", Path(from));
}

absl::Status PosixFileSystem::Remove(const std::string& name) {
  return ::unlink(Path(name).c_str()) == 0 || errno == ENOENT ? absl::OkStatus()
                                                              : IoError("unlink", Path(name));
}

absl::Status PosixFileSystem::SyncDirectory() {
  const int descriptor = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return IoError("open", folder_);
  }
  absl::Status status = ::fsync(descriptor) == 0 ? absl::OkStatus() : IoError("fsync", folder_);
  ::close(descriptor);
  return status;
}

std::vector<std::string> PosixFileSystem::List() {
  std::vector<std::string> names;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder_, error)) {
    names.push_back(entry.path().filename().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace pumicedyke::storage
