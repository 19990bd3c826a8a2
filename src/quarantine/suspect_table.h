// The suspect requests of the whole fleet, those that were running at several leafs when these
// crashed, and the trials they were granted since. A deterministic state machine over the control
// log: what it knows outlives every process, and no number of gateways gets more trials.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/json.h"
#include "common/request_identity.h"

namespace pumicedyke::quarantine {

/// Number of trials granted in short succession. A request that has lost its last one is fatal.
constexpr uint32_t kMaxTrials = 2;
/// Minimum interval between trials, so that one coincidence does not spoil several of them.
constexpr int64_t kTrialIntervalMilliseconds = 500;
/// A further trial is granted after this time: if the last one had crashed leafs, the request would
/// have been stopped by then.
constexpr int64_t kUnresolvedTrialMilliseconds = 5000;
/// Maximum number of suspects. Beyond it, those without trials and then the oldest are evicted.
constexpr size_t kMaxSuspects = 1024;

struct SuspectOperation {
  enum class Kind : uint8_t {
    /// Adds suspects.
    kAccuse = 0,
    /// Requests a trial of the first request.
    kTry = 1,
    /// Returns trial `number` of the first request: no leaf has run it.
    kReturn = 2,
    /// Removes suspects that have succeeded.
    kClear = 3,
  };
  Kind kind = Kind::kAccuse;
  std::vector<RequestIdentity> requests = {};
  /// The client's attempt that is to be tried. A repeated operation gets the same trial.
  uint64_t attempt = 0;
  uint32_t number = 0;
  /// Wall clock of the machine that proposed the operation.
  int64_t time_ms = 0;
};
void to_json(Json& json, const SuspectOperation& operation);
void from_json(const Json& json, SuspectOperation& operation);

struct TrialDecision {
  bool granted = false;
  /// Number of the granted trial, counted from 1.
  uint32_t number = 0;
  /// When to ask again after a denial.
  int64_t retry_after_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TrialDecision, granted, number, retry_after_ms)

struct SuspectRecord {
  static constexpr int64_t kNever = -1;

  /// Number of trials granted and not returned.
  uint32_t trials = 0;
  /// The attempt of the last one, and when it was granted.
  uint64_t attempt = 0;
  int64_t granted_ms = kNever;
  int64_t added_ms = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SuspectRecord, trials, attempt, granted_ms, added_ms)

class SuspectTable {
 public:
  /// Applies a committed operation. @return the decision on a kTry operation.
  TrialDecision Apply(const SuspectOperation& operation);

  const std::map<RequestIdentity, SuspectRecord>& suspects() const { return suspects_; }
  bool Contains(const RequestIdentity& identity) const { return suspects_.contains(identity); }
  std::vector<RequestIdentity> Identities() const;

  Json ToJson() const;
  /// Throws Json::exception if `json` was not made by ToJson().
  void FromJson(const Json& json);

 private:
  SuspectRecord& FindOrAdd(const RequestIdentity& identity, int64_t time_ms);
  TrialDecision Try(const SuspectOperation& operation);
  void Return(const SuspectOperation& operation);
  void Evict(const RequestIdentity& newest);

  std::map<RequestIdentity, SuspectRecord> suspects_;
};

}  // namespace pumicedyke::quarantine
