// JSON conversion of the shared value types, and checked parsing of external input.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "common/types.h"
#include "nlohmann/json.hpp"

namespace pumicedyke {

using Json = nlohmann::json;

template <typename Tag>
void to_json(Json& json, const StrongId<Tag>& id) {
  json = id.value;
}
template <typename Tag>
void from_json(const Json& json, StrongId<Tag>& id) {
  id.value = json.get<uint64_t>();
}

/// Parses text of any origin. @return a discarded value unless the whole text is one JSON value.
Json ParseJson(std::string_view text);

/// @return the JSON text; kMalformedRequest if a string in `json` is not valid UTF-8.
absl::StatusOr<std::string> EncodeJson(const Json& json);

/// Parses external input. @return kMalformedRequest naming `what` if it is not a JSON object.
absl::StatusOr<Json> ParseObject(const std::string& text, const std::string& what);

}  // namespace pumicedyke
