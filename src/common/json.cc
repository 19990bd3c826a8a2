#include "common/json.h"

#include "common/result_code.h"

namespace pumicedyke {

absl::StatusOr<Json> ParseObject(const std::string& text, const std::string& what) {
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return MakeStatus(ResultCode::kMalformedRequest, what + " is not valid JSON");
  }
  if (!json.is_object()) {
    return MakeStatus(ResultCode::kMalformedRequest, what + " is not a JSON object");
  }
  return json;
}

}  // namespace pumicedyke
