// Straight lines through measurements: the slopes that docs/CAPACITY.md extrapolates.
#pragma once

#include <vector>

namespace pumicedyke::scale {

struct Line {
  double slope = 0;
  double intercept = 0;
  /// Largest distance of a measurement from the line, as a share of the largest measurement.
  double worst_residual = 0;
};

/// Least squares. @return zeros for fewer than two points.
Line FitLine(const std::vector<double>& x, const std::vector<double>& y);

}  // namespace pumicedyke::scale
