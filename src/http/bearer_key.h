// The API key of a request (RFC 6750): "Authorization: Bearer KEY". Safe on any thread.
#pragma once

#include <string>

#include "http/message.h"

namespace pumicedyke::http {

/// @return empty: the client sent no key, another scheme, or more than one such header.
std::string BearerKey(const Headers& headers);

}  // namespace pumicedyke::http
