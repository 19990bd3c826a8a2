#include "scale/slope.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace pumicedyke::scale {

Line FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  Line line;
  const size_t count = std::min(x.size(), y.size());
  if (count < 2) {
    return line;
  }
  double mean_x = 0;
  double mean_y = 0;
  for (size_t i = 0; i < count; ++i) {
    mean_x += x[i] / static_cast<double>(count);
    mean_y += y[i] / static_cast<double>(count);
  }
  double covariance = 0;
  double variance = 0;
  double largest = 0;
  for (size_t i = 0; i < count; ++i) {
    covariance += (x[i] - mean_x) * (y[i] - mean_y);
    variance += (x[i] - mean_x) * (x[i] - mean_x);
    largest = std::max(largest, std::abs(y[i]));
  }
  line.slope = variance > 0 ? covariance / variance : 0;
  line.intercept = mean_y - line.slope * mean_x;
  for (size_t i = 0; i < count && largest > 0; ++i) {
    const double residual = std::abs(y[i] - line.intercept - line.slope * x[i]);
    line.worst_residual = std::max(line.worst_residual, residual / largest);
  }
  return line;
}

}  // namespace pumicedyke::scale
