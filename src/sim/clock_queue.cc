#include "sim/clock_queue.h"

#include <algorithm>

namespace pumicedyke::sim {

void ClockQueue::At(Timestamp time, Event event) {
  items_.push({std::max(time, now_), next_order_++, std::move(event)});
}

bool ClockQueue::RunNext(Timestamp end) {
  if (items_.empty() || items_.top().time > end) {
    now_ = std::max(now_, end);
    return false;
  }
  // top() returns a const reference; moving from it is safe because the item is popped next.
  Item item = std::move(const_cast<Item&>(items_.top()));
  items_.pop();
  now_ = item.time;
  ++executed_;
  item.event();
  return true;
}

}  // namespace pumicedyke::sim
