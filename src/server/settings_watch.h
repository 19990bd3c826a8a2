// Detects changes of a settings file by polling it; Force() reports a change at once.
#pragma once

#include <sys/types.h>

#include <string>

#include "common/types.h"

namespace pumicedyke::server {

class SettingsWatch {
 public:
  explicit SettingsWatch(std::string path);

  /// Checks the file at intervals. @return whether it should be reloaded.
  bool Changed(Timestamp now);
  /// Makes the next Changed() return true.
  void Force() { forced_ = true; }

 private:
  struct Version {
    int64_t modified_ns = 0;
    ino_t inode = 0;
    off_t size = 0;
    bool operator==(const Version&) const = default;
  };
  Version ReadVersion() const;

  std::string path_;
  Version seen_;
  Timestamp next_check_{};
  bool forced_ = false;
};

}  // namespace pumicedyke::server
