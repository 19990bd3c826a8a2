// Simulated callers and operators. Callers send reads, follow continuation tokens and retry
// non-repeatable jobs under the same idempotency key. Operators read the configuration, submit
// changes, resend them, and race each other.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "sim/world.h"

namespace pumicedyke::sim {

/// Sends a random mix of reads and jobs, by default to its own node.
class Caller {
 public:
  Caller(World* world, size_t node, std::string name);
  void Start(Timestamp end);

 private:
  struct Job {
    std::string key;
    int attempts = 0;
    bool settled = false;
  };

  void Loop();
  void SendRead();
  void FollowContinuation(const query::CallerRequest& request, const query::Answer& answer);
  void StartJob();
  void AttemptJob(const std::shared_ptr<Job>& job, size_t node);
  size_t AvailableNode() const;

  World* world_;
  size_t node_;
  std::string name_;
  uint64_t request_count_ = 0;
  Timestamp end_{};
};

struct FatalCallerOptions {
  /// Time between occurrences of the query.
  Duration min_pause = Milliseconds(150);
  Duration max_pause = Milliseconds(600);
  /// Whether each occurrence reaches both nodes at the same moment and is repeated at both soon
  /// after. Otherwise it reaches one of them.
  bool at_both_nodes = false;
};

/// Repeatedly sends a query that crashes every leaf that runs it, to either node at random.
class FatalCaller {
 public:
  FatalCaller(World* world, const FatalCallerOptions& options) : world_(world), options_(options) {}
  void Start(Timestamp end);
  static query::CallerRequest Request();

 private:
  void Loop();
  void SendToBothNodes();

  World* world_;
  FatalCallerOptions options_;
  Timestamp end_{};
};

/// Retries each query on alternating nodes until it is served or the tries are used up.
class RetryingCaller {
 public:
  explicit RetryingCaller(World* world) : world_(world) {}
  void Start(Timestamp end);

 private:
  void Loop();
  void SendUntilServed(const std::string& query, int tries);

  World* world_;
  uint64_t request_count_ = 0;
  Timestamp end_{};
};

/// Sends a non-repeatable job, and repeats it on alternating nodes after its outcome was reported.
class RepeatingCaller {
 public:
  explicit RepeatingCaller(World* world) : world_(world) {}
  void Start(Timestamp end);

 private:
  void Loop();
  void RepeatRequest(const query::CallerRequest& request, size_t node, int times);

  World* world_;
  uint64_t request_count_ = 0;
  Timestamp end_{};
};

struct OperatorOptions {
  bool races = false;
  bool repartitions = false;
  Duration max_pause = Milliseconds(800);
};

class Operators {
 public:
  Operators(World* world, OperatorOptions options) : world_(world), options_(options) {}
  void Start(Timestamp end);

 private:
  void Loop();
  void ReadThenSubmit(const std::string& operator_name);
  /// Resends the change under the same submission id until a definite answer arrives.
  void SubmitUntilAnswered(const std::string& operator_name, const config::Change& change,
                           int sends);

  World* world_;
  OperatorOptions options_;
  Timestamp end_{};
  uint64_t submissions_ = 0;
};

}  // namespace pumicedyke::sim
