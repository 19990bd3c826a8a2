// The least or greatest of the values that were in force during a time window. Has no clock.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <utility>

#include "common/types.h"

namespace pumicedyke::balance {

/// @tparam Before orders the values; the first one by this order is returned. Not thread-safe.
template <typename Value, typename Before = std::less<Value>>
class WindowExtreme {
 public:
  /// @param initial value in force before the first call of Set().
  WindowExtreme(Duration window, Value initial) : window_(window), current_(std::move(initial)) {}

  /// Changes the value. Requires a `now` not before that of earlier calls.
  void Set(Timestamp now, Value value) {
    if (value == current_) {
      return;
    }
    while (!past_.empty() && IsOver(now, past_.front())) {
      past_.pop_front();
    }
    // A value that is no extreme compared with a later one is never returned.
    while (!past_.empty() && !Before()(past_.back().value, current_)) {
      past_.pop_back();
    }
    past_.push_back({std::move(current_), now});
    current_ = std::move(value);
  }
  /// Changes the value as if it had always been in force.
  void Reset(Value value) {
    past_.clear();
    current_ = std::move(value);
  }

  /// Returns the extreme of the values in force from one window before `now` until `now`.
  const Value& Extreme(Timestamp now) const {
    const auto first = std::find_if(past_.begin(), past_.end(),
                                    [&](const Past& past) { return !IsOver(now, past); });
    return first == past_.end() || Before()(current_, first->value) ? current_ : first->value;
  }

 private:
  struct Past {
    Value value;
    /// End of the time in which it was in force.
    Timestamp until;
  };

  bool IsOver(Timestamp now, const Past& past) const { return now - past.until >= window_; }

  Duration window_;
  Value current_;
  /// Former values, the oldest and most extreme first.
  std::deque<Past> past_;
};

template <typename Value>
using WindowMinimum = WindowExtreme<Value, std::less<Value>>;
template <typename Value>
using WindowMaximum = WindowExtreme<Value, std::greater<Value>>;

}  // namespace pumicedyke::balance
