#include "http/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "common/result_code.h"
#include "http/server_connection.h"

namespace pumicedyke::http {
namespace {

constexpr int kBacklog = 1024;
constexpr int kAcceptsPerIteration = 16;

}  // namespace

bool SplitAddress(const std::string& address, std::string* host, uint16_t* port) {
  const size_t colon = address.rfind(':');
  int number = 0;
  if (colon == std::string::npos || !absl::SimpleAtoi(address.substr(colon + 1), &number) ||
      number < 0 || number > 65535) {
    return false;
  }
  *host = address.substr(0, colon);
  *port = static_cast<uint16_t>(number);
  return true;
}

HttpServer::HttpServer(net::EventLoop* loop, HttpServerOptions options, Handler handler)
    : loop_(loop), options_(std::move(options)), handler_(std::move(handler)) {}

HttpServer::~HttpServer() {
  StopListening();
  for (const auto& [id, connection] : connections_) {
    connection->Detach();
  }
}

absl::Status HttpServer::Listen(const std::string& address) {
  std::string host;
  sockaddr_in local{};
  uint16_t port = 0;
  local.sin_family = AF_INET;
  const bool readable = SplitAddress(address, &host, &port) &&
                        ::inet_pton(AF_INET, host.c_str(), &local.sin_addr) == 1;
  if (!readable) {
    return MakeStatus(ResultCode::kInvalidConfig, address + " is not an IPv4 number and a port");
  }
  local.sin_port = htons(port);
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  socklen_t size = sizeof(local);
  const bool listening = ::bind(listener_, reinterpret_cast<sockaddr*>(&local), size) == 0 &&
                         ::listen(listener_, kBacklog) == 0;
  if (!listening) {
    const std::string why = std::strerror(errno);
    ::close(std::exchange(listener_, ACE_INVALID_HANDLE));
    return MakeStatus(ResultCode::kInvalidConfig, "cannot listen on " + address + ": " + why);
  }
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&local), &size);
  port_ = ntohs(local.sin_port);
  loop_->poller()->Watch(this, ACE_Event_Handler::ACCEPT_MASK);
  return absl::OkStatus();
}

int HttpServer::handle_input(ACE_HANDLE /*handle*/) {
  for (int accepted = 0; accepted < kAcceptsPerIteration && Accept(); ++accepted) {
  }
  return 0;
}

bool HttpServer::Accept() {
  const ACE_HANDLE handle = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (handle == ACE_INVALID_HANDLE) {
    return false;
  }
  if (connections_.size() >= options_.max_connections) {
    ::close(handle);
    return true;
  }
  const uint64_t id = next_connection_++;
  connections_.emplace(id, std::make_shared<Connection>(this, id, handle));
  return true;
}

void HttpServer::Remove(uint64_t id) {
  const auto it = connections_.find(id);
  if (it != connections_.end()) {
    // The connection may be the caller, so it is destroyed in the next loop iteration.
    loop_->Defer([connection = it->second] {});
    connections_.erase(it);
  }
}

void HttpServer::StopListening() {
  if (listener_ == ACE_INVALID_HANDLE) {
    return;
  }
  for (int accepted = 0; accepted < kBacklog && Accept(); ++accepted) {
  }
  loop_->poller()->Remove(this);
  ::close(std::exchange(listener_, ACE_INVALID_HANDLE));
}

void HttpServer::CloseIdleConnections() {
  for (const auto& connection : Connections()) {
    connection->CloseIfIdle();
  }
}

void HttpServer::RefuseUnfinishedRequests() {
  for (const auto& connection : Connections()) {
    connection->RefuseIfUnfinished();
  }
}

std::vector<std::shared_ptr<HttpServer::Connection>> HttpServer::Connections() const {
  std::vector<std::shared_ptr<Connection>> open;
  for (const auto& [id, connection] : connections_) {
    open.push_back(connection);
  }
  return open;
}

}  // namespace pumicedyke::http
