// Counts the regular sub-requests in the window before the last one. Has no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "balance/step_ring.h"
#include "common/types.h"

namespace pumicedyke::balance {

/// Slides in steps. Not thread-safe.
class FormerWindow {
 public:
  explicit FormerWindow(Duration window) : steps_(window / kSteps) {}

  void Add(Timestamp now) { steps_.Current(now) += 1; }

  /// Returns the number in the window that ends one window before `now`.
  double Count(Timestamp now) { return Count(now, 2 * kSteps); }

  /// The same where nothing was counted anywhere before `unused_before`: that part of the window
  /// counts as much as the rest of it. Infinite if there is no rest.
  double Count(Timestamp now, Timestamp unused_before) {
    steps_.Current(now);
    // The step in which the use began is left out, because it is not a whole one.
    const int64_t known_end = std::clamp<int64_t>(steps_.AgeOf(unused_before), kSteps, 2 * kSteps);
    const auto known = static_cast<double>(known_end - kSteps);
    return known == 0 ? std::numeric_limits<double>::infinity()
                      : Count(now, known_end) * kSteps / known;
  }

 private:
  static constexpr int64_t kSteps = 20;

  /// Returns the number in the steps of the former window with an age of less than `end`.
  double Count(Timestamp now, int64_t end) {
    steps_.Current(now);
    double count = 0;
    for (int64_t age = kSteps; age < end; ++age) {
      count += steps_.Before(age);
    }
    return count;
  }

  StepRing<double, 2 * kSteps> steps_;
};

}  // namespace pumicedyke::balance
