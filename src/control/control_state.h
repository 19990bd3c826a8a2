// Everything the control log decides: the configuration, results of submissions, the ledger.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "absl/status/status.h"
#include "config/config_state.h"
#include "ledger/ledger.h"
#include "wire/messages.h"

namespace pumicedyke::control {

/// Submissions whose results are remembered for resends, newest ones.
constexpr size_t kRememberedSubmissions = 20000;
/// Accepted changes kept for nodes that are a little behind; others get the whole state.
constexpr size_t kKeptChanges = 2000;
constexpr size_t kKeptChangeBytes = 4 << 20;

/// A submission that was decided.
struct Submission {
  /// Hash of the change, so that an id used for two changes is noticed.
  uint64_t fingerprint = 0;
  config::ChangeResult result;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Submission, fingerprint, result)

struct ControlStateOptions {
  /// Off only in simulations that show what the checks are for.
  bool remember_submissions = true;
  bool compare_and_set = true;
};

/// A command of the log is either a change of the configuration or a ledger operation.
std::string EncodeCommand(const config::Change& change);
std::string EncodeCommand(const ledger::Operation& operation);

class ControlState {
 public:
  explicit ControlState(ControlStateOptions options) : options_(options) {}

  /// Applies one committed command. @return its result as JSON, the same on every replica.
  std::string Apply(const std::string& command);

  const config::ConfigState& config() const { return config_; }
  const ledger::Ledger& ledger() const { return ledger_; }
  /// Accepted changes of recent versions, oldest first, without gaps.
  const std::deque<wire::ConfigChange>& changes() const { return changes_; }

  std::string Serialize() const;
  absl::Status Restore(const std::string& bytes);

 private:
  config::ChangeResult ApplyChange(const config::Change& change);
  config::ChangeResult Decide(const config::Change& change);
  void Keep(wire::ConfigChange change);

  ControlStateOptions options_;
  config::ConfigState config_;
  ledger::Ledger ledger_;
  std::map<std::string, Submission> submissions_;
  std::deque<std::string> submission_order_;
  std::deque<wire::ConfigChange> changes_;
  size_t kept_bytes_ = 0;
};

}  // namespace pumicedyke::control
