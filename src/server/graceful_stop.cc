#include "server/graceful_stop.h"

namespace pumicedyke::server {

void GracefulStop::Start(Timestamp now, const std::vector<http::HttpServer*>& servers) {
  started_ = true;
  sequence_.Start(now);
  for (http::HttpServer* server : servers) {
    if (server != nullptr) {
      servers_.push_back(server);
      server->StartDraining();
    }
  }
}

bool GracefulStop::Done(Timestamp now, bool idle) {
  phase_ = sequence_.Advance(now);
  if (phase_ == StopPhase::kServing) {
    return false;
  }
  for (http::HttpServer* server : servers_) {
    server->StopListening();
    if (phase_ == StopPhase::kRefusing) {
      server->RefuseUnfinishedRequests();
    }
    if (phase_ == StopPhase::kClosingIdle || phase_ == StopPhase::kRefusing) {
      server->CloseIdleConnections();
    }
  }
  return StopSequence::MayExit(phase_, idle, connections());
}

size_t GracefulStop::connections() const {
  size_t connections = 0;
  for (const http::HttpServer* server : servers_) {
    connections += server->connections();
  }
  return connections;
}

}  // namespace pumicedyke::server
