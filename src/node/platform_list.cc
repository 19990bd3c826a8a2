#include "node/platform_list.h"

#include "common/json.h"
#include "common/result_code.h"

namespace pumicedyke::node {

absl::StatusOr<std::set<std::string>> ReadPlatformList(std::string_view bytes) {
  const Json json = ParseJson(bytes);
  if (!json.is_object() || !json.contains("leaving") || !json["leaving"].is_array()) {
    return MakeStatus(ResultCode::kMalformedRequest, "field 'leaving': must be a list");
  }
  std::set<std::string> leaving;
  for (const Json& entry : json["leaving"]) {
    if (entry.is_string()) {
      leaving.insert(entry.get<std::string>());
    }
  }
  return leaving;
}

}  // namespace pumicedyke::node
