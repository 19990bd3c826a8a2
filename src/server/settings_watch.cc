#include "server/settings_watch.h"

#include <sys/stat.h>

#include <utility>

namespace pumicedyke::server {
namespace {

constexpr Duration kCheckInterval = Seconds(2);
constexpr int64_t kNanosecondsPerSecond = 1000000000;

}  // namespace

SettingsWatch::SettingsWatch(std::string path) : path_(std::move(path)), seen_(ReadVersion()) {}

SettingsWatch::Version SettingsWatch::ReadVersion() const {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0) {
    return {};
  }
  return {status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec, status.st_ino,
          status.st_size};
}

bool SettingsWatch::Changed(Timestamp now) {
  if (!forced_ && now < next_check_) {
    return false;
  }
  next_check_ = now + kCheckInterval;
  const Version version = ReadVersion();
  return std::exchange(forced_, false) | (std::exchange(seen_, version) != version);
}

}  // namespace pumicedyke::server
