#include "e2e/raw_connection.h"

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "http/http_server.h"

namespace pumicedyke::e2e {

namespace {

/// @return whether somebody listens at the address.
bool Connect(int socket, const std::string& address) {
  std::string host;
  uint16_t port = 0;
  CPPUNIT_ASSERT(http::SplitAddress(address, &host, &port));
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(port);
  ::inet_pton(AF_INET, host.c_str(), &peer.sin_addr);
  return ::connect(socket, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) == 0;
}

}  // namespace

RawConnection::RawConnection() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {}

RawConnection::RawConnection(const std::string& address, int receive_buffer) : RawConnection() {
  if (receive_buffer > 0) {
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  }
  CPPUNIT_ASSERT(Connect(socket_, address));
}

std::unique_ptr<RawConnection> RawConnection::ConnectIfListening(const std::string& address) {
  std::unique_ptr<RawConnection> connection(new RawConnection());
  return Connect(connection->socket_, address) ? std::move(connection) : nullptr;
}

RawConnection::~RawConnection() { ::close(socket_); }

void RawConnection::SendBytes(const std::string& text) const {
  (void)!::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
}

void RawConnection::StopSending() const { ::shutdown(socket_, SHUT_WR); }

std::string RawConnection::ReadToEnd() const { return ReadUntil(""); }

std::string RawConnection::ReadUntil(const std::string& end) const {
  std::string text;
  char buffer[4096];
  for (ssize_t got = ::read(socket_, buffer, sizeof(buffer)); got > 0;
       got = ::read(socket_, buffer, sizeof(buffer))) {
    text.append(buffer, static_cast<size_t>(got));
    if (!end.empty() && text.ends_with(end)) {
      break;
    }
  }
  return text;
}

std::string RawConnection::ReadAvailable() {
  std::string text;
  char buffer[4096];
  while (true) {
    const ssize_t got = ::recv(socket_, buffer, sizeof(buffer), MSG_DONTWAIT);
    const bool nothing_yet = got < 0 && (errno == EAGAIN || errno == EINTR);
    closed_ |= got <= 0 && !nothing_yet;
    reset_ |= got < 0 && errno == ECONNRESET;
    if (got <= 0) {
      return text;
    }
    text.append(buffer, static_cast<size_t>(got));
  }
}

}  // namespace pumicedyke::e2e
