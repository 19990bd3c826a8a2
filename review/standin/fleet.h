// Stand-ins for scripts of the review: starts a small deployment on loopback addresses with the
// commands of deploy/system.toml, and provides a minimal HTTP/1.1 client and leafs.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline void SleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::microseconds(static_cast<int64_t>(ms * 1000)));
}

inline double NowMs() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

struct Address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(address.port));
  ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

/// Returns a port that is free now on all of `ips`; zero if none is found.
inline int FreePort(const std::vector<std::string>& ips) {
  std::mt19937 random(std::random_device{}());
  for (int i = 0; i < 500; ++i) {
    const int port = 20000 + static_cast<int>(random() % 12000);
    bool free = true;
    for (const std::string& ip : ips) {
      const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in local = ToSockaddr({ip, port});
      free = free && ::bind(handle, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) == 0;
      ::close(handle);
    }
    if (free) {
      return port;
    }
  }
  return 0;
}

struct Message {
  /// Empty: the message is incomplete.
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
  bool ok() const { return !first_line.empty(); }
  std::string header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

/// Reads one message with a Content-Length (or none). Names of headers become lower case.
inline Message ReadMessage(int handle, std::string* rest, double timeout_ms) {
  const double end = NowMs() + timeout_ms;
  std::string& data = *rest;
  size_t head = std::string::npos;
  size_t length = 0;
  Message message;
  while (true) {
    if (head == std::string::npos && (head = data.find("\r\n\r\n")) != std::string::npos) {
      std::istringstream lines(data.substr(0, head));
      std::string line;
      std::getline(lines, line);
      message.first_line = line.substr(0, line.find('\r'));
      while (std::getline(lines, line)) {
        line = line.substr(0, line.find('\r'));
        const size_t colon = line.find(':');
        if (colon == std::string::npos) {
          continue;
        }
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? "" : line.substr(value);
      }
      length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    }
    if (head != std::string::npos && data.size() >= head + 4 + length) {
      message.body = data.substr(head + 4, length);
      data.erase(0, head + 4 + length);
      return message;
    }
    const double left = end - NowMs();
    pollfd waiting{handle, POLLIN, 0};
    char buffer[16384];
    ssize_t count = 0;
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left) + 1) <= 0 ||
        (count = ::recv(handle, buffer, sizeof(buffer), 0)) <= 0) {
      return {};
    }
    data.append(buffer, static_cast<size_t>(count));
  }
}

inline bool WriteAll(int handle, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

inline int Connect(const Address& address) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in remote = ToSockaddr(address);
  const int on = 1;
  ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (::connect(handle, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) != 0) {
    ::close(handle);
    return -1;
  }
  return handle;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Sends one request on a new connection. `first_line` of the result is empty if no answer came.
inline Message Call(const Address& address, const std::string& method, const std::string& path,
                    const Headers& headers, const std::string& body, double timeout_ms) {
  const int handle = Connect(address);
  if (handle < 0) {
    return {};
  }
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  text += "\r\n" + body;
  std::string rest;
  const Message answer =
      WriteAll(handle, text) ? ReadMessage(handle, &rest, timeout_ms) : Message();
  ::close(handle);
  return answer;
}

inline int StatusOf(const Message& answer) {
  return answer.first_line.size() < 12 ? 0 : std::atoi(answer.first_line.c_str() + 9);
}

/// The deployment: control machines from 127.0.0.1 on and gateways from 127.0.0.11 on. The first
/// three control machines are the seeds.
class Fleet {
 public:
  Fleet(std::string root, int controls, int gateways) : root_(std::move(root)) {
    folder_ = std::filesystem::temp_directory_path() / "pumicedyke-review-XXXXXX";
    if (::mkdtemp(folder_.data()) == nullptr) {
      std::perror("temporary folder");
      std::exit(2);
    }
    for (int i = 0; i < controls; ++i) {
      control_ips_.push_back("127.0.0." + std::to_string(1 + i));
    }
    for (int i = 0; i < gateways; ++i) {
      gateway_ips_.push_back("127.0.0." + std::to_string(11 + i));
    }
    std::vector<std::string> all = control_ips_;
    all.insert(all.end(), gateway_ips_.begin(), gateway_ips_.end());
    for (int* port : {&service_port_, &directory_port_, &inner_port_, &operator_port_, &front_port_,
                      &ready_port_}) {
      *port = FreePort(all);
    }
  }
  ~Fleet() {
    for (const auto& [name, pid] : pids_) {
      ::kill(pid, SIGKILL);
    }
    for (const auto& [name, pid] : pids_) {
      ::waitpid(pid, nullptr, 0);
    }
    if (std::getenv("KEEP") == nullptr) {
      const int result = std::system(("rm -rf '" + folder_ + "'").c_str());
      static_cast<void>(result);
    }
  }

  size_t controls() const { return control_ips_.size(); }
  size_t gateways() const { return gateway_ips_.size(); }
  Address service(size_t i) const { return {control_ips_[i], service_port_}; }
  Address front(size_t i) const { return {gateway_ips_[i], front_port_}; }
  Address ready(size_t i) const { return {gateway_ips_[i], ready_port_}; }
  const std::string& folder() const { return folder_; }

  void StartAll() {
    for (size_t i = 0; i < control_ips_.size(); ++i) {
      StartControl(i, /*bootstrap=*/true);
    }
    for (size_t i = 0; i < gateway_ips_.size(); ++i) {
      StartGateway(i);
    }
  }

  void StartControl(size_t i, bool bootstrap) {
    const std::string& ip = control_ips_[i];
    std::ostringstream text;
    text << "cluster = \"pumicedyke\"\nmachine = \"" << ip << "\"\nzone = \"" << Zone(i) << "\"\n"
         << Regions() << "listen = \"" << ip << ":" << inner_port_
         << "\"\n"
         // Each real machine has a loopback address of its own.
         << "operator_listen = \"" << ip << ":" << operator_port_ << "\"\n"
         << "service_listen = \"" << ip << ":" << service_port_ << "\"\n"
         << "directory_listen = \"" << ip << ":" << directory_port_ << "\"\n"
         << "data_folder = \"" << folder_ << "/data-" << i << "\"\n"
         << Seeds() << "internal_port = " << inner_port_ << "\n"
         << "bootstrap = " << (bootstrap ? "true" : "false") << "\ntolerated_failures = 2\n"
         << "replace_silent_after_ms = 3000\nelection_timeout_ms = 200\n";
    Start("control-" + std::to_string(i), Command("control"), text.str());
  }

  void StartGateway(size_t i) {
    const std::string& ip = gateway_ips_[i];
    std::ostringstream text;
    text << "cluster = \"pumicedyke\"\nnode = \"edge-" << Zone(i) << "-" << i << "\"\nzone = \""
         << Zone(i) << "\"\n"
         << Regions() << "listen = \"" << ip << ":" << front_port_ << "\"\n"
         << "ready_listen = \"" << ip << ":" << ready_port_ << "\"\n"
         << "peer_listen = \"" << ip << ":" << inner_port_ << "\"\nprocessor_share = 0.25\n"
         << Seeds() << "internal_port = " << inner_port_ << "\n"
         << "extra_load_ratio = 0.2\nextra_load_window_ms = 10000\nextra_load_allowance = 56\n";
    Start("gateway-" + std::to_string(i), Command("gateway"), text.str());
  }

  void Signal(const std::string& name, int number) { ::kill(pids_.at(name), number); }
  /// Sends SIGKILL and waits for the end.
  void Kill(const std::string& name) {
    ::kill(pids_.at(name), SIGKILL);
    ::waitpid(pids_.at(name), nullptr, 0);
    pids_.erase(name);
  }
  /// Empties the data folder of a control machine whose process does not run.
  void LoseDisk(size_t control) const {
    const std::string folder = folder_ + "/data-" + std::to_string(control);
    const int result = std::system(("rm -rf '" + folder + "'").c_str());
    static_cast<void>(result);
  }
  /// Whether the process has ended by itself; it can then be started again.
  bool HasEnded(const std::string& name) {
    const auto it = pids_.find(name);
    if (it == pids_.end() || ::waitpid(it->second, nullptr, WNOHANG) == 0) {
      return false;
    }
    pids_.erase(it);
    return true;
  }
  /// Whether all processes still run.
  bool AllRun() const {
    return std::all_of(pids_.begin(), pids_.end(), [](const auto& item) {
      return ::waitpid(item.second, nullptr, WNOHANG) == 0;
    });
  }

  /// Puts a configuration as an operator does: again and again, at one machine after the other.
  bool Put(const std::string& document, double timeout_ms) {
    const double end = NowMs() + timeout_ms;
    for (size_t i = 0; NowMs() < end; ++i) {
      const Message answer =
          Call(service(i % controls()), "POST", "/v1/config/put",
               {{"Host", "control"}, {"Content-Type", "application/json"}}, document, 1000);
      if (StatusOf(answer) == 200) {
        return true;
      }
      SleepMs(200);
    }
    return false;
  }

  bool WaitReady(double timeout_ms) const {
    const double end = NowMs() + timeout_ms;
    for (size_t i = 0; i < gateways();) {
      if (StatusOf(Call(ready(i), "GET", "/v1/readyz", {{"Host", "ready"}}, "", 1000)) == 200) {
        ++i;
      } else if (NowMs() > end) {
        return false;
      } else {
        SleepMs(100);
      }
    }
    return true;
  }

 private:
  static std::string Zone(size_t i) {
    return std::vector<std::string>{"hala-ostroleka", "hala-siedlce", "hala-radom"}[i % 3];
  }
  static std::string Regions() {
    return "regions = [\"hala-ostroleka=mazowsze\",\"hala-siedlce=mazowsze\","
           "\"hala-radom=mazowsze\"]\n";
  }
  std::string Seeds() const {
    std::string text = "seeds = [";
    for (size_t i = 0; i < std::min<size_t>(3, control_ips_.size()); ++i) {
      text += (i == 0 ? "\"" : ",\"") + service(i).text() + "\"";
    }
    return text + "]\n";
  }
  /// Returns the program that the deploy file names for the role.
  std::string Command(const std::string& role) const {
    std::ifstream file(root_ + "/deploy/system.toml");
    std::string line;
    bool in_role = false;
    while (std::getline(file, line)) {
      if (!line.empty() && line[0] == '[') {
        in_role = line == "[roles." + role + "]";
      }
      if (in_role && line.rfind("run = \"", 0) == 0) {
        return line.substr(7, line.rfind('"') - 7);
      }
    }
    return "";
  }
  void Start(const std::string& name, const std::string& command, const std::string& settings) {
    const std::string path = folder_ + "/" + name + ".toml";
    std::ofstream(path) << settings;
    const std::string log = folder_ + "/" + name + ".log";
    const std::string program = root_ + "/" + command;
    const std::string variable = "PUMICEDYKE_CONFIG=" + path;
    const pid_t pid = ::fork();
    if (pid == 0) {
      // No process outlives the script, even if it is killed.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(output, 1);
      ::dup2(output, 2);
      if (::chdir(root_.c_str()) != 0) {
        ::_exit(127);
      }
      char* const arguments[] = {const_cast<char*>(program.c_str()), nullptr};
      char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
      ::execve(program.c_str(), arguments, environment);
      ::_exit(127);
    }
    pids_[name] = pid;
  }

  std::string root_;
  std::string folder_;
  std::vector<std::string> control_ips_;
  std::vector<std::string> gateway_ips_;
  int service_port_ = 0;
  int directory_port_ = 0;
  int inner_port_ = 0;
  int operator_port_ = 0;
  int front_port_ = 0;
  int ready_port_ = 0;
  std::map<std::string, pid_t> pids_;
};

struct LeafOptions {
  std::string id;
  std::string service;
  std::string zone;
  int slots = 2;
  int queue = 1;
  double work_ms = 60;
  /// Share of the answers that are followed by a second copy.
  double second_answers = 0;
  double second_answer_after_ms = 0;
};

struct Run {
  std::string leaf;
  double at = 0;
};

/// What the leafs have run, by request id.
class RunRecord {
 public:
  void Add(const std::string& request, const Run& run) {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_[request].push_back(run);
  }
  void Refused(const std::string& request, const std::string& leaf) {
    const std::lock_guard<std::mutex> lock(mutex_);
    refusals_[request].push_back(leaf);
  }
  std::vector<Run> Of(const std::string& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_[request];
  }
  std::vector<std::string> RefusalsOf(const std::string& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return refusals_[request];
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::vector<Run>> runs_;
  std::map<std::string, std::vector<std::string>> refusals_;
};

/// A leaf as PROTOCOL.md describes it. Serves one request at a time on each connection.
class Leaf {
 public:
  Leaf(LeafOptions options, const std::string& ip, RunRecord* record)
      : options_(std::move(options)), address_{ip, FreePort({ip})}, record_(record) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in local = ToSockaddr(address_);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 ||
        ::listen(listener_, 256) != 0) {
      std::perror("leaf");
      std::exit(2);
    }
    std::thread([this] { Accept(); }).detach();
  }

  void StartHeartbeats(const Fleet* fleet) {
    std::thread([this, fleet] {
      for (uint64_t sequence = 1;; ++sequence) {
        std::ostringstream body;
        body << "{\"backend\":\"" << options_.service << "\",\"address\":\"" << address_.text()
             << "\",\"zone\":\"" << options_.zone
             << "\",\"version\":\"v1\",\"slots\":" << options_.slots
             << ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":" << sequence << "}";
        for (size_t i = 0; i < fleet->controls(); ++i) {
          const Message answer =
              Call(fleet->service(i), "POST", "/v1/instances/" + options_.id + "/heartbeat",
                   {{"Host", "control"}, {"Content-Type", "application/json"}}, body.str(), 1000);
          if (StatusOf(answer) == 200) {
            break;
          }
        }
        SleepMs(1200);
      }
    }).detach();
  }

 private:
  void Accept() {
    while (true) {
      const int handle = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (handle < 0) {
        return;
      }
      const int on = 1;
      ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, handle] {
        Serve(handle);
        ::close(handle);
      }).detach();
    }
  }

  bool Draw(double share) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  std::string Answer(const std::string& status, const std::string& request, bool not_run,
                     const std::string& body) {
    std::ostringstream text;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      text << "HTTP/1.1 " << status << "\r\nX-Request-Id: " << request
           << "\r\nX-Server-Load: " << running_ << "," << waiting_ << "," << options_.slots
           << "\r\n";
      if (!not_run) {
        text << "X-Server-Stamp: " << options_.id << "." << ++stamps_ << "." << request << "\r\n";
      }
    }
    if (not_run) {
      text << "X-Not-Executed: 1\r\n";
    }
    text << "Content-Length: " << body.size() << "\r\n\r\n" << body;
    return text.str();
  }

  /// Waits for a slot. @return false if the leaf is full, or `deadline_ms` has passed in the queue.
  bool TakeSlot(double deadline_ms) {
    std::unique_lock<std::mutex> lock(mutex_);
    if (running_ >= options_.slots && waiting_ >= options_.queue) {
      return false;
    }
    ++waiting_;
    const bool free =
        freed_.wait_for(lock, std::chrono::microseconds(static_cast<int64_t>(deadline_ms * 1000)),
                        [this] { return running_ < options_.slots; });
    --waiting_;
    running_ += free ? 1 : 0;
    return free;
  }
  void FreeSlot() {
    const std::lock_guard<std::mutex> lock(mutex_);
    --running_;
    freed_.notify_one();
  }

  /// Sends the answer and, at times, a second copy of it.
  bool Send(int handle, const std::string& answer) {
    if (!WriteAll(handle, answer)) {
      return false;
    }
    if (Draw(options_.second_answers)) {
      SleepMs(options_.second_answer_after_ms);
      return WriteAll(handle, answer);
    }
    return true;
  }

  void Serve(int handle) {
    std::string rest;
    while (true) {
      const Message request = ReadMessage(handle, &rest, 30000);
      if (!request.ok()) {
        return;
      }
      const std::string id = request.header("x-request-id");
      const std::string expected = request.header("x-expect-instance");
      const std::string deadline = request.header("x-deadline-ms");
      const double deadline_ms = deadline.empty() ? 10000 : std::atof(deadline.c_str());
      if (request.first_line.rfind("GET /healthz", 0) == 0) {
        if (!WriteAll(handle, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + options_.id +
                                  "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      if (!expected.empty() && expected != options_.id) {
        if (!Send(handle, Answer("421 Misdirected Request", id, true, ""))) {
          return;
        }
        continue;
      }
      if (!TakeSlot(deadline_ms)) {
        record_->Refused(id, options_.id);
        if (!Send(handle, Answer("503 Service Unavailable", id, true, "full"))) {
          return;
        }
        continue;
      }
      record_->Add(id, {options_.id, NowMs()});
      SleepMs(options_.work_ms *
              (0.7 + 0.6 * std::uniform_real_distribution<double>(0, 1)(*ThreadRandom())));
      FreeSlot();
      if (!Send(handle, Answer("200 OK", id, false, "done " + id))) {
        return;
      }
    }
  }

  static std::mt19937* ThreadRandom() {
    thread_local std::mt19937 random(std::random_device{}());
    return &random;
  }

  LeafOptions options_;
  Address address_;
  RunRecord* record_;
  int listener_ = -1;
  std::mutex mutex_;
  std::condition_variable freed_;
  std::mt19937 random_{std::random_device{}()};
  int running_ = 0;
  int waiting_ = 0;
  uint64_t stamps_ = 0;
};

inline std::string RandomId() {
  thread_local std::mt19937_64 random(std::random_device{}());
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

}  // namespace review
