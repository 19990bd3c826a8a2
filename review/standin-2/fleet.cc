#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "client.h"

namespace standin {
namespace {

std::string ControlIp(int index) { return "127.0.1." + std::to_string(index + 1); }
std::string GatewayIp(int index) { return "127.0.2." + std::to_string(index + 1); }
std::string At(const std::string& ip, uint16_t port) { return ip + ":" + std::to_string(port); }

}  // namespace

Fleet::Fleet(FleetOptions options) : options_(std::move(options)) {
  folder_ = std::filesystem::temp_directory_path() / "review-fleet-XXXXXX";
  if (::mkdtemp(folder_.data()) == nullptr) {
    std::perror("temporary folder");
    std::exit(2);
  }
  next_control_ = options_.controls;
  for (int i = 0; i < options_.controls; ++i) {
    controls_.push_back(i);
  }
  for (const int index : controls_) {
    StartControl(index, /*first_start=*/true);
  }
  for (int i = 0; i < options_.gateways; ++i) {
    StartGateway(i);
  }
}

Fleet::~Fleet() {
  for (const auto& [name, pid] : processes_) {
    ::kill(pid, SIGKILL);
  }
  for (const auto& [name, pid] : processes_) {
    ::waitpid(pid, nullptr, 0);
  }
  std::filesystem::remove_all(folder_);
}

std::vector<std::string> Fleet::Controls() const {
  std::vector<std::string> addresses;
  for (const int index : controls_) {
    addresses.push_back(At(ControlIp(index), control_port_));
  }
  return addresses;
}

std::string Fleet::Gateway(int index) const { return At(GatewayIp(index), front_port_); }
std::string Fleet::Ready(int index) const { return At(GatewayIp(index), ready_port_); }

std::string Fleet::SeedList() const {
  std::string list;
  for (size_t i = 0; i < 3 && i < controls_.size(); ++i) {
    list += (i > 0 ? ",\"" : "\"") + At(ControlIp(controls_[i]), control_port_) + "\"";
  }
  return "[" + list + "]";
}

std::string Fleet::Regions() const {
  const std::string& first = options_.control_zone;
  const std::string& second = options_.gateway_zone;
  return "regions = [\"" + first + "=land\"" +
         (second == first ? std::string() : ",\"" + second + "=land\"") + "]";
}

std::string Fleet::GatewayName(int index) const {
  return options_.gateway_names.empty()
             ? "edge-" + options_.gateway_zone + "-" + std::to_string(index + 1)
             : options_.gateway_names[index];
}

void Fleet::RemoveControl(int index) {
  const pid_t pid = processes_.at("control-" + std::to_string(index));
  ::kill(pid, SIGKILL);
  ::waitpid(pid, nullptr, 0);
  processes_.erase("control-" + std::to_string(index));
  std::erase(controls_, index);
}

int Fleet::AddControl() {
  const int index = next_control_++;
  StartControl(index, /*first_start=*/false);
  controls_.push_back(index);
  return index;
}

void Fleet::StartControl(int index, bool first_start) {
  const std::string ip = ControlIp(index);
  Start("control-" + std::to_string(index), "target/bin/pumicedyke-control",
        "cluster = \"pumicedyke\"\nmachine = \"" + ip + "\"\nzone = \"" + options_.control_zone +
            "\"\n" + Regions() + "\nlisten = \"" + At(ip, internal_port_) +
            "\"\noperator_listen = \"127.0.0.1:" + std::to_string(FreePort()) +
            "\"\nservice_listen = \"" + At(ip, control_port_) + "\"\ndirectory_listen = \"" +
            At(ip, directory_port_) + "\"\ndata_folder = \"" + folder_ + "/data-" +
            std::to_string(index) + "\"\nseeds = " + SeedList() + "\ninternal_port = " +
            std::to_string(internal_port_) + "\nbootstrap = " + (first_start ? "true" : "false") +
            "\ntolerated_failures = 2\nreplace_silent_after_ms = 3000\n"
            "election_timeout_ms = 200\n");
}

void Fleet::StartGateway(int index) {
  const std::string ip = GatewayIp(index);
  Start("gateway-" + std::to_string(index), "target/bin/pumicedyke-gateway",
        "cluster = \"pumicedyke\"\nnode = \"" + GatewayName(index) + "\"\nzone = \"" +
            options_.gateway_zone + "\"\n" + Regions() + "\nlisten = \"" + At(ip, front_port_) +
            "\"\nready_listen = \"" + At(ip, ready_port_) + "\"\npeer_listen = \"" +
            At(ip, internal_port_) + "\"\nprocessor_share = 0.25\nmetrics_listen = \"" +
            At(ip, metrics_port_) + "\"\nseeds = " + SeedList() +
            "\nfirst_start = true\ninternal_port = " + std::to_string(internal_port_) +
            "\nextra_load_ratio = 0.2\nextra_load_window_ms = 10000\nextra_load_allowance = 56\n" +
            options_.gateway_bounds);
}

void Fleet::Start(const std::string& name, const std::string& program,
                  const std::string& settings) {
  const std::string file = folder_ + "/" + name + ".toml";
  std::ofstream(file) << settings;
  const std::string log = folder_ + "/" + name + ".log";
  const pid_t pid = ::fork();
  if (pid == 0) {
    // Ends with the thread that started it, also if this program is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("PUMICEDYKE_CONFIG", file.c_str(), 1);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  processes_[name] = pid;
}

bool Fleet::Put(const std::string& document, milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  while (Clock::now() < until) {
    for (const std::string& control : Controls()) {
      Client client(control);
      const Reply reply =
          client.Send("POST", "/v1/config/put", {{"Content-Type", "application/json"}}, document,
                      milliseconds(1000));
      if (reply.status == 200) {
        return true;
      }
      if (reply.status / 100 == 4) {
        return false;
      }
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

bool Fleet::WaitUntilReady(milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  for (int i = 0; i < options_.gateways; ++i) {
    while (true) {
      Client client(Ready(i));
      if (client.Send("GET", "/v1/readyz", {}, "", milliseconds(1000)).status == 200) {
        break;
      }
      if (Clock::now() >= until) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  return true;
}

void Fleet::Signal(const std::string& process, int signal) {
  ::kill(processes_.at(process), signal);
}

bool Fleet::Runs(const std::string& process) {
  return ::waitpid(processes_.at(process), nullptr, WNOHANG) == 0;
}

}  // namespace standin
