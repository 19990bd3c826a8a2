#include "net/byte_stream.h"

#include <ace/INET_Addr.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace pumicedyke::net {
namespace {

constexpr size_t kReadBytes = 16 * 1024;
/// Maximum reads per loop iteration, so that a fast peer does not starve the others.
constexpr int kReadsPerIteration = 4;
/// Bytes that stay unacknowledged for this long end a connection: a partitioned peer does not close
/// it.
constexpr unsigned kUserTimeoutMilliseconds = 4000;
/// The last bytes of a connection may stay longer: nothing here waits for them. The shorter time
/// also ends connections of peers that read with pauses of a second.
constexpr unsigned kLastBytesTimeoutMilliseconds = 30000;

void SetUserTimeout(ACE_HANDLE handle, unsigned milliseconds) {
  ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

void ConfigureSocket(ACE_HANDLE handle) {
  const int flags = ::fcntl(handle, F_GETFL);
  ::fcntl(handle, F_SETFL, flags | O_NONBLOCK);
  const int on = 1;
  ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  SetUserTimeout(handle, kUserTimeoutMilliseconds);
}

bool WouldBlock() { return errno == EWOULDBLOCK || errno == EAGAIN || errno == EINTR; }

}  // namespace

ByteStream::ByteStream(EventLoop* loop, ACE_HANDLE handle, Callbacks callbacks)
    : loop_(loop), handle_(handle), callbacks_(std::move(callbacks)), was_connected_(true) {
  ConfigureSocket(handle_);
  Register(ACE_Event_Handler::READ_MASK);
}

ByteStream::ByteStream(EventLoop* loop, const std::string& address, Callbacks callbacks)
    : loop_(loop), callbacks_(std::move(callbacks)) {
  handle_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (handle_ != ACE_INVALID_HANDLE) {
    ConfigureSocket(handle_);
    const ACE_INET_Addr remote(address.c_str());
    const int result =
        ::connect(handle_, static_cast<sockaddr*>(remote.get_addr()), sizeof(sockaddr_in));
    connecting_ = result != 0 && errno == EINPROGRESS;
    if (result == 0 || connecting_) {
      wants_writes_ = connecting_;
      was_connected_ = !connecting_;
      Register(connecting_ ? ACE_Event_Handler::WRITE_MASK : ACE_Event_Handler::READ_MASK);
      return;
    }
  }
  // The owner must not be called back before this constructor has returned.
  loop_->Defer([end = callbacks_.on_end] { end(StreamEnd::kBroken); });
  callbacks_ = {};
  Close();
}

ByteStream::~ByteStream() { Close(); }

void ByteStream::Register(ACE_Reactor_Mask mask) {
  registered_ = loop_->poller()->Watch(this, mask);
}

void ByteStream::Close() {
  if (registered_) {
    registered_ = false;
    loop_->poller()->Remove(this);
  }
  if (handle_ != ACE_INVALID_HANDLE) {
    ::close(std::exchange(handle_, ACE_INVALID_HANDLE));
  }
}

void ByteStream::StopSending() {
  if (open()) {
    SetUserTimeout(handle_, kLastBytesTimeoutMilliseconds);
    ::shutdown(handle_, SHUT_WR);
  }
}

void ByteStream::End(StreamEnd end) {
  if (!open()) {
    return;
  }
  Close();
  if (callbacks_.on_end) {
    callbacks_.on_end(end);
  }
}

bool ByteStream::HasUnreadInput() const {
  char byte = 0;
  return open() && ::recv(handle_, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

Duration ByteStream::RoundTrip() const {
  tcp_info info{};
  socklen_t length = sizeof(info);
  const bool known = open() && ::getsockopt(handle_, IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
  return known ? Microseconds(info.tcpi_rtt) : Duration(0);
}

void ByteStream::Watch() {
  const ACE_Reactor_Mask reads = reading_ ? ACE_Event_Handler::READ_MASK : 0;
  const ACE_Reactor_Mask writes = wants_writes_ ? ACE_Event_Handler::WRITE_MASK : 0;
  loop_->poller()->Watch(this, reads | writes);
}

void ByteStream::WantWrites(bool want) {
  if (want != wants_writes_ && open()) {
    wants_writes_ = want;
    Watch();
  }
}

void ByteStream::SetReading(bool reading) {
  if (reading != reading_ && connected()) {
    reading_ = reading;
    Watch();
  }
}

void ByteStream::Write(std::string_view bytes) {
  if (!open()) {
    return;
  }
  output_.append(bytes);
  if (!connecting_ && !wants_writes_) {
    Flush();
  }
}

void ByteStream::Flush() {
  size_t offset = 0;
  while (offset < output_.size()) {
    const ssize_t written =
        ::send(handle_, output_.data() + offset, output_.size() - offset, MSG_NOSIGNAL);
    if (written > 0) {
      offset += static_cast<size_t>(written);
      continue;
    }
    if (WouldBlock()) {
      break;
    }
    // Bytes that the peer sent before it disconnected may still be unread. The read ends the
    // stream; it finds no error any more, as the operating system reports each only once. EPIPE
    // follows the peer's orderly close.
    broken_ = broken_ || errno != EPIPE;
    output_.clear();
    WantWrites(false);
    SetReading(true);
    return;
  }
  output_.erase(0, offset);
  WantWrites(!output_.empty());
  if (output_.empty() && callbacks_.on_drained) {
    callbacks_.on_drained();
  }
}

bool ByteStream::FinishConnecting() {
  int error = 0;
  socklen_t length = sizeof(error);
  ::getsockopt(handle_, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    End(StreamEnd::kBroken);
    return false;
  }
  connecting_ = false;
  was_connected_ = true;
  wants_writes_ = false;
  loop_->poller()->Watch(this, ACE_Event_Handler::READ_MASK);
  if (callbacks_.on_connected) {
    callbacks_.on_connected();
  }
  return open();
}

int ByteStream::handle_output(ACE_HANDLE /*handle*/) {
  if (!open()) {
    return 0;
  }
  if (connecting_ && !FinishConnecting()) {
    return 0;
  }
  Flush();
  return 0;
}

int ByteStream::handle_input(ACE_HANDLE /*handle*/) {
  if (connecting_) {
    return handle_output(handle_);
  }
  std::array<char, kReadBytes> buffer;
  for (int reads = 0; reads < kReadsPerIteration && open() && reading_; ++reads) {
    const ssize_t received = ::recv(handle_, buffer.data(), buffer.size(), 0);
    if (received < 0 && WouldBlock()) {
      return 0;
    }
    if (received <= 0) {
      End(received == 0 && !broken_ ? StreamEnd::kClosed : StreamEnd::kBroken);
      return 0;
    }
    input_.append(buffer.data(), static_cast<size_t>(received));
    callbacks_.on_bytes(&input_);
    if (static_cast<size_t>(received) < buffer.size()) {
      return 0;
    }
  }
  return 0;
}

}  // namespace pumicedyke::net
