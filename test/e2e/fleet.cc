#include "e2e/fleet.h"

#include <cppunit/TestAssert.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "e2e/free_address.h"

extern char** environ;  // NOLINT

namespace pumicedyke::e2e {
namespace {

constexpr auto kWaitTimeout = std::chrono::seconds(60);
constexpr auto kPollInterval = std::chrono::milliseconds(5);

std::string ProgramPath(const std::string& program) {
  return std::string(BINARY_DIR) + "/" + program;
}

pid_t Spawn(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& output_file) {
  const std::string path = ProgramPath(program);
  std::vector<char*> argv = {const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kMode = 0644;
  for (const int stream : {STDOUT_FILENO, STDERR_FILENO}) {
    posix_spawn_file_actions_addopen(&actions, stream, output_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kMode);
  }
  pid_t pid = -1;
  const int failure = posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 0, failure);
  return pid;
}

int ExitCode(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status); }

std::string CreateTestFolder() {
  static std::atomic<int> count{0};
  std::string folder = absl::StrCat(BINARY_DIR, "/../e2e/", getpid(), "-", count.fetch_add(1));
  std::filesystem::create_directories(folder);
  return folder;
}

std::string ReadAll(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

Json ToJson(const http::ClientResponse& response) {
  Json json = Json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  return response.ok() && json.is_object() ? json : Json{{"code", -1}};
}

}  // namespace

void Process::LimitFileSize(std::optional<uint64_t> bytes) const {
  rlimit limit{};
  CPPUNIT_ASSERT_EQUAL(0, ::prlimit(pid_, RLIMIT_FSIZE, nullptr, &limit));
  limit.rlim_cur = bytes.value_or(limit.rlim_max);
  CPPUNIT_ASSERT_EQUAL(0, ::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr));
}

void WaitFor(const std::string& what, const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    CPPUNIT_ASSERT_MESSAGE("timed out waiting for: " + what,
                           std::chrono::steady_clock::now() < end);
    std::this_thread::sleep_for(kPollInterval);
  }
}

void RemoveUnlessFailing(const std::string& folder) {
  if (std::uncaught_exceptions() > 0) {
    std::cout << "logs of the failed test: " << std::filesystem::canonical(folder).string()
              << std::endl;
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
}

// ---- Process ------------------------------------------------------------------------------------

Process::Process(const std::string& name, const std::string& program,
                 std::vector<std::string> arguments, const std::string& folder)
    : name_(name), port_file_(absl::StrCat(folder, "/", name, ".ports")) {
  std::filesystem::remove(port_file_);
  arguments.push_back("--port_file");
  arguments.push_back(port_file_);
  const std::string log = absl::StrCat(folder, "/", name, ".log");
  pid_ = Spawn(program, arguments, log);
  WaitFor(name + " to start", [&] {
    int status = 0;
    const bool ended = ::waitpid(pid_, &status, WNOHANG) == pid_;
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(name, " ended: ", ReadAll(log)), !ended);
    return std::filesystem::exists(port_file_);
  });
}

Process::~Process() { Kill(); }

std::string Process::Address(const std::string& kind) const {
  std::ifstream file(port_file_);
  for (std::string name, port; file >> name >> port;) {
    if (name == kind) {
      return "127.0.0.1:" + port;
    }
  }
  CPPUNIT_FAIL(name_ + " has no port for " + kind);
  return "";
}

void Process::Signal(int number) const {
  // Without a process, the signal would go to all processes of the user.
  CPPUNIT_ASSERT_MESSAGE("no signal to " + name_ + ", which has ended", running());
  ::kill(pid_, number);
}

void Process::Pause() const {
  Signal(SIGSTOP);
  siginfo_t info{};
  CPPUNIT_ASSERT_EQUAL(
      0, ::waitid(P_PID, static_cast<id_t>(pid_), &info, WSTOPPED | WEXITED | WNOWAIT));
}

void Process::Kill() {
  if (running()) {
    Signal(SIGKILL);
    Wait();
  }
}

uint64_t Process::PeakMemoryBytes() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  constexpr uint64_t kKilobyte = 1024;
  uint64_t kilobytes = 0;
  for (std::string word; status >> word;) {
    if (word == "VmHWM:") {
      status >> kilobytes;
      break;
    }
  }
  CPPUNIT_ASSERT(kilobytes > 0);
  return kilobytes * kKilobyte;
}

std::optional<int> Process::PollEnd() {
  int status = 0;
  if (running() && ::waitpid(pid_, &status, WNOHANG) == pid_) {
    pid_ = -1;
    return ExitCode(status);
  }
  return std::nullopt;
}

int Process::Wait() {
  int status = 0;
  ::waitpid(pid_, &status, 0);
  pid_ = -1;
  return ExitCode(status);
}

bool StopLikeThePlatform(Process* process, Duration kill_after) {
  const auto stopped = std::chrono::steady_clock::now();
  process->Signal(SIGTERM);
  bool ended = false;
  WaitFor("the end of a process", [&] {
    ended = process->HasEnded();
    return ended || std::chrono::steady_clock::now() >= stopped + kill_after;
  });
  if (!ended) {
    process->Kill();
  }
  return ended;
}

int RunProgram(const std::string& program, const std::vector<std::string>& arguments,
               std::string* output) {
  const std::string file = CreateTestFolder() + "/output";
  const pid_t pid = Spawn(program, arguments, file);
  int status = 0;
  ::waitpid(pid, &status, 0);
  if (output != nullptr) {
    *output = ReadAll(file);
  }
  return ExitCode(status);
}

// ---- Fleet --------------------------------------------------------------------------------------

Fleet::Fleet(const FleetOptions& fleet_options)
    : options(fleet_options), folder_(CreateTestFolder()) {
  for (int i = 0; i < options.controls; ++i) {
    control_addresses_.push_back(FreeAddress());
    absl::StrAppend(&machines_, i == 0 ? "" : ",", "c", i, "=", control_addresses_.back());
  }
  node_control_addresses = control_addresses_;
  for (int i = 0; i < options.controls; ++i) {
    std::vector<std::string> flags = ControlFlags(i);
    flags.emplace_back("--format");
    CPPUNIT_ASSERT_EQUAL(0, RunProgram("pumicedyke-control", flags));
  }
  for (int i = 0; i < options.controls; ++i) {
    StartControl(i);
  }
  for (int i = 0; i < options.leafs; ++i) {
    std::vector<std::string> flags = {
        "--name", absl::StrCat("leaf", i), "--seed", std::to_string(i + 1), "--slots", "8"};
    flags.insert(flags.end(), options.leaf_flags.begin(), options.leaf_flags.end());
    const std::string name = absl::StrCat("leaf", i);
    processes[name] = std::make_unique<Process>(name, "pumicedyke-leaf", flags, folder_);
  }
  processes["platform"] = std::make_unique<Process>("platform", "pumicedyke-platform",
                                                    std::vector<std::string>{}, folder_);
}

Fleet::~Fleet() {
  processes.clear();
  RemoveUnlessFailing(folder_);
}

std::vector<std::string> Fleet::ControlFlags(int index) const {
  return {"--cluster",
          "e2e",
          "--machine",
          absl::StrCat("c", index),
          "--listen",
          control_addresses_.at(static_cast<size_t>(index)),
          "--operator_listen",
          "127.0.0.1:0",
          "--data_folder",
          DataFolder(index),
          "--machines",
          machines_,
          "--snapshot_log_bytes",
          "65536"};
}

void Fleet::StartControl(int index) {
  const std::string name = absl::StrCat("c", index);
  std::vector<std::string> flags = ControlFlags(index);
  flags.insert(flags.end(), options.control_flags.begin(), options.control_flags.end());
  processes[name] = std::make_unique<Process>(name, "pumicedyke-control", flags, folder_);
}

void Fleet::KillControl(int index) { processes.at(absl::StrCat("c", index))->Kill(); }

std::string Fleet::DataFolder(int index) const { return absl::StrCat(folder_, "/data-c", index); }

std::string Fleet::LogOf(const std::string& name) const {
  return ReadAll(absl::StrCat(folder_, "/", name, ".log"));
}

std::string Fleet::OperatorAddress(int index) const {
  return processes.at(absl::StrCat("c", index))->Address("operator");
}

Json Fleet::Call(int index, const std::string& path, const std::string& body) const {
  const auto& process = processes.at(absl::StrCat("c", index));
  if (!process->running()) {
    return Json{{"code", -1}};
  }
  return ToJson(body.empty() ? Get(OperatorAddress(index), path)
                             : Post(OperatorAddress(index), path, body));
}

Json Fleet::Status(int index) const { return Call(index, "/v1/status", ""); }

int Fleet::WaitForLeader() {
  int leader = -1;
  WaitFor("a leader", [&] {
    for (int i = 0; i < options.controls && leader < 0; ++i) {
      leader = Status(i).value("leads", false) ? i : -1;
    }
    return leader >= 0;
  });
  return leader;
}

Json Fleet::Submit(Json change) {
  if (!change.contains("submission_id")) {
    change["submission_id"] = absl::StrCat("e2e-", ++submissions_);
  }
  Json result;
  WaitFor("an answer to " + change["submission_id"].get<std::string>(), [&] {
    for (int i = 0; i < options.controls; ++i) {
      result = Call(i, "/v1/changes", change.dump());
      const int code = result.value("code", -1);
      const bool definite = code >= 0 && code != 205 && code != 303 && code != 304;
      if (definite) {
        return true;
      }
    }
    return false;
  });
  return result;
}

void Fleet::StartNode(int index) {
  const std::string name = absl::StrCat("node", index);
  std::string control;
  for (const std::string& address : node_control_addresses) {
    absl::StrAppend(&control, control.empty() ? "" : ",", address);
  }
  std::vector<std::string> flags = {
      "--cluster", "e2e",         "--node",        name,
      "--listen",  "127.0.0.1:0", "--data_folder", absl::StrCat(folder_, "/data-", name),
      "--control", control,       "--platform",    processes.at("platform")->Address("http")};
  flags.insert(flags.end(), options.node_flags.begin(), options.node_flags.end());
  processes[name] = std::make_unique<Process>(name, "pumicedyke-node", flags, folder_);
}

std::string Fleet::NodeAddress(int index) const {
  return processes.at(absl::StrCat("node", index))->Address("http");
}

Json Fleet::NodeStatus(int index) const { return ToJson(Get(NodeAddress(index), "/v1/status")); }

Json Fleet::Query(int index, const Json& body, const std::string& key) const {
  return ToJson(Post(NodeAddress(index), "/v1/query", body.dump(), key));
}

Json Fleet::LeafRuns(int index) const {
  const auto& leaf = processes.at(absl::StrCat("leaf", index));
  return ToJson(Get(leaf->Address("http"), "/v1/runs"));
}

void Fleet::CreateService(const std::string& policy) {
  Json leafs = Json::array();
  Json shards = Json::array();
  for (int i = 0; i < options.leafs; ++i) {
    const std::string name = absl::StrCat("leaf", i);
    leafs.push_back({{"id", name}, {"address", processes.at(name)->Address("http")}, {"slots", 8}});
    const std::string next = absl::StrCat("leaf", (i + 1) % options.leafs);
    shards.push_back({{"id", i + 1}, {"replicas", {name, next}}});
  }
  CPPUNIT_ASSERT_EQUAL(
      0,
      Submit({{"kind", "put_service"}, {"service", "desk"}, {"leafs", leafs}})["code"].get<int>());
  CPPUNIT_ASSERT_EQUAL(0, Submit({{"kind", "publish_snapshot"},
                                  {"service", "desk"},
                                  {"snapshot", {{"id", 1}, {"shards", shards}}}})["code"]
                              .get<int>());
  const Json last = Submit({{"kind", "put_policy"}, {"service", "desk"}, {"policy", policy}});
  CPPUNIT_ASSERT_EQUAL_MESSAGE(last.dump(), 0, last["code"].get<int>());
  WaitForVersion(last["version"].get<uint64_t>());
}

void Fleet::WaitForVersion(uint64_t version) {
  for (int i = 0; i < options.nodes; ++i) {
    const bool runs = processes.contains(absl::StrCat("node", i)) &&
                      processes.at(absl::StrCat("node", i))->running();
    if (runs) {
      WaitFor(absl::StrCat("version ", version, " at node ", i), [&] {
        const Json status = NodeStatus(i);
        return status.value("config_version", uint64_t{0}) >= version &&
               status.value("ready", false);
      });
    }
  }
}

http::ClientResponse Get(const std::string& address, const std::string& path) {
  http::ClientRequest request;
  request.address = address;
  request.path = path;
  return http::FetchBlocking(request);
}

std::optional<double> Metric(const std::string& address, const std::string& name) {
  std::istringstream page(Get(address, "/metrics").body);
  for (std::string line; std::getline(page, line);) {
    if (absl::StartsWith(line, name + " ")) {
      return std::stod(line.substr(name.size()));
    }
  }
  return std::nullopt;
}

http::ClientResponse Post(const std::string& address, const std::string& path,
                          const std::string& body, const std::string& key) {
  http::ClientRequest request;
  request.address = address;
  request.path = path;
  request.body = body;
  request.idempotency_key = key;
  request.unrepeatable = !key.empty();
  constexpr Duration kPostTimeout = Seconds(20);
  request.timeout = kPostTimeout;
  return http::FetchBlocking(request);
}

}  // namespace pumicedyke::e2e
