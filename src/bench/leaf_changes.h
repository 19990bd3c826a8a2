// Measures what a change of a single leaf costs a gateway, by number of known leafs. Wall-clock
// time without a network.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pumicedyke::bench {

struct LeafChangeCost {
  size_t leafs = 0;
  /// Time to apply all leafs from one message, as a starting gateway does.
  double fill_milliseconds = 0;
  /// Time to apply one leaf's change to draining, when changes are applied one by one.
  double change_microseconds = 0;
  /// Time to apply one more gateway that shares the leafs.
  double gateway_microseconds = 0;
};

/// @param sizes numbers of leafs, in services of 21.
std::vector<LeafChangeCost> MeasureLeafChanges(const std::vector<size_t>& sizes);

std::string LeafChangeTable(const std::vector<LeafChangeCost>& costs);

}  // namespace pumicedyke::bench
