#include "e2e/raw_listener.h"

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace pumicedyke::e2e {

RawListener::RawListener(ServeCb serve) : serve_(std::move(serve)) {
  constexpr int kBacklog = 64;
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  CPPUNIT_ASSERT(::bind(socket_, reinterpret_cast<sockaddr*>(&address), size) == 0);
  CPPUNIT_ASSERT(::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  CPPUNIT_ASSERT(::listen(socket_, kBacklog) == 0);
  address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  acceptor_ = std::thread([this] { Accept(); });
}

RawListener::~RawListener() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    for (const int connection : connections_) {
      ::shutdown(connection, SHUT_RDWR);
    }
  }
  ::shutdown(socket_, SHUT_RDWR);
  acceptor_.join();
  for (std::thread& server : servers_) {
    server.join();
  }
  ::close(socket_);
}

void RawListener::Accept() {
  for (;;) {
    const int connection = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      return;
    }
    const std::lock_guard lock(mutex_);
    if (stopped_) {
      ::close(connection);
      return;
    }
    connections_.insert(connection);
    servers_.emplace_back([this, connection] { Serve(connection); });
  }
}

void RawListener::Serve(int connection) {
  serve_(connection);
  const std::lock_guard lock(mutex_);
  connections_.erase(connection);
  ::close(connection);
}

}  // namespace pumicedyke::e2e
