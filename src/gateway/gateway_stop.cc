// GatewayServer's planned stop: sends clients elsewhere, and answers every request before the
// process is killed, whatever the leafs and other gateways do.
#include <utility>

#include "gateway/gateway_server.h"

namespace pumicedyke::gateway {
namespace {

constexpr double kMedian = 0.5;

}  // namespace

void GatewayServer::StartDraining(Timestamp now, std::optional<Timestamp> answer_by) {
  draining_ = true;
  answer_by_ = answer_by;
  for (auto& [address, link] : links_) {
    link.next_presence = now;
  }
  MaintainControlLinks(now);
  std::vector<RequestId> in_progress;
  for (auto& [id, active] : active_) {
    LimitToStop(now, &active);
    in_progress.push_back(id);
  }
  for (const RequestId id : in_progress) {
    if (active_.contains(id)) {
      Advance(now, id);
    }
  }
}

void GatewayServer::LimitToStop(Timestamp now, Active* active) const {
  if (!answer_by_.has_value()) {
    return;
  }
  if (active->shared != nullptr) {
    active->shared->OnStopping(*answer_by_);
  } else {
    active->execution->OnStopping(now, *answer_by_);
  }
}

bool GatewayServer::StopsBeforeAnswer(Timestamp now, const std::string& route) const {
  return answer_by_.has_value() && now + LeafLatency(route, kMedian) >= *answer_by_;
}

void GatewayServer::RefuseBeforeKill(Timestamp now) {
  if (!answer_by_.has_value() || now < *answer_by_) {
    return;
  }
  for (auto& [id, early] : std::exchange(early_, {})) {
    Refuse(now, id, std::move(early.request), ResultCode::kShuttingDown, Duration(0));
  }
  for (auto& [id, held] : std::exchange(held_, {})) {
    gate_.limits().Withdraw(now, id);
    Refuse(now, id, std::move(held.request), ResultCode::kShuttingDown, Duration(0));
  }
  for (auto& [id, waiting] : std::exchange(awaiting_trial_, {})) {
    trials_.Withdraw(id);
    Refuse(now, id, std::move(waiting.request), ResultCode::kShuttingDown, Duration(0));
  }
}

}  // namespace pumicedyke::gateway
