#include "http/head_rules.h"

#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace pumicedyke::http {

bool IsStatusOfResponse(int status) {
  constexpr int kLowest = 100;
  constexpr int kHighest = 599;
  constexpr int kSwitchingProtocols = 101;
  return status >= kLowest && status <= kHighest && status != kSwitchingProtocols;
}

bool HasFoldedLine(std::string_view lines) {
  return lines.find("\r\n ") != std::string_view::npos ||
         lines.find("\r\n\t") != std::string_view::npos;
}

bool IsOnlyChunked(std::string_view codings) {
  const absl::string_view list(codings.data(), codings.size());
  const std::vector<absl::string_view> items = absl::StrSplit(list, ',', absl::SkipWhitespace());
  return items.size() == 1 &&
         absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(items.front()), "chunked");
}

}  // namespace pumicedyke::http
