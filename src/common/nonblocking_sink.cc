#include "common/nonblocking_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace pumicedyke {
namespace {

/// Lines are collected up to this size before they are written.
constexpr size_t kBatchBytes = 8 * 1024;

}  // namespace

void NonblockingSink::sink_it_(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (buffer_.size() + line.size() > capacity_) {
    Write();
  }
  if (buffer_.size() + line.size() > capacity_) {
    ++dropped_;
    return;
  }
  buffer_.append(line.data(), line.size());
  if (buffer_.size() >= kBatchBytes) {
    Write();
  }
}

void NonblockingSink::flush_() { Write(); }

void NonblockingSink::Drain() {
  const std::lock_guard lock(mutex_);
  if (!buffer_.empty()) {
    Write();
  }
}

uint64_t NonblockingSink::dropped() {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

void NonblockingSink::Write() {
  size_t written = 0;
  while (written < buffer_.size()) {
    // The descriptor is shared with other processes, so it must not be made non-blocking. A pipe
    // that polls as writable accepts PIPE_BUF bytes without blocking.
    pollfd ready{descriptor_, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const size_t size = std::min<size_t>(PIPE_BUF, buffer_.size() - written);
    const ssize_t result = ::write(descriptor_, buffer_.data() + written, size);
    if (result <= 0) {
      break;
    }
    written += static_cast<size_t>(result);
  }
  buffer_.erase(0, written);
}

}  // namespace pumicedyke
