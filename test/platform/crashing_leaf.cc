#include "platform/crashing_leaf.h"

#include <utility>

#include "common/json.h"
#include "platform/heartbeat.h"

namespace pumicedyke::platform {
namespace {

std::string Value(const http::Headers& headers, const std::string& name) {
  const std::string* value = http::FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

CrashingLeaf::CrashingLeaf(std::string name, std::string service, IsFatalCb fatal,
                           AnsweredCb answered, ArrivedCb arrived)
    : name_(std::move(name)),
      service_(std::move(service)),
      fatal_(std::move(fatal)),
      answered_(std::move(answered)),
      arrived_(std::move(arrived)),
      server_([this](const http::HttpRequest& request) { return Handle(request); }) {}

std::string CrashingLeaf::id() const { return name_ + "-" + std::to_string(server_.incarnation()); }

std::optional<http::HttpResponse> CrashingLeaf::Handle(const http::HttpRequest& request) const {
  http::HttpResponse response;
  const std::string request_id = Value(request.headers, "X-Request-Id");
  response.headers = {{"X-Instance-Id", id()}, {"X-Request-Id", request_id}};
  const bool refused = arrived_ != nullptr && arrived_(request_id);
  if (Value(request.headers, "X-Expect-Instance") != id()) {
    response.status = 421;
  } else if (refused) {
    response.status = 503;
    response.headers.push_back({"X-Not-Executed", "1"});
    response.headers.push_back({"X-Server-Load", "0,0,2"});
  } else if (fatal_(request)) {
    return std::nullopt;
  } else {
    response.headers.push_back({"X-Server-Stamp", id() + "." + request_id});
    response.body = "sixteen bytes...";
    if (answered_ != nullptr) {
      answered_(request_id);
    }
  }
  return response;
}

int CrashingLeaf::SendHeartbeat(const std::string& control) {
  if (heartbeat_incarnation_ != server_.incarnation()) {
    heartbeat_incarnation_ = server_.incarnation();
    heartbeats_ = 0;
  }
  return PostHeartbeat(control, {id(), service_, server_.address(), ++heartbeats_});
}

}  // namespace pumicedyke::platform
