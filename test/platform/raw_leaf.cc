#include "platform/raw_leaf.h"

#include <sys/socket.h>

#include <optional>
#include <utility>

#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "e2e/read_request.h"
#include "platform/heartbeat.h"

namespace pumicedyke::platform {
namespace {

constexpr char kRawSegment[] = "/raw/";

std::string LeafOf(const std::string& service) { return "raw-" + service; }

std::string ValueOf(const http::RequestMessage& request, const std::string& name) {
  const std::string* value = http::FindHeader(request.headers, name);
  return value == nullptr ? "" : *value;
}

http::RawAnswer OrdinaryAnswer(const std::string& service) {
  const http::AnswerParts parts = RawLeaf::PartsOf(service);
  const std::string length = "Content-Length: " + std::to_string(parts.body.size()) + "\r\n\r\n";
  return {"ordinary", "HTTP/1.1 200 OK\r\n" + parts.lines + length, parts.body};
}

}  // namespace

RawLeaf::RawLeaf(std::string service, std::vector<http::RawAnswer> answers)
    : service_(std::move(service)),
      answers_(std::move(answers)),
      listener_([this](int connection) { Serve(connection); }) {}

std::string RawLeaf::PathOf(const std::string& service, size_t index) {
  return kRawSegment + service + "/" + std::to_string(index);
}

std::string RawLeaf::SignatureOf(const std::string& service, const std::string& request) {
  return LeafOf(service) + "." + request;
}

std::string RawLeaf::RecordOf(const std::string& service) {
  constexpr size_t kRecordBytes = 16;
  return (service + "................").substr(0, kRecordBytes);
}

http::AnswerParts RawLeaf::PartsOf(const std::string& service) {
  return {"X-Request-Id: $ID\r\nX-Server-Stamp: $STAMP\r\n", RecordOf(service)};
}

bool RawLeaf::HasAnswered(const std::string& request) const {
  const std::lock_guard lock(mutex_);
  return answered_.contains(request);
}

int RawLeaf::SendHeartbeat(const std::string& control) {
  return PostHeartbeat(control, {LeafOf(service_), service_, listener_.address(), ++heartbeats_});
}

const http::RawAnswer* RawLeaf::AskedFor(const std::string& target) const {
  const std::string start = kRawSegment + service_ + "/";
  const size_t at = target.find(start);
  return at == std::string::npos ? nullptr
                                 : &answers_.at(std::stoul(target.substr(at + start.size())));
}

void RawLeaf::Serve(int connection) {
  bool after = false;
  for (;;) {
    const std::optional<http::RequestMessage> request = e2e::ReadRequest(connection);
    if (!request.has_value()) {
      return;
    }
    requests_after_ += after ? 1 : 0;
    const std::string id = ValueOf(*request, "X-Request-Id");
    const http::RawAnswer* asked_for = AskedFor(request->target);
    if (asked_for != nullptr) {
      after = true;
      const std::lock_guard lock(mutex_);
      answered_.insert(id);
    }
    const http::RawAnswer answer = asked_for != nullptr ? *asked_for : OrdinaryAnswer(service_);
    const std::string text = answer.head + (request->method == "HEAD" ? "" : answer.body);
    const std::string filled =
        absl::StrReplaceAll(text, {{"$ID", id}, {"$STAMP", SignatureOf(service_, id)}});
    (void)!::send(connection, filled.data(), filled.size(), MSG_NOSIGNAL);
    if (answer.closes) {
      return;
    }
  }
}

}  // namespace pumicedyke::platform
