#include "http/bearer_key.h"

#include <algorithm>
#include <string_view>

#include "absl/strings/ascii.h"

namespace pumicedyke::http {

std::string BearerKey(const Headers& headers) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto is_authorization = [](const Header& header) {
    return SameName(header.name, "Authorization");
  };
  const auto found = std::find_if(headers.begin(), headers.end(), is_authorization);
  if (found == headers.end() ||
      std::find_if(found + 1, headers.end(), is_authorization) != headers.end()) {
    return {};
  }
  const std::string_view value = found->value;
  if (!SameName(value.substr(0, kScheme.size()), kScheme)) {
    return {};
  }
  const std::string_view key = value.substr(kScheme.size());
  return std::string(absl::StripAsciiWhitespace(absl::string_view(key.data(), key.size())));
}

}  // namespace pumicedyke::http
