// What makes the head of a message unusable although it is well formed.
#pragma once

#include <string_view>

namespace pumicedyke::http {

/// Whether a response may have this status. 101 is none: no request asks for another protocol.
bool IsStatusOfResponse(int status);

/// Whether a line of a head or of trailers continues the one before it, by a blank at its start
/// (RFC 9112, 5.2). @param lines whole lines, each with all that continue it.
bool HasFoldedLine(std::string_view lines);

/// Whether a value of Transfer-Encoding lists "chunked" and nothing else.
bool IsOnlyChunked(std::string_view codings);

}  // namespace pumicedyke::http
