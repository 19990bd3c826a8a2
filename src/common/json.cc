#include "common/json.h"

#include "common/result_code.h"

namespace pumicedyke {

Json ParseJson(std::string_view text) {
  // The library takes a zero byte for the end of the text and ignores what follows it.
  if (text.find('\0') != std::string_view::npos) {
    return Json(Json::value_t::discarded);
  }
  return Json::parse(text, nullptr, /*allow_exceptions=*/false);
}

absl::StatusOr<std::string> EncodeJson(const Json& json) {
  try {
    return json.dump();
  } catch (const Json::type_error& error) {
    return MakeStatus(ResultCode::kMalformedRequest,
                      std::string("text is not valid UTF-8: ") + error.what());
  }
}

absl::StatusOr<Json> ParseObject(const std::string& text, const std::string& what) {
  Json json = ParseJson(text);
  if (json.is_discarded()) {
    return MakeStatus(ResultCode::kMalformedRequest, what + " is not valid JSON");
  }
  if (!json.is_object()) {
    return MakeStatus(ResultCode::kMalformedRequest, what + " is not a JSON object");
  }
  return json;
}

}  // namespace pumicedyke
