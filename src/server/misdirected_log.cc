#include "server/misdirected_log.h"

#include <chrono>

#include "wire/destinations.h"

namespace pumicedyke::server {
namespace {

const char* NameOf(wire::Destination destination) {
  switch (destination) {
    case wire::Destination::kControlPeer:
      return "control_peer";
    case wire::Destination::kControlSession:
      return "control_session";
    case wire::Destination::kDiscovery:
      return "discovery";
    case wire::Destination::kNodeOrGateway:
      return "node_or_gateway";
    case wire::Destination::kNode:
      return "node";
    case wire::Destination::kGateway:
      return "gateway";
    case wire::Destination::kGatewayPeerServer:
      return "gateway_peer_server";
    case wire::Destination::kGatewayPeerClient:
      return "gateway_peer_client";
  }
  return "unknown";
}

}  // namespace

void MisdirectedLog::OnMessage(Timestamp now, const wire::Envelope& envelope) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
  if (!limiter_.Allow(seconds)) {
    return;
  }
  LogEvent("misdirected_message", {{"cluster", envelope.cluster},
                                   {"version", envelope.version},
                                   {"meant_for", NameOf(wire::FindDestination(envelope.body))},
                                   {"suppressed", limiter_.TakeSuppressed()}});
}

}  // namespace pumicedyke::server
