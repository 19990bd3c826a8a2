#include "http/head_rules.h"

namespace pumicedyke::http {

bool IsStatusOfResponse(int status) {
  constexpr int kLowest = 100;
  constexpr int kHighest = 599;
  constexpr int kSwitchingProtocols = 101;
  return status >= kLowest && status <= kHighest && status != kSwitchingProtocols;
}

}  // namespace pumicedyke::http
