// What one change of one leaf costs a gateway, by how many leafs it knows. Real time, no network.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pumicedyke::bench {

struct LeafChangeCost {
  size_t leafs = 0;
  /// Taking over all leafs in one message, as a gateway that starts does.
  double fill_milliseconds = 0;
  /// One leaf that begins to leave, changes taking effect one by one.
  double change_microseconds = 0;
  /// One more gateway that shares the leafs.
  double gateway_microseconds = 0;
};

/// @param sizes numbers of leafs, in services of 21.
std::vector<LeafChangeCost> MeasureLeafChanges(const std::vector<size_t>& sizes);

std::string LeafChangeTable(const std::vector<LeafChangeCost>& costs);

}  // namespace pumicedyke::bench
