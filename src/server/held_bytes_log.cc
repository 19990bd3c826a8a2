#include "server/held_bytes_log.h"

#include "common/log.h"

namespace pumicedyke::server {
namespace {

constexpr Duration kLineInterval = Seconds(1);

}  // namespace

void HeldBytesLog::OnState(Timestamp now, const net::RequestRoom& room) {
  OnBudget(now, room.budget());
  OnRoom(now, room);
}

void HeldBytesLog::OnRoom(Timestamp now, const net::RequestRoom& room) {
  const bool waits = room.waiting() > 0;
  const bool unchanged = room.refused() == logged_refused_ && waits == logged_waiting_;
  if (unchanged || now < next_room_line_) {
    return;
  }
  next_room_line_ = now + kLineInterval;
  LogEvent("request_room", {{"waiting", room.waiting()},
                            {"refused", room.refused() - logged_refused_},
                            {"granted_bytes", room.granted()},
                            {"held_bytes", room.budget().held()},
                            {"limit_bytes", room.budget().limit()}});
  logged_refused_ = room.refused();
  logged_waiting_ = waits;
}

void HeldBytesLog::OnBudget(Timestamp now, const net::ByteBudget& budget) {
  if (budget.revocations() == logged_revocations_ || now < next_line_) {
    return;
  }
  next_line_ = now + kLineInterval;
  LogEvent("held_bytes_given_up", {{"connections", budget.revocations() - logged_revocations_},
                                   {"largest_bytes", budget.last_revoked_bytes()},
                                   {"held_bytes", budget.held()},
                                   {"limit_bytes", budget.limit()}});
  logged_revocations_ = budget.revocations();
}

}  // namespace pumicedyke::server
