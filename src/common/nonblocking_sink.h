// A log sink over a descriptor that is written only as far as it takes bytes at once.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>

#include "spdlog/sinks/base_sink.h"

namespace pumicedyke {

class NonblockingSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  /// @param descriptor not owned. @param capacity bytes that may wait.
  NonblockingSink(int descriptor, size_t capacity) : descriptor_(descriptor), capacity_(capacity) {}

  /// Lines that found no room.
  uint64_t dropped();
  /// Writes as much as the descriptor takes now.
  void Drain();

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;  // NOLINT
  void flush_() override;                                           // NOLINT

 private:
  void Write();

  int descriptor_;
  size_t capacity_;
  std::string waiting_;
  uint64_t dropped_ = 0;
};

}  // namespace pumicedyke
