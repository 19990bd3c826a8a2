// NodeServer's planned stop: answers every request and ends before the process is killed, whatever
// the leafs and the control machines do.
#include <algorithm>
#include <vector>

#include "common/result_code.h"
#include "node/node_server.h"

namespace pumicedyke::node {
namespace {

/// This fraction of the time until everything is answered is left for recording outcomes.
constexpr int kRecordTimeDivisor = 10;

}  // namespace

void NodeServer::StartDraining(Timestamp now, std::optional<Timestamp> answer_by) {
  if (!answer_by.has_value()) {
    return;
  }
  answer_by_ = *answer_by;
  settle_by_ = *answer_by - (*answer_by - now) / kRecordTimeDivisor;
  held_.LimitWait(answer_by_);
  std::vector<RequestId> in_progress;
  for (const auto& [id, active] : active_) {
    in_progress.push_back(id);
  }
  for (const RequestId id : in_progress) {
    LimitToStop(now, id, &active_.at(id));
  }
}

void NodeServer::LimitToStop(Timestamp now, RequestId id, Active* active) {
  active->late_outcome_deadline = std::min(active->late_outcome_deadline, settle_by_);
  if (active->answered) {
    Schedule(id, active->late_outcome_deadline);
  } else if (active->execution == nullptr) {
    Schedule(id, std::min(active->deadline, settle_by_));
  } else {
    active->execution->OnStopping(now, EndInStop(*active));
    active->execution->Advance(now);
    CollectActions(now, id);
  }
}

Timestamp NodeServer::EndInStop(const Active& active) const {
  return active.plan.repeatable ? answer_by_ : settle_by_;
}

bool NodeServer::RefuseBeforeKill(Timestamp now, RequestId id, const query::CallerRequest& request,
                                  Timestamp limit) {
  if (now < limit) {
    return false;
  }
  // This attempt sent nothing, but an earlier one with the same key may have run.
  const query::RunState run =
      request.idempotency_key.empty() ? query::RunState::kNotRun : query::RunState::kUnknown;
  Refuse(now, id, ResultCode::kShuttingDown, std::string(InfoOf(ResultCode::kShuttingDown).meaning),
         run, {});
  return true;
}

bool NodeServer::Drained() const {
  return active_.empty() && held_.empty() && (ledger_.idle() || ledger_given_up_);
}

}  // namespace pumicedyke::node
