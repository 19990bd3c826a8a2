// Real processes of the product and of its test back ends on loopback, for end-to-end tests. Tests
// wait on conditions; a condition that does not hold within kWaitTimeout fails the test.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/json.h"
#include "http/http_client.h"

namespace pumicedyke::e2e {

/// Waits until `condition` holds; fails the test if it does not hold in time.
void WaitFor(const std::string& what, const std::function<bool()>& condition);

/// Removes the folder. If the caller is being unwound by a failed check, keeps the folder and
/// prints where the processes' logs are.
void RemoveUnlessFailing(const std::string& folder);

class Process {
 public:
  /// Starts build/bin/`program` and waits until it has written its ports.
  Process(const std::string& name, const std::string& program, std::vector<std::string> arguments,
          const std::string& folder);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Returns "127.0.0.1:port" for a kind of port ("http", "control", "operator").
  std::string Address(const std::string& kind) const;
  void Signal(int number) const;
  /// Stops the process with SIGSTOP and waits until it stands still; SIGCONT continues it.
  void Pause() const;
  void Kill();
  /// The most memory that the running process has had resident so far.
  uint64_t PeakMemoryBytes() const;
  /// Waits for the process to exit. @return its exit code, or the negated signal that ended it.
  int Wait();
  bool running() const { return pid_ > 0; }
  /// Whether the process has exited without a call of Wait(); running() is then false.
  bool HasEnded() { return PollEnd().has_value(); }
  /// Returns the exit code, or the negated signal that ended the process, if it has exited without
  /// a call of Wait(); running() is then false.
  std::optional<int> PollEnd();
  /// Limits the size of files that the process writes, as on a full disk; unset: no limit.
  void LimitFileSize(std::optional<uint64_t> bytes) const;

 private:
  std::string name_;
  std::string port_file_;
  pid_t pid_ = -1;
};

/// Stops a process like the platform, which kills it `kill_after` the signal. @return whether it
/// ended by itself.
bool StopLikeThePlatform(Process* process, Duration kill_after);

/// Runs a program until it exits. @return its exit code; its output is stored in `output` if given.
int RunProgram(const std::string& program, const std::vector<std::string>& arguments,
               std::string* output = nullptr);

struct FleetOptions {
  int controls = 3;
  int nodes = 1;
  int leafs = 2;
  std::vector<std::string> control_flags = {};
  std::vector<std::string> node_flags = {};
  std::vector<std::string> leaf_flags = {};
};

class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);
  ~Fleet();

  // Control machines.
  void StartControl(int index);
  void KillControl(int index);
  std::string DataFolder(int index) const;
  /// Returns the output of a process so far.
  std::string LogOf(const std::string& name) const;
  std::string OperatorAddress(int index) const;
  const std::vector<std::string>& control_addresses() const { return control_addresses_; }
  int WaitForLeader();
  Json Status(int index) const;
  /// Sends a request to a control machine. @return the body; {"code": -1} if there is no answer.
  Json Call(int index, const std::string& path, const std::string& body) const;
  /// Sends a change under one submission id until a machine gives a definite answer.
  Json Submit(Json change);

  // Nodes and leafs.
  void StartNode(int index);
  std::string NodeAddress(int index) const;
  Json NodeStatus(int index) const;
  Json Query(int index, const Json& body, const std::string& key = "") const;
  Json LeafRuns(int index) const;
  /// Creates service "desk" with a snapshot, a policy and one shard per leaf, replicated on the
  /// next leaf; waits until the nodes serve it.
  void CreateService(const std::string& policy);
  void WaitForVersion(uint64_t version);

  /// Control addresses that nodes connect to; may be changed before StartNode().
  std::vector<std::string> node_control_addresses;
  std::map<std::string, std::unique_ptr<Process>> processes;
  FleetOptions options;

 private:
  std::vector<std::string> ControlFlags(int index) const;

  std::string folder_;
  std::string machines_;
  std::vector<std::string> control_addresses_;
  int submissions_ = 0;
};

http::ClientResponse Get(const std::string& address, const std::string& path);
/// Reads a metric without labels of the process at `address`; unset if its page has none.
std::optional<double> Metric(const std::string& address, const std::string& name);
http::ClientResponse Post(const std::string& address, const std::string& path,
                          const std::string& body, const std::string& key = "");

}  // namespace pumicedyke::e2e
