#include "e2e/tcp_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <map>
#include <vector>

#include "absl/strings/str_cat.h"
#include "http/http_server.h"

namespace pumicedyke::e2e {
namespace {

constexpr int kPollMilliseconds = 5;

int ConnectTo(const std::string& target) {
  std::string host;
  uint16_t port = 0;
  if (!http::SplitAddress(target, &host, &port)) {
    return -1;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

}  // namespace

TcpProxy::TcpProxy(std::string target) : target_(std::move(target)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    std::abort();
  }
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  address_ = absl::StrCat("127.0.0.1:", ntohs(address.sin_port));
  constexpr int kBacklog = 64;
  ::listen(listener_, kBacklog);
  thread_ = std::thread([this] { Serve(); });
}

TcpProxy::~TcpProxy() {
  stop_ = true;
  thread_.join();
  ::close(listener_);
}

void TcpProxy::Serve() {
  std::map<int, int> peer_of;
  const auto close_pair = [&peer_of](int socket) {
    const int peer = peer_of.at(socket);
    for (const int end : {socket, peer}) {
      peer_of.erase(end);
      ::close(end);
    }
  };
  while (!stop_) {
    std::vector<pollfd> polled;
    if (!cut_) {
      polled.push_back({listener_, POLLIN, 0});
      for (const auto& [socket, peer] : peer_of) {
        polled.push_back({socket, POLLIN, 0});
      }
    }
    ::poll(polled.data(), polled.size(), kPollMilliseconds);
    for (const pollfd& item : polled) {
      if (item.revents == 0) {
        continue;
      }
      if (item.fd == listener_) {
        const int client = ::accept(listener_, nullptr, nullptr);
        const int server = ConnectTo(target_);
        if (server < 0) {
          ::close(client);
          continue;
        }
        peer_of[client] = server;
        peer_of[server] = client;
      } else if (peer_of.contains(item.fd)) {
        char buffer[65536];
        const ssize_t got = ::read(item.fd, buffer, sizeof(buffer));
        const bool forwarded = got > 0 && ::send(peer_of.at(item.fd), buffer,
                                                 static_cast<size_t>(got), MSG_NOSIGNAL) == got;
        if (!forwarded) {
          close_pair(item.fd);
        }
      }
    }
  }
  while (!peer_of.empty()) {
    close_pair(peer_of.begin()->first);
  }
}

}  // namespace pumicedyke::e2e
