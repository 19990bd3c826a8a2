// Model callers and operators. Callers ask, follow continuation tokens and repeat unrepeatable jobs
// under their key; operators read, change and resend, and race each other.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "sim/world.h"

namespace pumicedyke::sim {

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
  void AskRead();
  void FollowContinuation(const query::CallerRequest& request, const query::Answer& answer);
  void StartJob();
  void AttemptJob(const std::shared_ptr<Job>& job, size_t node);
  size_t AvailableNode() const;

  World* world_;
  size_t node_;
  std::string name_;
  uint64_t asked_ = 0;
  Timestamp end_{};
};

/// Asks again and again for what ends every leaf that runs it, at either node.
class FatalCaller {
 public:
  explicit FatalCaller(World* world) : world_(world) {}
  void Start(Timestamp end);
  static query::CallerRequest Request();

 private:
  void Loop();

  World* world_;
  Timestamp end_{};
};

/// Asks for the same thing at both nodes, again and again until it is served.
class ImpatientCaller {
 public:
  explicit ImpatientCaller(World* world) : world_(world) {}
  void Start(Timestamp end);

 private:
  void Loop();
  void Insist(const std::string& query, int tries);

  World* world_;
  uint64_t asked_ = 0;
  Timestamp end_{};
};

/// Asks for unrepeatable work at both nodes in turn, and again at the other one as soon as it is
/// told the outcome.
class RepeatingCaller {
 public:
  explicit RepeatingCaller(World* world) : world_(world) {}
  void Start(Timestamp end);

 private:
  void Loop();
  void AskAgain(const query::CallerRequest& request, size_t node, int times);

  World* world_;
  uint64_t asked_ = 0;
  Timestamp end_{};
};

struct OperatorOptions {
  bool races = false;
  bool repartitions = false;
  Duration longest_pause = Milliseconds(800);
};

class Operators {
 public:
  Operators(World* world, OperatorOptions options) : world_(world), options_(options) {}
  void Start(Timestamp end);

 private:
  void Loop();
  void ReadThenSubmit(const std::string& who);
  /// Sends until a definite answer comes; each resend under the same submission id.
  void SubmitUntilAnswered(const std::string& who, const config::Change& change, int sends);

  World* world_;
  OperatorOptions options_;
  Timestamp end_{};
  uint64_t submissions_ = 0;
};

}  // namespace pumicedyke::sim
