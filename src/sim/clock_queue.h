// Seeded discrete-event time: events run in order of their time, ties in order of insertion.
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

  /// Runs the next event. @return false if there is none before `end`; the time is then `end`.
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
