// Which part of which process handles each message. Every type of wire::Body must have a
// destination, and every destination's handler must accept all of its messages: a new message does
// not compile until both are decided.
#pragma once

#include <type_traits>
#include <variant>

#include "wire/messages.h"

namespace pumicedyke::wire {

enum class Destination {
  /// A control machine; sent by another one.
  kControlPeer,
  /// A control machine; sent by a node or gateway and answered on its connection.
  kControlSession,
  /// A control machine's directory of gateways; sent by a gateway.
  kDiscovery,
  /// A node or gateway; sent by a control machine.
  kNodeOrGateway,
  /// A node; sent by a control machine.
  kNode,
  /// A gateway; sent by a control machine.
  kGateway,
  /// A gateway; sent by another one that uses it as merger or lender.
  kGatewayPeerServer,
  /// A gateway; the reply to one of those.
  kGatewayPeerClient,
};

template <Destination kDestination>
using GoesTo = std::integral_constant<Destination, kDestination>;

/// Undefined for other types than those below.
template <typename Message>
struct DestinationOf;

template <>
struct DestinationOf<RaftMessage> : GoesTo<Destination::kControlPeer> {};
template <>
struct DestinationOf<JoinRequest> : GoesTo<Destination::kControlPeer> {};
template <>
struct DestinationOf<JoinReply> : GoesTo<Destination::kControlPeer> {};
template <>
struct DestinationOf<Forwarded> : GoesTo<Destination::kControlPeer> {};
template <>
struct DestinationOf<ForwardedReply> : GoesTo<Destination::kControlPeer> {};

template <>
struct DestinationOf<NodeHello> : GoesTo<Destination::kControlSession> {};
template <>
struct DestinationOf<LedgerRequest> : GoesTo<Destination::kControlSession> {};
/// Control machines also relay it to each other; `from_control` tells those apart.
template <>
struct DestinationOf<RunReport> : GoesTo<Destination::kControlSession> {};
template <>
struct DestinationOf<TrialRequest> : GoesTo<Destination::kControlSession> {};

template <>
struct DestinationOf<GatewayPresence> : GoesTo<Destination::kDiscovery> {};

template <>
struct DestinationOf<ConfigFeed> : GoesTo<Destination::kNodeOrGateway> {};
template <>
struct DestinationOf<SuspectNotice> : GoesTo<Destination::kNodeOrGateway> {};
template <>
struct DestinationOf<RunReportAck> : GoesTo<Destination::kNodeOrGateway> {};
template <>
struct DestinationOf<TrialReply> : GoesTo<Destination::kNodeOrGateway> {};

template <>
struct DestinationOf<LedgerReply> : GoesTo<Destination::kNode> {};

template <>
struct DestinationOf<LeafFeed> : GoesTo<Destination::kGateway> {};
template <>
struct DestinationOf<GatewayFeed> : GoesTo<Destination::kGateway> {};

template <>
struct DestinationOf<PartialQuery> : GoesTo<Destination::kGatewayPeerServer> {};
template <>
struct DestinationOf<PartialCancel> : GoesTo<Destination::kGatewayPeerServer> {};
template <>
struct DestinationOf<PartialConfirm> : GoesTo<Destination::kGatewayPeerServer> {};
template <>
struct DestinationOf<LimitRequest> : GoesTo<Destination::kGatewayPeerServer> {};

template <>
struct DestinationOf<PartialAnswer> : GoesTo<Destination::kGatewayPeerClient> {};
template <>
struct DestinationOf<LimitGrant> : GoesTo<Destination::kGatewayPeerClient> {};

/// Returns the destination of the message in `body`.
inline Destination FindDestination(const Body& body) {
  return std::visit(
      [](const auto& message) { return DestinationOf<std::decay_t<decltype(message)>>::value; },
      body);
}

/// Calls `handler` with the message in `body` if its destination is one of `kAccepted`. The handler
/// must accept every message of these destinations.
/// @return whether the message was handled; otherwise its sender has mistaken the receiver.
template <Destination... kAccepted, typename Handler>
bool DispatchTo(const Body& body, const Handler& handler) {
  return std::visit(
      [&handler](const auto& message) {
        constexpr Destination kDestination = DestinationOf<std::decay_t<decltype(message)>>::value;
        constexpr bool kIsAccepted = ((kDestination == kAccepted) || ...);
        if constexpr (kIsAccepted) {
          handler(message);
        }
        return kIsAccepted;
      },
      body);
}

/// Combines functions for single message types into one handler.
template <typename... Handlers>
struct MessageHandler : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
MessageHandler(Handlers...) -> MessageHandler<Handlers...>;

}  // namespace pumicedyke::wire
