// A log sink for a file descriptor that writes only what the descriptor accepts without blocking.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>

#include "spdlog/sinks/base_sink.h"

namespace pumicedyke {

class NonblockingSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  /// @param descriptor not owned. @param capacity maximum bytes buffered.
  NonblockingSink(int descriptor, size_t capacity) : descriptor_(descriptor), capacity_(capacity) {}

  /// Number of lines dropped because the buffer was full.
  uint64_t dropped();
  /// Writes as much of the buffer as the descriptor accepts now.
  void Drain();

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;  // NOLINT
  void flush_() override;                                           // NOLINT

 private:
  void Write();

  int descriptor_;
  size_t capacity_;
  std::string buffer_;
  uint64_t dropped_ = 0;
};

}  // namespace pumicedyke
