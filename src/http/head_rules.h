// What makes the head of a message unusable although it is well formed.
#pragma once

namespace pumicedyke::http {

/// Whether a response may have this status. 101 is none: no request asks for another protocol.
bool IsStatusOfResponse(int status);

}  // namespace pumicedyke::http
