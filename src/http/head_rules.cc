#include "http/head_rules.h"

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

}  // namespace pumicedyke::http
