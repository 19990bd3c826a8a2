// Reads the API key of a request (RFC 6750): "Authorization: Bearer KEY". Safe on any thread.
#pragma once

#include <string>

#include "http/message.h"

namespace pumicedyke::http {

/// @return the key, or empty if the client sent no key, another scheme, or more than one
/// Authorization header.
std::string BearerKey(const Headers& headers);

}  // namespace pumicedyke::http
