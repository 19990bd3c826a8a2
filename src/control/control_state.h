// The replicated state: the configuration, the results of submissions, the ledger, and the suspect
// requests.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "config/config_state.h"
#include "ledger/ledger.h"
#include "quarantine/suspect_table.h"
#include "wire/messages.h"

namespace pumicedyke::control {

/// Number of latest submissions whose results are retained for resends.
constexpr size_t kMaxRetainedSubmissions = 20000;
/// Limits of the accepted changes retained for nodes that are slightly behind; other nodes receive
/// the full state.
constexpr size_t kMaxRetainedChanges = 2000;
constexpr size_t kMaxRetainedChangeBytes = 4 << 20;

/// A submission that was decided.
struct Submission {
  /// Hash of the change, to detect a submission ID that is used for two changes.
  uint64_t fingerprint = 0;
  config::ChangeResult result;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Submission, fingerprint, result)

struct ControlStateOptions {
  /// Off only in simulations that show what the checks prevent.
  bool remember_submissions = true;
  bool compare_and_set = true;
};

/// Encodes a command of the log: a configuration change, or an operation on the ledger or on the
/// suspect requests. @return kMalformedRequest if the command contains text that is not UTF-8.
absl::StatusOr<std::string> EncodeCommand(const config::Change& change);
absl::StatusOr<std::string> EncodeCommand(const ledger::Operation& operation);
std::string EncodeCommand(const quarantine::SuspectOperation& operation);

class ControlState {
 public:
  explicit ControlState(ControlStateOptions options) : options_(options) {}

  /// Applies a committed command. @return its result as JSON, the same on every replica.
  std::string Apply(const std::string& command);

  const config::ConfigState& config() const { return config_; }
  const ledger::Ledger& ledger() const { return ledger_; }
  const quarantine::SuspectTable& suspects() const { return suspects_; }
  /// Returns the accepted changes of recent versions, oldest first, without gaps.
  const std::deque<wire::ConfigChange>& changes() const { return changes_; }

  std::string Serialize() const;
  absl::Status Restore(const std::string& bytes);

 private:
  config::ChangeResult ApplyChange(const config::Change& change);
  config::ChangeResult Decide(const config::Change& change);
  void RetainChange(wire::ConfigChange change);

  ControlStateOptions options_;
  config::ConfigState config_;
  ledger::Ledger ledger_;
  quarantine::SuspectTable suspects_;
  std::map<std::string, Submission> submissions_;
  std::deque<std::string> submission_order_;
  std::deque<wire::ConfigChange> changes_;
  size_t retained_bytes_ = 0;
};

}  // namespace pumicedyke::control
