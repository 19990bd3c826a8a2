// What bounds the requests of a tenant over all gateways. Plain data.
#pragma once

#include "common/types.h"

namespace pumicedyke::limits {

/// In each window, wherever it lies, no more of a tenant's requests may reach leafs, from all
/// gateways together, than (rate x window + burst) x (1 + overage) + slack.
struct LimitBound {
  /// Zero: limits are not kept.
  Duration window{};
  double overage = 0;
  double slack = 0;
};

}  // namespace pumicedyke::limits
