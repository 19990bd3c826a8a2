#include "soak/hostile_leaf.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "http/message_parser.h"
#include "net/event_loop.h"
#include "platform/heartbeat.h"

namespace pumicedyke::soak {
namespace {

constexpr Duration kSpell = Seconds(3);
/// In a bad spell, one request of so many is answered well.
constexpr uint64_t kAnswersOneOf = 10;
constexpr char kHeadEnd[] = "\r\n\r\n";

std::string Value(const http::Headers& headers, const std::string& name) {
  const std::string* value = http::FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

void Write(int connection, const std::string& text) {
  // If the peer has closed the connection, the next read tells.
  (void)!::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
}

/// Returns a signed answer.
std::string Answer(const std::string& status, const std::string& leaf,
                   const std::string& request_id) {
  const std::string body = HostileBody(request_id);
  return "HTTP/1.1 " + status + "\r\nX-Instance-Id: " + leaf + "\r\nX-Request-Id: " + request_id +
         "\r\nX-Server-Stamp: " + leaf + "." + request_id +
         "\r\nContent-Length: " + std::to_string(body.size()) + kHeadEnd + body;
}

std::string WrongInstance(const std::string& leaf) {
  return "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + leaf +
         "\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

std::string HostileBody(const std::string& request_id) {
  constexpr size_t kLines = 100;
  std::string body;
  for (size_t i = 0; i < kLines; ++i) {
    body += request_id + " " + std::to_string(i) + "\n";
  }
  return body;
}

HostileLeaf::HostileLeaf(uint64_t seed, std::string name, std::string service, ArrivedCb arrived)
    : seed_(seed),
      name_(std::move(name)),
      service_(std::move(service)),
      arrived_(std::move(arrived)),
      start_(net::EventLoop::Now()),
      listener_([this](int connection) { Serve(connection); }) {}

HostileLeaf::Mode HostileLeaf::NextMode() {
  static constexpr Mode kModes[] = {Mode::kWell,      Mode::kWell,   Mode::kFails,
                                    Mode::kFails,     Mode::kSilent, Mode::kBreaksHead,
                                    Mode::kBreaksBody};
  if (!hostile_ || ++request_count_ % kAnswersOneOf == 0) {
    return Mode::kWell;
  }
  const int64_t spell = (net::EventLoop::Now() - start_) / kSpell;
  const std::string drawn_by = std::to_string(seed_) + "/" + name_ + "/" + std::to_string(spell);
  return kModes[std::hash<std::string>()(drawn_by) % std::size(kModes)];
}

void HostileLeaf::Serve(int connection) {
  http::RequestParser parser({});
  std::string input;
  std::array<char, 4096> bytes{};
  for (ssize_t count = 1; count > 0 && parser.state() != http::ParseState::kFailed;) {
    count = ::recv(connection, bytes.data(), bytes.size(), 0);
    input.append(bytes.data(), static_cast<size_t>(std::max<ssize_t>(0, count)));
    while (!input.empty() && parser.Consume(&input) == http::ParseState::kComplete) {
      if (!OnRequest(connection, parser.Take())) {
        return;
      }
    }
  }
}

bool HostileLeaf::OnRequest(int connection, const http::RequestMessage& request) {
  const std::string request_id = Value(request.headers, "X-Request-Id");
  const std::string whole = Answer("200 OK", name_, request_id);
  if (Value(request.headers, "X-Expect-Instance") != name_) {
    Write(connection, WrongInstance(name_));
    return true;
  }
  arrived_(request_id);
  switch (NextMode()) {
    case Mode::kWell:
      Write(connection, whole);
      return true;
    case Mode::kFails:
      Write(connection, Answer("500 Internal Server Error", name_, request_id));
      return true;
    case Mode::kSilent:
      return true;
    case Mode::kBreaksHead:
      Write(connection, whole.substr(0, whole.find("X-Server-Stamp") + 4));
      return false;
    case Mode::kBreaksBody:
      Write(connection, whole.substr(0, whole.size() / 2));
      return false;
  }
  return false;
}

int HostileLeaf::SendHeartbeat(const std::string& control) {
  return platform::PostHeartbeat(control, {name_, service_, listener_.address(), ++heartbeats_});
}

}  // namespace pumicedyke::soak
