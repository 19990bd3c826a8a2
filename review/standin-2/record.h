// The record of a case: what was sent, answered and run, with the time since its start.
#pragma once

#include <cstdio>
#include <mutex>
#include <string>

#include "sockets.h"

namespace standin {

class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  ~Record() { std::fclose(file_); }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  /// Thread-safe.
  void Add(const std::string& text) {
    const std::chrono::duration<double> elapsed = Clock::now() - started_;
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", elapsed.count(), text.c_str());
    std::fflush(file_);
  }

 private:
  const Clock::time_point started_ = Clock::now();
  std::mutex mutex_;
  std::FILE* file_;
};

}  // namespace standin
