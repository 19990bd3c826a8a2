// The response of a leaf, unchanged: it is passed on, or its records are merged, without
// interpreting their content.
#pragma once

#include <string>

#include "http/message.h"

namespace pumicedyke::query {

struct LeafPayload {
  int status = 0;
  std::string reason;
  http::Headers headers;
  std::string body;
  /// Proof by the leaf that the response is its own; empty if it sent none.
  std::string signature;
};

}  // namespace pumicedyke::query
