// Discrete-event clock: events run in the order of their time; ties run in insertion order.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "common/types.h"

namespace pumicedyke::sim {

class ClockQueue {
 public:
  using Event = std::function<void()>;

  Timestamp now() const { return now_; }
  void At(Timestamp time, Event event);
  void After(Duration delay, Event event) { At(now_ + delay, std::move(event)); }

  /// Runs the next event. @return false if no event is due by `end`; the clock then advances to
  /// `end`.
  bool RunNext(Timestamp end);
  uint64_t executed() const { return executed_; }

 private:
  struct Item {
    Timestamp time;
    uint64_t order;
    Event event;
    bool operator>(const Item& other) const {
      return std::pair(time, order) > std::pair(other.time, other.order);
    }
  };

  Timestamp now_{};
  uint64_t next_order_ = 0;
  uint64_t executed_ = 0;
  std::priority_queue<Item, std::vector<Item>, std::greater<>> items_;
};

}  // namespace pumicedyke::sim
