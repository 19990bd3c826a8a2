// The bound on a tenant's requests over all gateways. Plain data.
#pragma once

#include "common/types.h"

namespace pumicedyke::limits {

/// In any window of this length at most (rate x window + burst) x (1 + overage) + slack requests of
/// a tenant may reach leafs from all gateways together.
struct LimitBound {
  /// Zero disables limits.
  Duration window{};
  double overage = 0;
  double slack = 0;
};

}  // namespace pumicedyke::limits
