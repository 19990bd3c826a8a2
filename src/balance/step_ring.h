// Counts of the last time steps, for windows that slide in steps. Has no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "common/types.h"

namespace pumicedyke::balance {

/// The values of the last `size` steps. A step without a value has a default one. Not thread-safe.
template <typename Value, int64_t size>
class StepRing {
 public:
  explicit StepRing(Duration step) : step_(step) {}

  /// Begins the step of `now`, if it has not begun. Requires a `now` not before that of earlier
  /// calls. @return the value of that step.
  Value& Current(Timestamp now) {
    const int64_t number = NumberOf(now);
    if (number - number_ >= size) {
      values_ = {};
      number_ = number;
    }
    while (number_ < number) {
      ++number_;
      values_[IndexOf(number_)] = {};
    }
    return values_[IndexOf(number_)];
  }
  /// Returns the value of the step that began `age` steps before the current one. Requires an age
  /// of 0 to size - 1.
  const Value& Before(int64_t age) const { return values_[IndexOf(number_ - age)]; }
  /// Returns how many steps before the current one the step of `time` began.
  int64_t AgeOf(Timestamp time) const { return number_ - NumberOf(time); }
  /// Returns how many steps before the current one the group of `steps` steps began that it is in.
  int64_t AgeInGroup(int64_t steps) const { return number_ % steps; }

 private:
  int64_t NumberOf(Timestamp time) const { return time.time_since_epoch() / step_; }
  static size_t IndexOf(int64_t number) { return static_cast<size_t>((number + size) % size); }

  Duration step_;
  int64_t number_ = 0;
  std::array<Value, size> values_{};
};

}  // namespace pumicedyke::balance
