#include "server/held_bytes_log.h"

#include "common/log.h"

namespace pumicedyke::server {
namespace {

constexpr Duration kLineInterval = Seconds(1);

}  // namespace

void HeldBytesLog::OnState(Timestamp now, const net::ByteBudget& budget) {
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
