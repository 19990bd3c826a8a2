// Policy programs: short Lua programs with which operators define how long a request may wait, how
// much coverage it needs and how much extra load it may cause.
//
// A program defines `plan(request)` and optionally `decide(progress)`. It has no access to files or
// a clock and cannot load code. The instructions of each call and the memory are limited.
#pragma once

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "common/types.h"

struct lua_State;

namespace pumicedyke::policy {

constexpr int kMaxInstructions = 50000;
constexpr size_t kMaxMemoryBytes = 512 * 1024;
constexpr Duration kMaxDeadline = Seconds(600);

/// The argument of plan().
struct RequestFacts {
  std::string request_class;
  /// The caller's own deadline; zero if it set none.
  Duration caller_deadline{};
  size_t shards = 0;
  bool has_idempotency_key = false;
};

/// The result of plan(). The defaults are those of an empty policy.
struct QueryPlan {
  /// Time by which the request is answered, regardless of coverage.
  Duration deadline = Seconds(1);
  /// Share of the shards that an answer must include, 0 to 1.
  double min_coverage = 1.0;
  /// Once min_coverage is reached, the answer is sent after this time even if shards are missing.
  Duration wait = Seconds(1);
  /// Extra sub-requests (hedges and retries) allowed per sub-request.
  double extra_load = 0.05;
  bool hedge = true;
  /// Latency quantile after which a straggler is hedged.
  double hedge_quantile = 0.95;
  /// False if the work must not run twice; the request then needs an Idempotency-Key.
  bool repeatable = true;
  /// 0 to 9; higher priorities are served first when capacity is short.
  int priority = 5;
  /// Maximum number of sub-requests per shard, including refused ones; zero leaves it to the
  /// budget.
  uint32_t max_attempts = 0;
};

/// The argument of decide(), which is called while replies arrive.
struct Progress {
  Duration elapsed{};
  double coverage = 0;
  size_t missing = 0;
  size_t total = 0;
};

class PolicyProgram {
 public:
  /// Compiles a program and runs its top level. @return kPolicyRejected with line and cause on
  /// failure.
  static absl::StatusOr<std::unique_ptr<PolicyProgram>> Compile(const std::string& source);

  /// Compiles a program and runs it on sample requests. Called before a program is accepted.
  static absl::Status Check(const std::string& source);

  ~PolicyProgram();
  PolicyProgram(const PolicyProgram&) = delete;
  PolicyProgram& operator=(const PolicyProgram&) = delete;

  /// Calls plan(). @return the plan, or kPolicyRejected with the cause: an error, a limit, or a
  /// field out of range.
  absl::StatusOr<QueryPlan> Plan(const RequestFacts& request_facts);

  bool has_decide() const { return has_decide_; }
  /// Calls decide(). Must be called only once min_coverage is reached. @return whether to answer
  /// now with the current coverage.
  absl::StatusOr<bool> Decide(const Progress& progress);

  /// Memory usage of the Lua allocator.
  struct Memory {
    size_t used = 0;
  };

 private:
  PolicyProgram() = default;
  absl::Status Call(int arguments, int results);
  absl::Status LastError();

  Memory memory_;
  lua_State* lua_ = nullptr;
  bool has_decide_ = false;
};

}  // namespace pumicedyke::policy
