#include "e2e/crashing_server.h"

#include <utility>

#include "e2e/fleet.h"
#include "e2e/free_address.h"

namespace pumicedyke::e2e {

CrashingServer::CrashingServer(HandleCb handle)
    : handle_(std::move(handle)), address_(FreeAddress()), thread_([this] { Serve(); }) {
  WaitFor("a crashing server to listen", [this] { return incarnation_ > 0; });
}

CrashingServer::~CrashingServer() {
  stop_ = true;
  thread_.join();
}

void CrashingServer::Serve() {
  while (!stop_) {
    RunIncarnation();
  }
}

void CrashingServer::RunIncarnation() {
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

void CrashingServer::OnRequest(const http::HttpRequest& request, http::Responder responder) {
  std::optional<http::HttpResponse> response = handle_(request);
  if (!response.has_value()) {
    ++crashes_;
    loop_->Stop();
    return;
  }
  responder.Send(*std::move(response));
}

}  // namespace pumicedyke::e2e
