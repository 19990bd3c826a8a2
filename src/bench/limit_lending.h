// What it costs to keep tenants' limits over a fleet, and what is refused below them, by how many
// gateways there are: accounts that lend, and two simpler ways. Simulated time, no network; the
// grants a second are real time.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pumicedyke::bench {

struct LimitCost {
  std::string way;
  size_t gateways = 0;
  /// Simulated; fewer stand for a larger fleet, with the same requests for each of them.
  size_t played = 0;
  /// Requests granted in a second of one processor, question and answer included.
  double grants_per_second = 0;
  /// What a gateway sends about limits in a second, packets' headers included.
  double bytes_per_node_second = 0;
  /// Of a thousand requests of tenants at their limit over 1.6.
  double refused_below = 0;
  /// Tenants that send 8 times their limit: granted over what the limit gives.
  double used_when_over = 0;
  /// The fullest window over its bound.
  double fullest = 0;
};

std::vector<LimitCost> MeasureLimits();

std::string LimitCostTable(const std::vector<LimitCost>& costs);

}  // namespace pumicedyke::bench
