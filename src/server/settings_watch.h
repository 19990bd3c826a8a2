// Notices that a settings file has changed, with or without a signal.
#pragma once

#include <sys/types.h>

#include <string>

#include "common/types.h"

namespace pumicedyke::server {

class SettingsWatch {
 public:
  explicit SettingsWatch(std::string path);

  /// Looks at the file now and then. @return whether it should be read again.
  bool Changed(Timestamp now);
  /// The next Changed() says yes.
  void Force() { forced_ = true; }

 private:
  struct Version {
    int64_t modified_ns = 0;
    ino_t inode = 0;
    off_t size = 0;
    bool operator==(const Version&) const = default;
  };
  Version Look() const;

  std::string path_;
  Version seen_;
  Timestamp next_look_{};
  bool forced_ = false;
};

}  // namespace pumicedyke::server
