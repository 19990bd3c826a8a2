// Finds the least number of regular sub-requests in any of the last positions of a sliding window.
// Has no clock.
//
// Budgets that each allow a share of this number keep the share together in any window, even if the
// sub-requests move from one budget to another and back. Whatever a budget sends in a window W, it
// sends by a number that is at most that of its window just before W, because that position is
// among its last ones each time. The sum of these is the number in the window before W, where each
// sub-request counts at one budget only. The positions that are looked at differ from that one by
// less than kStepsBetweenEnds steps, and by the difference of the processes' clocks modulo these.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include "balance/step_ring.h"
#include "common/types.h"

namespace pumicedyke::balance {

/// Slides in steps. Not thread-safe.
class LeastWindow {
 public:
  explicit LeastWindow(Duration window) : steps_(window / kSteps) {}

  void Add(Timestamp now) { steps_.Current(now) += 1; }

  /// Returns the least number in a window that ended between `now` and one window before. Where
  /// nothing was counted at any budget before `unused_before`, that part of a window counts as much
  /// as the rest of it, and the first window after that time is not limited.
  double Least(Timestamp now, Timestamp unused_before = Timestamp::min()) {
    steps_.Current(now);
    // The step in which the use began is not a whole one.
    const int64_t used_steps = steps_.AgeOf(unused_before);
    double least = std::numeric_limits<double>::infinity();
    if (used_steps < kSteps) {
      return least;
    }
    // Ends are the same times at all budgets whose clocks agree.
    for (int64_t end = steps_.AgeInGroup(kStepsBetweenEnds) + 1; end <= kOldestEnd;
         end += kStepsBetweenEnds) {
      const int64_t known = std::min(kSteps, used_steps - end);
      if (known >= kStepsBetweenEnds) {
        least = std::min(least, Sum(end, known) * kSteps / static_cast<double>(known));
      }
    }
    return least;
  }

 private:
  static constexpr int64_t kSteps = 20;
  /// Windows are looked at that end so many steps apart: the least of many is less than any of them
  /// tells, because numbers differ by chance.
  static constexpr int64_t kStepsBetweenEnds = 5;
  /// The window that ended last before the one that ends now began.
  static constexpr int64_t kOldestEnd = kSteps + kStepsBetweenEnds;

  /// Returns the number in `count` steps, the last of which has the age `end`.
  double Sum(int64_t end, int64_t count) const {
    double sum = 0;
    for (int64_t age = end; age < end + count; ++age) {
      sum += steps_.Before(age);
    }
    return sum;
  }

  StepRing<double, kOldestEnd + kSteps> steps_;
};

}  // namespace pumicedyke::balance
