#include "sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <random>

namespace standin {
namespace {

int MillisecondsUntil(Clock::time_point until) {
  const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
  return static_cast<int>(std::clamp<int64_t>(left, 0, 1 << 30));
}

bool Wait(int handle, short events, Clock::time_point until) {
  pollfd item{handle, events, 0};
  return ::poll(&item, 1, MillisecondsUntil(until)) > 0;
}

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool SameName(const std::string& a, const std::string& b) {
  return ::strcasecmp(a.c_str(), b.c_str()) == 0;
}

/// Takes the next line, without its end, from `buffer` at `*at`.
std::optional<std::string> TakeLine(const std::string& buffer, size_t* at) {
  const size_t end = buffer.find("\r\n", *at);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  std::string line = buffer.substr(*at, end - *at);
  *at = end + 2;
  return line;
}

/// Decodes a chunked body at `at`. @return whether it is complete; `*end` is then set behind it.
bool TakeChunks(const std::string& buffer, size_t at, std::string* body, size_t* end) {
  body->clear();
  while (true) {
    const std::optional<std::string> size_line = TakeLine(buffer, &at);
    if (!size_line.has_value()) {
      return false;
    }
    const size_t size = std::strtoul(size_line->c_str(), nullptr, 16);
    if (buffer.size() < at + size + 2) {
      return false;
    }
    body->append(buffer, at, size);
    at += size + 2;
    if (size == 0) {
      *end = at;
      return true;
    }
  }
}

bool Parse(std::string* buffer, Message* message) {
  const size_t head_end = buffer->find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return false;
  }
  Message parsed;
  size_t at = 0;
  parsed.first_line = *TakeLine(*buffer, &at);
  while (at < head_end + 2) {
    const std::string line = *TakeLine(*buffer, &at);
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const size_t value = line.find_first_not_of(' ', colon + 1);
    parsed.headers.emplace_back(line.substr(0, colon),
                                value == std::string::npos ? "" : line.substr(value));
  }
  const size_t body_at = head_end + 4;
  size_t end = body_at;
  if (SameName(parsed.Header("Transfer-Encoding"), "chunked")) {
    if (!TakeChunks(*buffer, body_at, &parsed.body, &end)) {
      return false;
    }
  } else {
    const size_t length = std::strtoul(parsed.Header("Content-Length").c_str(), nullptr, 10);
    if (buffer->size() < body_at + length) {
      return false;
    }
    parsed.body = buffer->substr(body_at, length);
    end = body_at + length;
  }
  buffer->erase(0, end);
  *message = std::move(parsed);
  return true;
}

}  // namespace

void Socket::Close() {
  if (handle_ >= 0) {
    ::close(std::exchange(handle_, -1));
  }
}

void Socket::Reset() {
  const linger now{1, 0};
  ::setsockopt(handle_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

bool Socket::SendAll(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(handle_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

ReadEnd Socket::Read(std::string* buffer, Clock::time_point until) {
  if (!Wait(handle_, POLLIN, until)) {
    return ReadEnd::kTimeout;
  }
  char bytes[16384];
  const ssize_t count = ::recv(handle_, bytes, sizeof(bytes), 0);
  if (count > 0) {
    buffer->append(bytes, static_cast<size_t>(count));
    return ReadEnd::kData;
  }
  return count == 0 ? ReadEnd::kClosed : ReadEnd::kReset;
}

bool Socket::PeerClosed() const {
  char byte = 0;
  const ssize_t count = ::recv(handle_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Socket Connect(const std::string& address, milliseconds timeout) {
  const size_t colon = address.rfind(':');
  const sockaddr_in remote = AddressOf(
      address.substr(0, colon), static_cast<uint16_t>(std::atoi(address.c_str() + colon + 1)));
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const timeval limit{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
  ::setsockopt(socket.handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  if (::connect(socket.handle(), reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) != 0) {
    return {};
  }
  const timeval long_limit{30, 0};
  ::setsockopt(socket.handle(), SOL_SOCKET, SO_SNDTIMEO, &long_limit, sizeof(long_limit));
  const int on = 1;
  ::setsockopt(socket.handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

std::pair<Socket, uint16_t> Listen(const std::string& ip, uint16_t port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(socket.handle(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in local = AddressOf(ip, port);
  socklen_t size = sizeof(local);
  if (::bind(socket.handle(), reinterpret_cast<sockaddr*>(&local), size) != 0 ||
      ::listen(socket.handle(), 512) != 0) {
    return {};
  }
  ::getsockname(socket.handle(), reinterpret_cast<sockaddr*>(&local), &size);
  return {std::move(socket), ntohs(local.sin_port)};
}

Socket Accept(const Socket& listener, milliseconds timeout) {
  if (!Wait(listener.handle(), POLLIN, Clock::now() + timeout)) {
    return {};
  }
  Socket socket(::accept4(listener.handle(), nullptr, nullptr, SOCK_CLOEXEC));
  const int on = 1;
  ::setsockopt(socket.handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

uint16_t FreePort() {
  // Below the ports that the system gives to outgoing connections, which could take it meanwhile.
  constexpr int kLowest = 20000;
  constexpr int kCount = 12000;
  static std::mt19937 random(std::random_device{}());
  while (true) {
    const auto port = static_cast<uint16_t>(kLowest + random() % kCount);
    // Bound to all addresses, so the port is free on each of them.
    if (Listen("0.0.0.0", port).first.open()) {
      return port;
    }
  }
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [known, value] : headers) {
    if (SameName(known, name)) {
      return value;
    }
  }
  return {};
}

bool Message::Has(const std::string& name) const {
  return std::any_of(headers.begin(), headers.end(),
                     [&](const auto& header) { return SameName(header.first, name); });
}

int Message::status() const {
  const size_t space = first_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(first_line.c_str() + space + 1);
}

std::string Message::method() const { return first_line.substr(0, first_line.find(' ')); }

std::string Message::target() const {
  const size_t begin = first_line.find(' ') + 1;
  return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

std::optional<Message> ReadMessage(Socket* socket, std::string* buffer, Clock::time_point until,
                                   ReadEnd* end) {
  Message message;
  while (!Parse(buffer, &message)) {
    const ReadEnd read = socket->Read(buffer, until);
    if (read != ReadEnd::kData) {
      if (end != nullptr) {
        *end = read;
      }
      return std::nullopt;
    }
  }
  return message;
}

std::string Encode(const std::string& first_line,
                   const std::vector<std::pair<std::string, std::string>>& headers,
                   const std::string& body) {
  std::string text = first_line + "\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n" + body;
}

}  // namespace standin
