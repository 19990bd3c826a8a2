// Encodes and decodes wire messages with nanopb.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "wire/messages.h"

namespace pumicedyke::wire {

std::string Encode(const Envelope& envelope);
std::string Encode(const StorageRecord& record);

/// @return the message, or kMalformedRequest if the bytes are not a valid message.
absl::StatusOr<Envelope> DecodeEnvelope(std::string_view bytes);
/// @return the record, or kCorruptState if the bytes are not a valid record.
absl::StatusOr<StorageRecord> DecodeRecord(std::string_view bytes);

}  // namespace pumicedyke::wire
