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
  const StopPhase phase = sequence_.Advance(now);
  if (phase == StopPhase::kServing) {
    return false;
  }
  size_t connections = 0;
  for (http::HttpServer* server : servers_) {
    server->StopListening();
    if (phase == StopPhase::kClosingIdle) {
      server->CloseIdleConnections();
    }
    connections += server->connections();
  }
  return StopSequence::MayExit(phase, idle, connections);
}

}  // namespace pumicedyke::server
