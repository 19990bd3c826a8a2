// Compression of what many receivers get: packed once by the sender, unpacked by each. Most of the
// bytes between control and nodes are documents and lists of leafs in JSON.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace pumicedyke::wire {

/// @param text does not begin with the byte 1, as no JSON does.
/// @return the text itself if it is short or does not shrink.
std::string Pack(std::string_view text);

/// @return what was packed; bytes that Pack() left as they were come back as they are;
/// kMalformedRequest if they are broken or would be longer than a frame may be.
absl::StatusOr<std::string> Unpack(std::string_view bytes);

}  // namespace pumicedyke::wire
