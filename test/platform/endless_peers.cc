#include "platform/endless_peers.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <optional>
#include <utility>

#include "absl/strings/str_replace.h"
#include "e2e/read_request.h"
#include "http/http_server.h"
#include "http/message.h"
#include "platform/heartbeat.h"

namespace pumicedyke::platform {
namespace {

constexpr size_t kBytesPerSend = 256 * 1024;

/// @return whether all bytes were taken; if not, `end` says why.
bool SendAll(int socket, const std::string& bytes, EndlessEnd* end) {
  for (size_t sent = 0; sent < bytes.size();) {
    const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0) {
      *end = errno == EAGAIN ? EndlessEnd::kUnread : EndlessEnd::kClosed;
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

}  // namespace

EndlessEnd SendEndless(int socket, const EndlessBytes& bytes) {
  const timeval patience{.tv_sec = 0, .tv_usec = 300000};
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
  std::string block;
  while (block.size() < kBytesPerSend) {
    block += bytes.rest;
  }
  EndlessEnd end = EndlessEnd::kTaken;
  bool open = SendAll(socket, bytes.start, &end);
  for (size_t sent = 0; open && sent < kMostEndlessBytes; sent += block.size()) {
    open = SendAll(socket, block, &end);
  }
  return end;
}

EndlessEnd SendEndlessTo(const std::string& address, const EndlessBytes& bytes) {
  std::string host;
  uint16_t port = 0;
  http::SplitAddress(address, &host, &port);
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(port);
  ::inet_pton(AF_INET, host.c_str(), &peer.sin_addr);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const bool connected = ::connect(socket, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) == 0;
  const EndlessEnd end = connected ? SendEndless(socket, bytes) : EndlessEnd::kClosed;
  ::close(socket);
  return end;
}

EndlessLeaf::EndlessLeaf(std::string id, std::string service, EndlessBytes answer)
    : id_(std::move(id)),
      service_(std::move(service)),
      answer_(std::move(answer)),
      listener_([this](int connection) { Serve(connection); }) {}

void EndlessLeaf::Serve(int connection) {
  const std::optional<http::RequestMessage> request = e2e::ReadRequest(connection);
  if (!request.has_value()) {
    return;
  }
  const std::string* header = http::FindHeader(request->headers, "X-Request-Id");
  const std::string id = header == nullptr ? "" : *header;
  {
    const std::lock_guard lock(mutex_);
    received_.insert(id);
  }
  const EndlessBytes answer{absl::StrReplaceAll(answer_.start, {{"$ID", id}}), answer_.rest};
  if (SendEndless(connection, answer) == EndlessEnd::kTaken) {
    ++taken_;
  }
}

bool EndlessLeaf::HasReceived(const std::string& request) const {
  const std::lock_guard lock(mutex_);
  return received_.contains(request);
}

int EndlessLeaf::SendHeartbeat(const std::string& control) {
  return PostHeartbeat(control, {id_, service_, listener_.address(), ++heartbeats_});
}

}  // namespace pumicedyke::platform
