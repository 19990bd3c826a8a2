// Measures the cost of enforcing tenant limits over a fleet of gateways, and the share of requests
// refused below the limits, by number of gateways. Compares lending accounts with two simpler
// methods. Simulated time without a network; grants per second are measured in wall-clock time.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pumicedyke::bench {

struct LimitCost {
  std::string method;
  size_t gateways = 0;
  /// Number of gateways simulated. If lower than `gateways`, each gets the same load as in the full
  /// fleet.
  size_t simulated_gateways = 0;
  /// Requests granted per second of one processor, with the limit request and its reply.
  double grants_per_second = 0;
  /// Bytes of limit messages that a gateway sends per second, with packet headers.
  double bytes_per_node_second = 0;
  /// Refused requests per thousand when every tenant sends its limit divided by 1.6.
  double refused_below = 0;
  /// Granted requests divided by the limit when every tenant sends 8 times its limit.
  double granted_over_limit = 0;
  /// Highest number of granted requests in any window, divided by the bound.
  double max_window_use = 0;
};

std::vector<LimitCost> MeasureLimits();

std::string LimitCostTable(const std::vector<LimitCost>& costs);

}  // namespace pumicedyke::bench
