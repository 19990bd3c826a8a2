#include "control/control_state.h"

#include <xxhash.h>

#include "common/json.h"
#include "common/result_code.h"
#include "wire/packing.h"

namespace pumicedyke::control {
namespace {

constexpr char kChangeField[] = "change";
constexpr char kLedgerField[] = "ledger";
constexpr char kSuspectsField[] = "suspects";

}  // namespace

absl::StatusOr<std::string> EncodeCommand(const config::Change& change) {
  return EncodeJson(Json{{kChangeField, change}});
}

absl::StatusOr<std::string> EncodeCommand(const ledger::Operation& operation) {
  return EncodeJson(Json{{kLedgerField, operation}});
}

std::string EncodeCommand(const quarantine::SuspectOperation& operation) {
  return Json{{kSuspectsField, operation}}.dump();
}

std::string ControlState::Apply(const std::string& command) {
  const Json json = ParseJson(command);
  if (json.is_object() && json.contains(kChangeField)) {
    absl::StatusOr<config::Change> change = config::ParseChange(json[kChangeField]);
    if (change.ok()) {
      return Json(ApplyChange(*change)).dump();
    }
  }
  if (json.is_object() && json.contains(kLedgerField)) {
    const ledger::Result result = ledger_.Apply(json[kLedgerField].get<ledger::Operation>());
    return Json{{"verdict", result.verdict}, {"outcome", result.outcome}}.dump();
  }
  if (json.is_object() && json.contains(kSuspectsField)) {
    return Json(suspects_.Apply(json[kSuspectsField].get<quarantine::SuspectOperation>())).dump();
  }
  return Json(config::ChangeResult{static_cast<int>(ResultCode::kCorruptState),
                                   "command cannot be read", config_.version().value, 0})
      .dump();
}

config::ChangeResult ControlState::ApplyChange(const config::Change& change) {
  if (config::IsIdempotent(change.kind)) {
    if (config_.HasNoEffect(change)) {
      return {0, "was in force already", config_.version().value, config_.RevisionOf(change)};
    }
    return Decide(change);
  }
  const std::string text = Json(change).dump();
  const uint64_t fingerprint = XXH64(text.data(), text.size(), 0);
  const auto known = submissions_.find(change.submission_id);
  if (known != submissions_.end() && options_.remember_submissions) {
    if (known->second.fingerprint == fingerprint) {
      return known->second.result;
    }
    return {static_cast<int>(ResultCode::kInvalidConfig),
            "field 'submission_id': was used for another change", config_.version().value, 0};
  }
  config::ChangeResult result = Decide(change);
  submissions_[change.submission_id] = {fingerprint, result};
  submission_order_.push_back(change.submission_id);
  if (submission_order_.size() > kMaxRetainedSubmissions) {
    submissions_.erase(submission_order_.front());
    submission_order_.pop_front();
  }
  return result;
}

config::ChangeResult ControlState::Decide(const config::Change& change) {
  const uint64_t revision = config_.RevisionOf(change);
  const bool conflict = options_.compare_and_set && change.expected_revision.has_value() &&
                        *change.expected_revision != revision;
  if (conflict) {
    return {static_cast<int>(ResultCode::kRevisionConflict),
            "field 'expected_revision': it is at revision " + std::to_string(revision) + " now",
            config_.version().value, revision};
  }
  if (absl::Status status = config_.Validate(change); !status.ok()) {
    return {static_cast<int>(CodeOf(status)), std::string(status.message()),
            config_.version().value, revision};
  }
  config_.Apply(change);
  RetainChange({config_.version().value, wire::Pack(Json(change).dump())});
  return {0, "accepted", config_.version().value, config_.RevisionOf(change)};
}

void ControlState::RetainChange(wire::ConfigChange change) {
  retained_bytes_ += change.command.size();
  changes_.push_back(std::move(change));
  while (changes_.size() > 1 &&
         (changes_.size() > kMaxRetainedChanges || retained_bytes_ > kMaxRetainedChangeBytes)) {
    retained_bytes_ -= changes_.front().command.size();
    changes_.pop_front();
  }
}

std::string ControlState::Serialize() const {
  return Json{{"config", config_.Serialize()},
              {"ledger", ledger_.ToJson()},
              {"submissions", submissions_},
              {"submission_order", submission_order_},
              {kSuspectsField, suspects_.ToJson()}}
      .dump();
}

absl::Status ControlState::Restore(const std::string& bytes) {
  ControlState restored(options_);
  try {
    const Json json = ParseJson(bytes);
    absl::StatusOr<config::ConfigState> config =
        config::ConfigState::Deserialize(json.at("config").get<std::string>());
    if (!config.ok()) {
      return config.status();
    }
    restored.config_ = *std::move(config);
    restored.ledger_.FromJson(json.at("ledger"));
    json.at("submissions").get_to(restored.submissions_);
    json.at("submission_order").get_to(restored.submission_order_);
    // Snapshots of older versions have no suspects.
    if (json.contains(kSuspectsField)) {
      restored.suspects_.FromJson(json[kSuspectsField]);
    }
  } catch (const Json::exception& error) {
    return MakeStatus(ResultCode::kCorruptState, error.what());
  }
  *this = std::move(restored);
  return absl::OkStatus();
}

}  // namespace pumicedyke::control
