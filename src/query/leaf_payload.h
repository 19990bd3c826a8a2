// What a leaf answered, as it stood: the system passes it on or merges its records without knowing
// what they mean.
#pragma once

#include <string>

#include "http/message.h"

namespace pumicedyke::query {

struct LeafPayload {
  int status = 0;
  std::string reason;
  http::Headers headers;
  std::string body;
  /// The leaf's own proof that the answer is its own; empty if it gave none.
  std::string signature;
};

}  // namespace pumicedyke::query
