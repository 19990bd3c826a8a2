#include "platform/crashing_leaf.h"

#include <cppunit/TestAssert.h>

#include <utility>

#include "common/json.h"
#include "e2e/fleet.h"
#include "net/event_loop.h"

namespace pumicedyke::platform {
namespace {

std::string Value(const http::Headers& headers, const std::string& name) {
  const std::string* value = http::FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

CrashingLeaf::CrashingLeaf(std::string name, std::string service, IsFatalCb fatal,
                           AnsweredCb answered)
    : name_(std::move(name)),
      service_(std::move(service)),
      fatal_(std::move(fatal)),
      answered_(std::move(answered)),
      address_(e2e::FreeAddress()),
      thread_([this] { Serve(); }) {
  e2e::WaitFor("a crashing leaf to listen", [this] { return incarnation_ > 0; });
}

CrashingLeaf::~CrashingLeaf() {
  stop_ = true;
  thread_.join();
}

std::string CrashingLeaf::id() const { return name_ + "-" + std::to_string(incarnation_.load()); }

void CrashingLeaf::Serve() {
  while (!stop_) {
    RunIncarnation();
  }
}

void CrashingLeaf::RunIncarnation() {
  net::EventLoop loop;
  http::HttpServer server(&loop, {},
                          [this](const http::HttpRequest& request, http::Responder responder) {
                            OnRequest(request, std::move(responder));
                          });
  if (!server.Listen(address_).ok()) {
    return;
  }
  loop_ = &loop;
  ++incarnation_;
  loop.Run([this, &loop](Timestamp now) {
    if (stop_) {
      loop.Stop();
    }
    return now + Milliseconds(20);
  });
  loop_ = nullptr;
}

void CrashingLeaf::OnRequest(const http::HttpRequest& request, http::Responder responder) {
  http::HttpResponse response;
  const std::string request_id = Value(request.headers, "X-Request-Id");
  response.headers = {{"X-Instance-Id", id()}, {"X-Request-Id", request_id}};
  if (Value(request.headers, "X-Expect-Instance") != id()) {
    response.status = 421;
  } else if (fatal_(request)) {
    ++crashes_;
    loop_->Stop();
    return;
  } else {
    response.headers.push_back({"X-Server-Stamp", id() + "." + request_id});
    response.body = "sixteen bytes...";
    if (answered_ != nullptr) {
      answered_(request_id);
    }
  }
  responder.Send(std::move(response));
}

int CrashingLeaf::SendHeartbeat(const std::string& control) {
  if (heartbeat_incarnation_ != incarnation_) {
    heartbeat_incarnation_ = incarnation_;
    heartbeats_ = 0;
  }
  const Json body{{"backend", service_}, {"address", address_}, {"zone", "north"},
                  {"version", "v1"},     {"slots", 2},          {"state", "ready"},
                  {"cold_left_ms", 0},   {"seq", ++heartbeats_}};
  return e2e::Post(control, "/v1/instances/" + id() + "/heartbeat", body.dump()).status;
}

}  // namespace pumicedyke::platform
