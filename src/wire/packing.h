// Compression of data that many receivers get. The sender packs it once, and each receiver unpacks
// it. Most of the bytes between control machines and nodes are documents and lists of leafs in
// JSON.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace pumicedyke::wire {

/// Compresses `text`, which must not begin with the byte 1 (JSON never does).
/// @return the text itself if it is short or does not shrink.
std::string Pack(std::string_view text);

/// Reverses Pack(), including for texts that Pack() returned unchanged.
/// @return kMalformedRequest if the bytes are damaged or the text would exceed the maximum frame
/// size.
absl::StatusOr<std::string> Unpack(std::string_view bytes);

}  // namespace pumicedyke::wire
