// Requests as a stand-in for a server reads them from a socket.
#pragma once

#include <optional>

#include "http/message.h"

namespace pumicedyke::e2e {

/// Waits for a whole request on a connection that carries one at a time. @return unset if the
/// connection ends first, or if the bytes are no request.
std::optional<http::RequestMessage> ReadRequest(int connection);

}  // namespace pumicedyke::e2e
