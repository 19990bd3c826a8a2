// Blocking TCP sockets with time limits, and HTTP/1.1 messages on them. Loopback only.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// How a read ended.
enum class ReadEnd { kData, kClosed, kReset, kTimeout };

/// Owns a connected or listening socket.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int handle) : handle_(handle) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : handle_(std::exchange(other.handle_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }

  bool open() const { return handle_ >= 0; }
  int handle() const { return handle_; }
  void Close();
  /// Closes the connection with a reset.
  void Reset();
  bool SendAll(const std::string& bytes);
  /// Appends received bytes to `buffer`.
  ReadEnd Read(std::string* buffer, Clock::time_point until);
  /// Whether the peer has closed the connection; does not consume bytes.
  bool PeerClosed() const;

 private:
  int handle_ = -1;
};

/// @param address "IP:port".
Socket Connect(const std::string& address, milliseconds timeout = milliseconds(1000));
/// Listens on `ip`; port 0 chooses a free one. @return the socket and its port.
std::pair<Socket, uint16_t> Listen(const std::string& ip, uint16_t port = 0);
Socket Accept(const Socket& listener, milliseconds timeout);
/// Returns a port that is free on every loopback address used here.
uint16_t FreePort();

struct Message {
  /// Request line or status line.
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// Value of the first header of that name (any case); empty if there is none.
  std::string Header(const std::string& name) const;
  bool Has(const std::string& name) const;
  int status() const;
  std::string method() const;
  std::string target() const;
};

/// Reads one message with Content-Length or chunked framing. Bytes after it stay in `buffer`.
std::optional<Message> ReadMessage(Socket* socket, std::string* buffer, Clock::time_point until,
                                   ReadEnd* end = nullptr);

std::string Encode(const std::string& first_line,
                   const std::vector<std::pair<std::string, std::string>>& headers,
                   const std::string& body);

}  // namespace standin
