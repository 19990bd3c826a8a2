#include "admission/entry_gate.h"

#include <utility>

namespace pumicedyke::admission {
namespace {

EntryDecision Refused(ResultCode code, Duration retry_after = {}) {
  return {EntryResult::kRefused, code, retry_after, nullptr};
}

}  // namespace

EntryGate::EntryGate(EntryOptions options, std::string node, uint64_t incarnation)
    : options_(options), limits_(options.limits, std::move(node), incarnation) {}

ResultCode EntryGate::Recheck(Timestamp now, const routing::RouteTable& table,
                              const routing::Route& route, std::string_view key,
                              Timestamp proven_at) const {
  if (!table.set().keyed || route.open) {
    return ResultCode::kOk;
  }
  if (!tenants::KeysProven(options_.key_lease, now, proven_at)) {
    return ResultCode::kKeysUnproven;
  }
  return table.keys().Find(key) == nullptr ? ResultCode::kUnknownKey : ResultCode::kOk;
}

Duration EntryGate::RetryAfter(ResultCode code, Timestamp now, Timestamp proven_at) const {
  return code == ResultCode::kKeysUnproven
             ? tenants::RetryWhenUnproven(options_.key_lease, now, proven_at)
             : Duration(0);
}

EntryDecision EntryGate::Admit(Timestamp now, RequestId id, const routing::RouteTable& table,
                               const routing::Route& route, std::string_view key,
                               Timestamp proven_at) {
  if (!table.set().keyed || route.open) {
    return {};
  }
  const ResultCode code = Recheck(now, table, route, key, proven_at);
  if (code != ResultCode::kOk) {
    return Refused(code, RetryAfter(code, now, proven_at));
  }
  const tenants::Tenant* tenant = table.keys().Find(key);
  if (!tenant->limited()) {
    return {EntryResult::kAdmitted, ResultCode::kOk, {}, tenant};
  }
  const limits::LimitResult answer = limits_.Admit(now, id, *tenant, proven_at);
  switch (answer.status) {
    case limits::LimitStatus::kGranted:
      return {EntryResult::kAdmitted, ResultCode::kOk, {}, tenant};
    case limits::LimitStatus::kWaiting:
      return {EntryResult::kWaiting, ResultCode::kOk, {}, tenant};
    case limits::LimitStatus::kRefused:
      break;
  }
  return Refused(ResultCode::kTenantLimit, answer.retry_after);
}

}  // namespace pumicedyke::admission
