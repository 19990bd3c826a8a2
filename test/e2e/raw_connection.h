// A connection on which a test sends arbitrary bytes, and reads what comes back.
#pragma once

#include <memory>
#include <string>

namespace pumicedyke::e2e {

class RawConnection {
 public:
  /// Connects; fails the test if that is refused.
  /// @param receive_buffer bytes that the operating system keeps for a reader that is slow; zero:
  /// its default.
  explicit RawConnection(const std::string& address, int receive_buffer = 0);
  /// @return null if nobody listens.
  static std::unique_ptr<RawConnection> ConnectIfListening(const std::string& address);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void SendBytes(const std::string& text) const;
  void StopSending() const;
  /// Reads until the peer closes the connection.
  std::string ReadToEnd() const;
  /// Reads until `end` has arrived or the peer closes the connection.
  std::string ReadUntil(const std::string& end) const;
  /// Returns what has arrived, without waiting.
  std::string ReadAvailable();
  /// Whether ReadAvailable() has found the connection closed or reset by the peer.
  bool closed() const { return closed_; }
  /// Whether it was reset.
  bool reset() const { return reset_; }

 private:
  /// Only creates the socket.
  RawConnection();

  int socket_ = -1;
  bool closed_ = false;
  bool reset_ = false;
};

}  // namespace pumicedyke::e2e
