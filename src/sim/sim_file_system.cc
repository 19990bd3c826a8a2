#include "sim/sim_file_system.h"

#include <algorithm>
#include <utility>

namespace pumicedyke::sim {

class SimFileSystem::SimAppendFile : public storage::AppendFile {
 public:
  explicit SimAppendFile(std::shared_ptr<Content> content) : content_(std::move(content)) {}
  absl::Status Append(std::string_view bytes) override {
    content_->bytes.append(bytes);
    return absl::OkStatus();
  }
  absl::Status Sync() override {
    content_->synced = content_->bytes.size();
    return absl::OkStatus();
  }

 private:
  std::shared_ptr<Content> content_;
};

absl::StatusOr<std::string> SimFileSystem::Read(const std::string& name) {
  const auto it = current_.find(name);
  if (it == current_.end()) {
    return absl::NotFoundError(name);
  }
  return it->second->bytes;
}

absl::StatusOr<std::unique_ptr<storage::AppendFile>> SimFileSystem::OpenAppend(
    const std::string& name) {
  std::shared_ptr<Content>& content = current_[name];
  if (content == nullptr) {
    content = std::make_shared<Content>();
  }
  return std::unique_ptr<storage::AppendFile>(std::make_unique<SimAppendFile>(content));
}

absl::Status SimFileSystem::Truncate(const std::string& name, size_t size) {
  const auto it = current_.find(name);
  if (it == current_.end()) {
    return absl::NotFoundError(name);
  }
  it->second->bytes.resize(std::min(size, it->second->bytes.size()));
  it->second->synced = it->second->bytes.size();
  return absl::OkStatus();
}

absl::Status SimFileSystem::Rename(const std::string& from, const std::string& to) {
  const auto it = current_.find(from);
  if (it == current_.end()) {
    return absl::NotFoundError(from);
  }
  current_[to] = it->second;
  current_.erase(from);
  return absl::OkStatus();
}

absl::Status SimFileSystem::Remove(const std::string& name) {
  current_.erase(name);
  return absl::OkStatus();
}

absl::Status SimFileSystem::SyncDirectory() {
  durable_ = current_;
  return absl::OkStatus();
}

std::vector<std::string> SimFileSystem::List() {
  std::vector<std::string> names;
  for (const auto& [name, content] : current_) {
    names.push_back(name);
  }
  return names;
}

void SimFileSystem::Crash() {
  for (auto& [name, content] : durable_) {
    std::uniform_int_distribution<size_t> kept(content->synced, content->bytes.size());
    content->bytes.resize(kept(random_));
    content->synced = content->bytes.size();
  }
  current_ = durable_;
}

SimFileSystem SimFileSystem::DurableCopy() const {
  SimFileSystem copy(0);
  for (const auto& [name, content] : durable_) {
    auto kept = std::make_shared<Content>(*content);
    kept->bytes.resize(kept->synced);
    copy.durable_[name] = kept;
  }
  copy.current_ = copy.durable_;
  return copy;
}

void SimFileSystem::LoseEverything() {
  current_.clear();
  durable_.clear();
}

}  // namespace pumicedyke::sim
