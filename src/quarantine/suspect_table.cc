#include "quarantine/suspect_table.h"

#include <algorithm>
#include <tuple>

namespace pumicedyke::quarantine {

void to_json(Json& json, const SuspectOperation& operation) {
  std::vector<std::string> requests;
  requests.reserve(operation.requests.size());
  for (const RequestIdentity& request : operation.requests) {
    requests.push_back(ToText(request));
  }
  json = {{"kind", static_cast<int>(operation.kind)},
          {"requests", requests},
          {"attempt", operation.attempt},
          {"number", operation.number},
          {"time_ms", operation.time_ms}};
}

void from_json(const Json& json, SuspectOperation& operation) {
  operation.kind = static_cast<SuspectOperation::Kind>(json.at("kind").get<int>());
  for (const auto& text : json.at("requests").get<std::vector<std::string>>()) {
    if (const auto request = RequestIdentityFrom(text)) {
      operation.requests.push_back(*request);
    }
  }
  json.at("attempt").get_to(operation.attempt);
  json.at("number").get_to(operation.number);
  json.at("time_ms").get_to(operation.time_ms);
}

TrialDecision SuspectTable::Apply(const SuspectOperation& operation) {
  switch (operation.kind) {
    case SuspectOperation::Kind::kAccuse:
      for (const RequestIdentity& request : operation.requests) {
        FindOrAdd(request, operation.time_ms);
      }
      break;
    case SuspectOperation::Kind::kTry:
      return operation.requests.empty() ? TrialDecision{} : Try(operation);
    case SuspectOperation::Kind::kReturn:
      if (!operation.requests.empty()) {
        Return(operation);
      }
      break;
    case SuspectOperation::Kind::kClear:
      for (const RequestIdentity& request : operation.requests) {
        suspects_.erase(request);
      }
      break;
  }
  return {};
}

SuspectRecord& SuspectTable::FindOrAdd(const RequestIdentity& identity, int64_t time_ms) {
  const auto [it, added] = suspects_.try_emplace(identity);
  if (added) {
    it->second.added_ms = time_ms;
    Evict(identity);
  }
  return it->second;
}

void SuspectTable::Evict(const RequestIdentity& newest) {
  if (suspects_.size() <= kMaxSuspects) {
    return;
  }
  const auto key = [&newest](const auto& item) {
    return std::tuple(item.first == newest, item.second.trials, item.second.added_ms);
  };
  suspects_.erase(
      std::min_element(suspects_.begin(), suspects_.end(),
                       [&key](const auto& a, const auto& b) { return key(a) < key(b); }));
}

TrialDecision SuspectTable::Try(const SuspectOperation& operation) {
  SuspectRecord& record = FindOrAdd(operation.requests.front(), operation.time_ms);
  if (record.trials > 0 && record.attempt == operation.attempt) {
    return {true, record.trials, 0};
  }
  const int64_t elapsed = operation.time_ms - record.granted_ms;
  const int64_t pause =
      record.trials >= kMaxTrials ? kUnresolvedTrialMilliseconds : kTrialIntervalMilliseconds;
  // Wall clocks may jump: a time before the last trial says nothing. Only the number of trials must
  // not depend on it.
  const bool pause_over = elapsed >= pause || (elapsed < 0 && record.trials < kMaxTrials);
  if (record.granted_ms != SuspectRecord::kNever && !pause_over) {
    return {false, 0, std::clamp<int64_t>(pause - elapsed, 1, pause)};
  }
  ++record.trials;
  record.attempt = operation.attempt;
  record.granted_ms = operation.time_ms;
  return {true, record.trials, 0};
}

void SuspectTable::Return(const SuspectOperation& operation) {
  const auto found = suspects_.find(operation.requests.front());
  const bool last = found != suspects_.end() && found->second.trials > 0 &&
                    found->second.trials == operation.number &&
                    found->second.attempt == operation.attempt;
  if (last) {
    --found->second.trials;
    found->second.attempt = 0;
  }
}

std::vector<RequestIdentity> SuspectTable::Identities() const {
  std::vector<RequestIdentity> identities;
  identities.reserve(suspects_.size());
  for (const auto& [identity, record] : suspects_) {
    identities.push_back(identity);
  }
  return identities;
}

Json SuspectTable::ToJson() const {
  std::map<std::string, SuspectRecord> records;
  for (const auto& [identity, record] : suspects_) {
    records[ToText(identity)] = record;
  }
  return records;
}

void SuspectTable::FromJson(const Json& json) {
  suspects_.clear();
  for (const auto& [text, record] : json.get<std::map<std::string, SuspectRecord>>()) {
    if (const auto identity = RequestIdentityFrom(text)) {
      suspects_[*identity] = record;
    }
  }
}

}  // namespace pumicedyke::quarantine
