// GatewayServer's planned stop: sends clients elsewhere, and answers every request before the
// process is killed, whatever the leafs and other gateways do.
#include <utility>

#include "gateway/gateway_server.h"

namespace pumicedyke::gateway {
namespace {

/// Quantile of a route's latencies that has to be left for a request that is still started. One
/// that must not be repeated is refused earlier, since breaking it off leaves its caller in doubt.
constexpr double kUsualLatency = 0.5;
constexpr double kSafeLatency = 0.95;

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

bool GatewayServer::StopsBeforeAnswer(Timestamp now, const std::string& route,
                                      bool repeatable) const {
  const double quantile = repeatable ? kUsualLatency : kSafeLatency;
  return answer_by_.has_value() && now + LeafLatency(route, quantile) >= *answer_by_;
}

void GatewayServer::RefuseStopping(Timestamp now, RequestId id,
                                   std::shared_ptr<const PayloadRequest> request) {
  Refuse(now, id, std::move(request), ResultCode::kShuttingDown, Duration(0));
}

void GatewayServer::RefuseBeforeKill(Timestamp now) {
  if (!MustHaveAnswered(now)) {
    return;
  }
  for (auto& [id, early] : std::exchange(early_, {})) {
    RefuseStopping(now, id, std::move(early.request));
  }
  for (auto& [id, held] : std::exchange(held_, {})) {
    gate_.limits().Withdraw(now, id);
    RefuseStopping(now, id, std::move(held.request));
  }
  for (auto& [id, waiting] : std::exchange(awaiting_trial_, {})) {
    trials_.Withdraw(id);
    RefuseStopping(now, id, std::move(waiting.request));
  }
}

}  // namespace pumicedyke::gateway
