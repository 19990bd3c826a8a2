// Real processes of the product and its stand-ins on loopback, for end-to-end tests. Everything is
// waited for by condition; a condition that does not come within kPatience fails the test.
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

/// Fails the test if `condition` does not hold in time.
void WaitFor(const std::string& what, const std::function<bool()>& condition);

/// Removes the folder, unless a failed check is on its way through the caller: then it says where
/// the processes' logs are.
void RemoveUnlessFailing(const std::string& folder);

/// An address of loopback that is free at this moment.
std::string FreeAddress();

class Process {
 public:
  /// Starts build/bin/`program` and waits until it has written its ports.
  Process(const std::string& name, const std::string& program, std::vector<std::string> arguments,
          const std::string& folder);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// "127.0.0.1:port" of this kind of port ("http", "control", "operator").
  std::string Address(const std::string& kind) const;
  void Signal(int number) const;
  void Kill();
  /// @return exit code, or minus the signal that ended it.
  int Wait();
  bool running() const { return pid_ > 0; }
  /// Whether it has ended though nobody waited for it; it is not running any more then.
  bool HasEnded();
  /// Its files may not grow beyond this many bytes, as on a full disk; unset: no bound.
  void LimitFiles(std::optional<uint64_t> bytes) const;

 private:
  std::string name_;
  std::string port_file_;
  pid_t pid_ = -1;
};

/// Runs a program to its end. @return its exit code; its output goes to `output` if given.
int RunProgram(const std::string& program, const std::vector<std::string>& arguments,
               std::string* output = nullptr);

struct FleetOptions {
  int controls = 3;
  int nodes = 1;
  int leafs = 2;
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
  /// What the process of this name has written so far.
  std::string LogOf(const std::string& name) const;
  std::string OperatorAddress(int index) const;
  const std::vector<std::string>& control_addresses() const { return control_addresses_; }
  int WaitForLeader();
  Json Status(int index) const;
  /// One call to one control machine. @return the body; {"code": -1} if there is no answer.
  Json Call(int index, const std::string& path, const std::string& body) const;
  /// Sends a change under one submission id until some machine gives a definite answer.
  Json Submit(Json change);

  // Nodes and leafs.
  void StartNode(int index);
  std::string NodeAddress(int index) const;
  Json NodeStatus(int index) const;
  Json Query(int index, const Json& body, const std::string& key = "") const;
  Json LeafRuns(int index) const;
  /// Creates service "desk": one shard a leaf pair, a snapshot, a policy; waits until it is served.
  void CreateService(const std::string& policy);
  void WaitForVersion(uint64_t version);

  /// Nodes connect to these instead of the control machines, if set before StartNode().
  std::vector<std::string> control_seen_by_nodes;
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
http::ClientResponse Post(const std::string& address, const std::string& path,
                          const std::string& body, const std::string& key = "");

}  // namespace pumicedyke::e2e
