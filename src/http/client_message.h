// How HttpClient writes requests, and the headers of responses that concern its connections.
#pragma once

#include <string>

#include "http/http_client.h"

namespace pumicedyke::http {

/// Encodes what precedes the body. @param elapsed time since the call was started.
std::string EncodeRequestHead(const ClientRequest& request, Duration elapsed);

/// @return the peer's idle limit from "Keep-Alive: timeout=N", or zero.
Duration KeepAliveTimeout(const Headers& headers);

/// @return the time from "Retry-After: SECONDS", or zero.
Duration RetryAfter(const Headers& headers);

}  // namespace pumicedyke::http
